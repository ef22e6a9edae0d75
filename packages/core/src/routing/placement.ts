/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Chooses the target of a call by the time that the caller would wait for it, with charges in milliseconds for what else it
 * costs: bytes that leave the zone, a target that is nearly full, and the same for the calls that the run itself will make.
 *
 * The charge of the calls below makes work leave a full zone at the top of its chain, where one crossing carries all of it.
 */

import type { TargetRecord } from '../membership/targetRecord.js';
import { monotonicMs } from '../util/clock.js';
import { RendezvousRank } from '../util/rendezvous.js';
import { FadingMeans } from './fadingMeans.js';
import { HostStats, kChargeHalfLifeMs, kMaxChainChargeMs, type PlacedEnd } from './hostStats.js';
import { Means } from './means.js';
import { subsetFor, type TargetSubset } from './targetSubset.js';

/**
 * Charge for another zone, in milliseconds for each KiB of a call and its answer: bytes between zones cost money, so a call
 * leaves its zone only when it gains more than this. At most a share of the latency target, which people count on.
 */
const kZoneChargePerKib = 150;
const kMaxZoneCharge = 0.4;
/** KiB of a call and its answer that are assumed until one ended, and what comes with every call: names, ids, times. */
const kAssumedKib = 1;
const kHeadKib = 0.16;
/**
 * Loads between which the charge for a busy target grows, up to a multiple of the charge for another zone: a full target is left
 * for one that has room, and not for one that is nearly as full.
 */
const kEasyLoad = 0.85;
const kFullLoad = 1.15;
const kFullCharge = 1.5;
/** Weight of the charge of the calls below in another zone: a chain that is about as dear there stays where it is. */
const kFarChainWeight = 2;
/** Time for a round trip between zones, in milliseconds; of the order of what deployments report. */
const kZoneRoundTripMs = 3;
/**
 * Share of failures that is not charged, as chains fail for reasons further down too, and the multiple of the mean time per call
 * that is charged for a share of one above that.
 */
const kUsualFailures = 0.1;
const kFailureCharge = 20;
/** Time per call that is assumed until one ended, in milliseconds. */
const kAssumedMs = 20;
/** Share of the mean time that is charged for a load of one, so that of equal targets the emptier one is taken. */
const kLoadTie = 0.5;
/**
 * Targets beyond the usual ones that are compared when those are full or can't be reached, drawn anew for each call: ingresses whose
 * usual targets are full together don't all go to the same next one.
 */
const kFurtherSize = 6;
/** Charge for a target that can't be reached, in milliseconds: above all others. */
const kAvoidChargeMs = 1e6;
/**
 * Comparisons in a row that a target of the own zone loses before that is worth a line in the log: of the eight or so usual ones an
 * ordinary target wins one in eight, so an engineer who asks why a host gets no work finds only those that something is held against.
 */
const kPassedOver = 100;

/** A target of the own zone that lost many comparisons in a row, and what was held against it. */
export interface PassedOver {
  host: string;
  comparisons: number;
  /** Mean times of its calls by their routes, in milliseconds, and those over all hosts. */
  meanMs: Record<string, number>;
  usualMs: Record<string, number>;
  /** Share of its calls that failed. */
  failures: number;
  /** How much longer it is taken for unreachable, in milliseconds. */
  avoidedMs: number;
  /** Calls on it and on the way to it, for each that it may run at once. */
  load: number;
}

/** What a choice needs of a route. */
export interface PlacedRoute {
  name: string;
  latencyTargetMs: number;
}

/** What all comparisons of one choice share. */
interface Comparison {
  route: PlacedRoute;
  excluded: ReadonlySet<string>;
  now: number;
  zoneChargeMs: number;
  chainWeight: number;
}

/** A candidate as it was compared. */
interface Compared {
  target: TargetRecord;
  score: number;
  chargeMs: number;
  load: number;
  avoided: boolean;
}

/** Chooses targets, and remembers how they did. Times are kept by route: those of different routes can't be compared. */
export class Placement {
  private readonly _stats = new Map<string, HostStats>();
  /** Mean time of a call by its route over all hosts, in milliseconds: what a host is taken for until it has shown better. */
  private readonly _routeMeanMs = new Means();
  private readonly _routeKib = new Means();
  /** Charges of the targets that calls of a route went to. */
  private readonly _routeChargeMs = new FadingMeans(kChargeHalfLifeMs);
  private readonly _rank: RendezvousRank;
  /** By the list of candidates, which is another one after each change of a record in it. */
  private readonly _subsets = new WeakMap<readonly TargetRecord[], TargetSubset>();

  constructor(
    private readonly _host: string,
    private readonly _zone: string,
    private readonly _random: () => number,
  ) {
    this._rank = new RendezvousRank(_host);
  }

  /**
   * The best candidate that is not excluded, among the usual ones of this ingress and, when those are full, some further ones. The
   * cost of a choice does not grow with the service: 4 to 5 microseconds at 10, 100 and 500 targets (`bench:choice`, warm), where
   * comparing them all took 6, 53 and 248.
   */
  choose(candidates: readonly TargetRecord[], excluded: ReadonlySet<string>, route: PlacedRoute): TargetRecord | undefined {
    const now = monotonicMs();
    const view: Comparison = {
      route,
      excluded,
      now,
      zoneChargeMs: this._zoneChargeMs(route),
      // Drawn once a choice: a charge that is just over the one for another zone moves some calls, and not all of them at once.
      chainWeight: 2 * this._random(),
    };
    const { usual, further } = this._subsetOf(candidates);
    let best = this._best(usual, view, undefined);
    if (further.length > 0 && (best === undefined || best.load > kEasyLoad || best.avoided)) {
      best = this._best(this._sampleOf(further), view, best);
    }
    if (!best) {
      return undefined;
    }
    this._routeChargeMs.renew(route.name, best.chargeMs, now);
    this._of(best.target.host).passedOver = 0;
    return best.target;
  }

  /** Mean charge of the targets that calls of a route went to lately, in milliseconds; it fades when there are none. */
  chargeMs(route: string): number {
    return Math.min(kMaxChainChargeMs, this._routeChargeMs.at(route, monotonicMs()));
  }

  /** Targets of the own zone among `candidates` that are compared again and again and never chosen, with the reasons. */
  passedOver(candidates: readonly TargetRecord[]): PassedOver[] {
    const now = monotonicMs();
    return candidates.flatMap((target) => {
      const stats = this._stats.get(target.host);
      return stats && stats.passedOver >= kPassedOver ? [this._whyPassedOver(target, stats, now)] : [];
    });
  }

  /** Notes that a call was sent to a host. */
  sent(host: string): void {
    this._of(host).sent();
  }

  /** Notes the end of a call. */
  ended(host: string, route: string, end: PlacedEnd): void {
    if (end.bytes !== undefined) {
      this._routeKib.renew(route, end.bytes / 1_024 + kHeadKib);
    }
    this._of(host).ended(route, end, this._usualMs(route), monotonicMs());
    if (end.tookMs !== undefined) {
      this._routeMeanMs.renew(route, end.tookMs);
    }
  }

  /** Passes a host over for a while: it could not be reached. */
  avoid(host: string): void {
    this._of(host).avoid(monotonicMs());
  }

  /** Ends the avoidance of a host: it was heard of again. */
  reached(host: string): void {
    this._of(host).reached();
  }

  /** Starts afresh with a host whose target is a new one. */
  forget(host: string): void {
    this._stats.delete(host);
  }

  private _whyPassedOver(target: TargetRecord, stats: HostStats, now: number): PassedOver {
    const { routes } = stats;
    return {
      host: target.host,
      comparisons: stats.passedOver,
      meanMs: Object.fromEntries(routes.map((route) => [route, Math.round(stats.meanMs(route, this._usualMs(route), now))])),
      usualMs: Object.fromEntries(routes.map((route) => [route, Math.round(this._usualMs(route))])),
      failures: stats.failures(now),
      avoidedMs: Math.round(stats.avoidedMs(now)),
      load: stats.load(target, now),
    };
  }

  private _zoneChargeMs({ name, latencyTargetMs }: PlacedRoute): number {
    return Math.min(kMaxZoneCharge * latencyTargetMs, this._kibOf(name) * kZoneChargePerKib) + kZoneRoundTripMs;
  }

  private _subsetOf(candidates: readonly TargetRecord[]): TargetSubset {
    let subset = this._subsets.get(candidates);
    if (!subset) {
      subset = subsetFor(this._host, this._zone, candidates, this._rank);
      this._subsets.set(candidates, subset);
    }
    return subset;
  }

  /** Half of the sample comes from the front, where the own zone is, as long as that has any. */
  private _sampleOf(further: readonly TargetRecord[]): TargetRecord[] {
    if (further.length <= kFurtherSize) {
      return [...further];
    }
    const firstFar = further.findIndex(({ zone }) => zone !== this._zone);
    const nearCount = firstFar < 0 ? further.length : firstFar;
    const near = Math.min(nearCount, kFurtherSize / 2);
    return [...this._draw(further, 0, nearCount, near), ...this._draw(further, 0, further.length, kFurtherSize - near)];
  }

  /** `count` neighbours from a random place between two indices, around the end. */
  private _draw(list: readonly TargetRecord[], from: number, to: number, count: number): TargetRecord[] {
    const start = Math.floor(this._random() * (to - from));
    return Array.from({ length: count }, (_, i) => list[from + ((start + i) % (to - from))]).filter((target) => target !== undefined);
  }

  private _best(targets: readonly TargetRecord[], view: Comparison, before: Compared | undefined): Compared | undefined {
    let best = before;
    for (const target of targets) {
      if (!view.excluded.has(target.host)) {
        const compared = this._compare(target, view);
        best = best === undefined || compared.score < best.score ? compared : best;
      }
    }
    return best;
  }

  private _compare(target: TargetRecord, { route, now, zoneChargeMs, chainWeight }: Comparison): Compared {
    const stats = this._of(target.host);
    const load = stats.load(target, now);
    const chainMs = stats.chargeMs(route.name, now);
    const far = target.zone !== this._zone;
    stats.passedOver += far ? 0 : 1;
    const ownMs = (far ? zoneChargeMs : 0) + fullness(load) * kFullCharge * zoneChargeMs;
    const weighedMs = chainMs * chainWeight * (far ? kFarChainWeight : 1);
    const avoided = stats.avoidedMs(now) > 0;
    const score = this._timeOf(stats, route, load, now) + ownMs + weighedMs + (avoided ? kAvoidChargeMs : 0) + this._random();
    return { target, score, chargeMs: ownMs + chainMs, load, avoided };
  }

  private _kibOf(route: string): number {
    return this._routeKib.of(route) ?? kAssumedKib;
  }

  /** What a host is taken for that has not shown otherwise, in milliseconds. */
  private _usualMs(route: string): number {
    return this._routeMeanMs.of(route) ?? kAssumedMs;
  }

  /** Time of a call, weighed by what it takes of the latency target; load breaks ties between equal targets. */
  private _timeOf(stats: HostStats, { name: route, latencyTargetMs }: PlacedRoute, load: number, now: number): number {
    const mean = stats.meanMs(route, this._usualMs(route), now);
    const weighed = mean * Math.min(1, mean / latencyTargetMs);
    const failures = Math.max(0, stats.failures(now) - kUsualFailures);
    return weighed + mean * (load * kLoadTie + failures * kFailureCharge);
  }

  private _of(host: string): HostStats {
    let stats = this._stats.get(host);
    if (!stats) {
      stats = new HostStats();
      this._stats.set(host, stats);
    }
    return stats;
  }
}

/** How full a target is, from 0 at an easy load to 1. */
function fullness(load: number): number {
  return Math.min(1, Math.max(0, (load - kEasyLoad) / (kFullLoad - kEasyLoad)));
}
