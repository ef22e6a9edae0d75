/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Divides the quota of a workspace into parts with one owner each. Every daemon works the owners out by itself from the hosts' records,
 * so nothing has to be agreed on, and the parts sum to no more than the whole whoever is cut off, frozen or dead.
 */

import type { QuotaSettings } from '@gentiandrum/protocol';
import { RendezvousRank } from '../util/rendezvous.js';

/** Owners of a workspace in one zone: with one owner lost, two thirds of the zone's part stay of use. */
const kOwnersPerZone = 3;
/** Most parts in all: each should hold more than one whole request of the smallest workspaces. */
const kMaxParts = 12;
/** Shares of the slack that the parts' capacity takes, and what parts begin with. The rest is for hosts that join and leave. */
const kCapacitySlack = 0.45;
const kStartSlack = 0.45;
/** Share of the overage that parts begin with. */
const kStartOverage = 0.5;

/** A host that can own parts. */
export interface QuotaHost {
  host: string;
  zone: string;
}

/** Limits of a workspace. */
export interface QuotaLimits {
  ratePerSecond: number;
  burst: number;
}

/** One part of a quota. */
export interface QuotaPart {
  host: string;
  zone: string;
  /** Share of the whole. */
  share: number;
}

/** Limits of one part, in requests. */
export interface PartLimits {
  ratePerSecond: number;
  capacity: number;
  /** What it begins with. */
  start: number;
}

/** What may run in any window, over all daemons together. */
export function windowBound({ ratePerSecond, burst }: QuotaLimits, settings: QuotaSettings): number {
  return (ratePerSecond * settings.windowSeconds + burst) * (1 + settings.overage) + settings.slack;
}

/** Limits of a part with a share of the whole; their sum over all parts is the bound less what is kept for joins and leavings. */
export function partLimits({ ratePerSecond, burst }: QuotaLimits, share: number, settings: QuotaSettings): PartLimits {
  const perWindow = ratePerSecond * settings.windowSeconds + burst;
  const capacity = share * (burst + kCapacitySlack * settings.slack);
  const start = share * (kStartSlack * settings.slack + kStartOverage * settings.overage * perWindow);
  return { ratePerSecond: ratePerSecond * share, capacity, start: Math.min(capacity, start) };
}

/** The parts of one workspace's quota, by rendezvous over the hosts known. */
export class QuotaParts {
  private readonly _rank: RendezvousRank;

  constructor(
    workspace: string,
    private readonly _settings: QuotaSettings,
  ) {
    this._rank = new RendezvousRank(workspace);
  }

  /** The parts, in the order of their owners' rank. */
  divide(hosts: readonly QuotaHost[], limits: QuotaLimits): QuotaPart[] {
    const zones = new Map<string, QuotaHost[]>();
    for (const host of this._rank.order(hosts)) {
      zones.set(host.zone, [...(zones.get(host.zone) ?? []), host]);
    }
    const parts = this._mostParts(limits);
    if (parts < zones.size) {
      return this._equalParts(hosts, parts);
    }
    const perZone = Math.min(kOwnersPerZone, Math.floor(parts / zones.size));
    return [...zones.values()].flatMap((ranked) => {
      const owners = ranked.slice(0, perZone);
      return owners.map(({ host, zone }) => ({ host, zone, share: ranked.length / hosts.length / owners.length }));
    });
  }

  /** Each part should hold a whole request. */
  private _mostParts({ burst }: QuotaLimits): number {
    return Math.max(1, Math.min(kMaxParts, Math.floor(burst + kCapacitySlack * this._settings.slack)));
  }

  private _equalParts(hosts: readonly QuotaHost[], count: number): QuotaPart[] {
    const owners = this._rank.order(hosts).slice(0, count);
    return owners.map(({ host, zone }) => ({ host, zone, share: 1 / owners.length }));
  }
}
