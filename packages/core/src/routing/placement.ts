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
import { DecayingAverages } from './decayingAverages.js';
import { HostStats, kChargeHalfLifeMs, kMaxChainChargeMs, type PlacedCallResult } from './hostStats.js';
import { MovingAverages } from './movingAverages.js';
import { subsetFor, type TargetSubset } from './targetSubset.js';

/**
 * Charge for another zone, in milliseconds for each KiB of a call and its answer: bytes between zones cost money, so a call
 * leaves its zone only when it gains more than this. At most a share of the latency target, which people count on.
 */
const kZoneChargePerKib = 150;
const kMaxZoneChargeShare = 0.4;
/** KiB of a call and its answer that are assumed until one ended, and what comes with every call: names, ids, times. */
const kAssumedKib = 1;
const kHeaderKib = 0.16;
/**
 * Loads between which the charge for a busy target grows, up to a multiple of the charge for another zone: a full target is left
 * for one that has room, and not for one that is nearly as full.
 */
const kBusyLoad = 0.85;
const kFullLoad = 1.15;
const kFullLoadChargeFactor = 1.5;
/** Weight of the charge of the calls below in another zone: a chain that is about as dear there stays where it is. */
const kOtherZoneChainWeight = 2;
/** Time for a round trip between zones, in milliseconds; of the order of what deployments report. */
const kZoneRoundTripMs = 3;
/**
 * Share of failures that is not charged, as chains fail for reasons further down too, and the multiple of the mean time per call
 * that is charged for a share of one above that.
 */
const kToleratedFailureRate = 0.1;
const kFailureChargeFactor = 20;
/** Time per call that is assumed until one ended, in milliseconds. */
const kAssumedCallMs = 20;
/** Share of the mean time that is charged for a load of one, so that of equal targets the emptier one is taken. */
const kLoadTieBreakFactor = 0.5;
/**
 * Targets beyond the usual ones that are compared when those are full or can't be reached, drawn anew for each call: ingresses whose
 * usual targets are full together don't all go to the same next one.
 */
const kFallbackSampleSize = 6;
/** Charge for a target that can't be reached, in milliseconds: above all others. */
const kUnreachableChargeMs = 1e6;
/**
 * Comparisons in a row that a target of the own zone loses before that is worth a line in the log: of the eight or so usual ones an
 * ordinary target wins one in eight, so an engineer who asks why a host gets no work finds only those that something is held against.
 */
const kUnchosenComparisons = 100;

/** A target of the own zone that lost many comparisons in a row, and what was held against it. */
export interface UnchosenTarget {
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
interface ComparisonContext {
  route: PlacedRoute;
  excluded: ReadonlySet<string>;
  now: number;
  zoneChargeMs: number;
  chainWeight: number;
}

/** A candidate as it was compared. */
interface ScoredTarget {
  target: TargetRecord;
  score: number;
  chargeMs: number;
  load: number;
  unreachable: boolean;
}

/** Chooses targets, and remembers how they did. Times are kept by route: those of different routes can't be compared. */
export class Placement {
  private readonly _stats = new Map<string, HostStats>();
  /** Mean time of a call by its route over all hosts, in milliseconds: what a host is taken for until it has shown better. */
  private readonly _routeMeanMs = new MovingAverages();
  private readonly _routeKib = new MovingAverages();
  /** Charges of the targets that calls of a route went to. */
  private readonly _routeChargeMs = new DecayingAverages(kChargeHalfLifeMs);
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
    const context: ComparisonContext = {
      route,
      excluded,
      now,
      zoneChargeMs: this._zoneChargeMs(route),
      // Drawn once a choice: a charge that is just over the one for another zone moves some calls, and not all of them at once.
      chainWeight: 2 * this._random(),
    };
    const { primary, fallback } = this._subsetOf(candidates);
    let best = this._lowestScore(primary, context, undefined);
    if (fallback.length > 0 && (best === undefined || best.load > kBusyLoad || best.unreachable)) {
      best = this._lowestScore(this._sampleFallback(fallback), context, best);
    }
    if (!best) {
      return undefined;
    }
    this._routeChargeMs.update(route.name, best.chargeMs, now);
    this._statsOf(best.target.host).comparisonsSinceChosen = 0;
    return best.target;
  }

  /** Mean charge of the targets that calls of a route went to lately, in milliseconds; it fades when there are none. */
  chargeMs(route: string): number {
    return Math.min(kMaxChainChargeMs, this._routeChargeMs.valueAt(route, monotonicMs()));
  }

  /** Targets of the own zone among `candidates` that are compared again and again and never chosen, with the reasons. */
  unchosenTargets(candidates: readonly TargetRecord[]): UnchosenTarget[] {
    const now = monotonicMs();
    return candidates.flatMap((target) => {
      const stats = this._stats.get(target.host);
      return stats && stats.comparisonsSinceChosen >= kUnchosenComparisons ? [this._explainUnchosen(target, stats, now)] : [];
    });
  }

  /** Notes that a call was sent to a host. */
  recordSent(host: string): void {
    this._statsOf(host).recordSent();
  }

  /** Notes the end of a call. */
  recordResult(host: string, route: string, result: PlacedCallResult): void {
    if (result.bytes !== undefined) {
      this._routeKib.update(route, result.bytes / 1_024 + kHeaderKib);
    }
    this._statsOf(host).recordResult(route, result, this._usualMs(route), monotonicMs());
    if (result.tookMs !== undefined) {
      this._routeMeanMs.update(route, result.tookMs);
    }
  }

  /** Passes a host over for a while: it could not be reached. */
  markUnreachable(host: string): void {
    this._statsOf(host).markUnreachable(monotonicMs());
  }

  /** Ends the avoidance of a host: it was heard of again. */
  markReachable(host: string): void {
    this._statsOf(host).markReachable();
  }

  /** Starts afresh with a host whose target is a new one. */
  resetHost(host: string): void {
    this._stats.delete(host);
  }

  private _explainUnchosen(target: TargetRecord, stats: HostStats, now: number): UnchosenTarget {
    const { routes } = stats;
    return {
      host: target.host,
      comparisons: stats.comparisonsSinceChosen,
      meanMs: Object.fromEntries(routes.map((route) => [route, Math.round(stats.meanMs(route, this._usualMs(route), now))])),
      usualMs: Object.fromEntries(routes.map((route) => [route, Math.round(this._usualMs(route))])),
      failures: stats.failureRate(now),
      avoidedMs: Math.round(stats.remainingBackoffMs(now)),
      load: stats.load(target, now),
    };
  }

  private _zoneChargeMs({ name, latencyTargetMs }: PlacedRoute): number {
    return Math.min(kMaxZoneChargeShare * latencyTargetMs, this._kibOf(name) * kZoneChargePerKib) + kZoneRoundTripMs;
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
  private _sampleFallback(fallback: readonly TargetRecord[]): TargetRecord[] {
    if (fallback.length <= kFallbackSampleSize) {
      return [...fallback];
    }
    const firstOtherZone = fallback.findIndex(({ zone }) => zone !== this._zone);
    const ownZoneCount = firstOtherZone < 0 ? fallback.length : firstOtherZone;
    const ownZoneDraws = Math.min(ownZoneCount, kFallbackSampleSize / 2);
    return [
      ...this._drawRun(fallback, 0, ownZoneCount, ownZoneDraws),
      ...this._drawRun(fallback, 0, fallback.length, kFallbackSampleSize - ownZoneDraws),
    ];
  }

  /** `count` neighbours from a random place between two indices, around the end. */
  private _drawRun(list: readonly TargetRecord[], from: number, to: number, count: number): TargetRecord[] {
    const start = Math.floor(this._random() * (to - from));
    return Array.from({ length: count }, (_, i) => list[from + ((start + i) % (to - from))]).filter((target) => target !== undefined);
  }

  private _lowestScore(
    targets: readonly TargetRecord[],
    context: ComparisonContext,
    initial: ScoredTarget | undefined,
  ): ScoredTarget | undefined {
    let best = initial;
    for (const target of targets) {
      if (!context.excluded.has(target.host)) {
        const scored = this._score(target, context);
        best = best === undefined || scored.score < best.score ? scored : best;
      }
    }
    return best;
  }

  private _score(target: TargetRecord, { route, now, zoneChargeMs, chainWeight }: ComparisonContext): ScoredTarget {
    const stats = this._statsOf(target.host);
    const load = stats.load(target, now);
    const chainMs = stats.chargeMs(route.name, now);
    const inOtherZone = target.zone !== this._zone;
    stats.comparisonsSinceChosen += inOtherZone ? 0 : 1;
    const directChargeMs = (inOtherZone ? zoneChargeMs : 0) + congestionOf(load) * kFullLoadChargeFactor * zoneChargeMs;
    const chainChargeMs = chainMs * chainWeight * (inOtherZone ? kOtherZoneChainWeight : 1);
    const unreachable = stats.remainingBackoffMs(now) > 0;
    const score =
      this._timeScore(stats, route, load, now) + directChargeMs + chainChargeMs + (unreachable ? kUnreachableChargeMs : 0) + this._random();
    return { target, score, chargeMs: directChargeMs + chainMs, load, unreachable };
  }

  private _kibOf(route: string): number {
    return this._routeKib.get(route) ?? kAssumedKib;
  }

  /** What a host is taken for that has not shown otherwise, in milliseconds. */
  private _usualMs(route: string): number {
    return this._routeMeanMs.get(route) ?? kAssumedCallMs;
  }

  /** Time of a call, weighed by what it takes of the latency target; load breaks ties between equal targets. */
  private _timeScore(stats: HostStats, { name: route, latencyTargetMs }: PlacedRoute, load: number, now: number): number {
    const mean = stats.meanMs(route, this._usualMs(route), now);
    const weighed = mean * Math.min(1, mean / latencyTargetMs);
    const failures = Math.max(0, stats.failureRate(now) - kToleratedFailureRate);
    return weighed + mean * (load * kLoadTieBreakFactor + failures * kFailureChargeFactor);
  }

  private _statsOf(host: string): HostStats {
    let stats = this._stats.get(host);
    if (!stats) {
      stats = new HostStats();
      this._stats.set(host, stats);
    }
    return stats;
  }
}

/** How full a target is, from 0 at an easy load to 1. */
function congestionOf(load: number): number {
  return Math.min(1, Math.max(0, (load - kBusyLoad) / (kFullLoad - kBusyLoad)));
}
