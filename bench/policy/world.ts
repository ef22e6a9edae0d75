/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Hosts, targets and the network of one deployment in virtual time; shared by all policies. */

import { type Random, seededRandom } from '@gentiandrum/core';
import { type Deployment, kIntraZoneDelayMs, type LoadPlan } from './deployment.js';
import { FakeTarget } from './fakeTarget.js';
import { VirtualTime } from './virtualTime.js';

/** A target host. */
export interface Host {
  index: number;
  name: string;
  zone: string;
  service: string;
  slots: number;
  target: FakeTarget;
  crashed: boolean;
}

/** A root request, or one of its calls: `step` counts the calls made so far. */
export interface ChainCall {
  root: string;
  /** Spreads root requests, see the core's rank. */
  cohort: number;
  load: LoadPlan;
  step: number;
  deadline: number;
}

/** Counts over one run, for the ratios. */
export interface Counters {
  /** First offers of calls, and offers that repeat one. */
  firstOffers: number;
  repeats: number;
  /** Work started at targets, by try of a root request. */
  startsByTry: Map<string, number>;
}

/** World of one run. */
export class World {
  readonly time = new VirtualTime();
  readonly random: Random;
  readonly hosts: Host[] = [];
  readonly counters: Counters = { firstOffers: 0, repeats: 0, startsByTry: new Map() };
  private readonly _byName = new Map<string, Host>();
  private readonly _byService = new Map<string, Host[]>();
  private readonly _isolatedZones = new Set<string>();

  constructor(
    readonly deployment: Deployment,
    seed: number,
  ) {
    this.random = seededRandom(seed);
    for (const plan of deployment.services) {
      for (let i = 0; i < plan.targets; i++) {
        const zone = deployment.zones[(i + this.hosts.length) % deployment.zones.length] ?? '';
        const target = new FakeTarget(this.time, this.random, plan.slots, plan.workMs);
        const { name: service, slots } = plan;
        const host = { index: this.hosts.length, name: `${service}-${i + 1}`, zone, service, slots, target, crashed: false };
        this.hosts.push(host);
        this._byName.set(host.name, host);
        this._byService.set(service, [...this.hostsOf(service), host]);
      }
    }
  }

  /** Hosts of a service. */
  hostsOf(service: string): Host[] {
    return this._byService.get(service) ?? [];
  }

  /** The host of this name. */
  hostNamed(name: string): Host | undefined {
    return this._byName.get(name);
  }

  /** One-way network time between two hosts; undefined when they are cut off from each other. */
  delayMs(from: Host, to: Host): number | undefined {
    if (from.zone === to.zone) {
      return kIntraZoneDelayMs;
    }
    return this._isolatedZones.has(from.zone) || this._isolatedZones.has(to.zone) ? undefined : this.deployment.interZoneDelayMs;
  }

  /** Cuts a zone off from the others, or heals it. */
  setZoneIsolated(zone: string, isolated: boolean): void {
    if (isolated) {
      this._isolatedZones.add(zone);
    } else {
      this._isolatedZones.delete(zone);
    }
  }

  /** Notes work that a target started for a try of a root request. */
  recordStart(root: string): void {
    const { startsByTry } = this.counters;
    startsByTry.set(root, (startsByTry.get(root) ?? 0) + 1);
  }
}
