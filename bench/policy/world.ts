/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Simulates the hosts, targets and network of one deployment in virtual time, for all policies. */

import { type Random, seededRandom } from '@gentiandrum/core';
import { type Deployment, kIntraZoneDelayMs, type LoadPlan } from './deployment.js';
import { FakeTarget } from './fakeTarget.js';
import { VirtualTime } from './virtualTime.js';

/** A host with its target. */
export interface Host {
  index: number;
  name: string;
  zone: string;
  service: string;
  slots: number;
  target: FakeTarget;
  crashed: boolean;
}

/** A call of a root request's chain; `step` is its position in the chain. */
export interface ChainCall {
  root: string;
  /** Cohort of the root request, part of its rank. */
  cohort: number;
  load: LoadPlan;
  step: number;
  deadline: number;
}

/** Counts over one run. */
export interface Counters {
  /** First offers of calls. */
  firstOffers: number;
  /** Further offers of the same calls. */
  repeats: number;
  /** Calls started at targets, by try of a root request. */
  startsByTry: Map<string, number>;
}

/** The simulated deployment of one run. */
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

  hostsOf(service: string): Host[] {
    return this._byService.get(service) ?? [];
  }

  hostNamed(name: string): Host | undefined {
    return this._byName.get(name);
  }

  /** One-way network delay between two hosts, in milliseconds; undefined when a partition separates them. */
  delayMs(from: Host, to: Host): number | undefined {
    if (from.zone === to.zone) {
      return kIntraZoneDelayMs;
    }
    return this._isolatedZones.has(from.zone) || this._isolatedZones.has(to.zone) ? undefined : this.deployment.interZoneDelayMs;
  }

  /** Isolates a zone from the others, or reconnects it. */
  setZoneIsolated(zone: string, isolated: boolean): void {
    if (isolated) {
      this._isolatedZones.add(zone);
    } else {
      this._isolatedZones.delete(zone);
    }
  }

  /** Records that a target started a call for a try of a root request. */
  recordStart(root: string): void {
    const { startsByTry } = this.counters;
    startsByTry.set(root, (startsByTry.get(root) ?? 0) + 1);
  }
}
