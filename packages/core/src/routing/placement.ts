/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Chooses the target of a call by its expected duration plus charges, in milliseconds, for traffic between zones, for a nearly full
 * target, and for the downstream calls of the run. The charge for downstream calls moves work out of a full zone at the top of its call
 * chain, where a single call crosses zones.
 */

import type { TargetRecord } from '../membership/targetRecord.js';
import { monotonicMs } from '../util/clock.js';
import { RendezvousRank } from '../util/rendezvousRank.js';
import { DecayingAverages } from './decayingAverages.js';
import { HostStats, kChargeHalfLifeMs, kMaxChainChargeMs, type PlacedCallResult } from './hostStats.js';
import { MovingAverages } from './movingAverages.js';
import { subsetFor, type TargetSubset } from './targetSubset.js';

/**
 * Charge for traffic between zones, in milliseconds for each KiB of a request and its response, and its upper bound as a share of the
 * latency target. Traffic between zones costs money, so a call leaves its zone only if it gains more than the charge; users rely on the
 * latency target, so the charge never reaches it.
 */
const kZoneChargePerKib = 150;
const kMaxZoneChargeShare = 0.4;
/** Assumed size of a call before the first result, and the size of the metadata of each call, in KiB. */
const kAssumedKib = 1;
const kHeaderKib = 0.16;
/**
 * Loads between which the charge for a busy target grows linearly, and its maximum as a multiple of the charge for another zone. A full
 * target loses to one with free capacity, but not to one that is nearly as full.
 */
const kBusyLoad = 0.85;
const kFullLoad = 1.15;
const kFullLoadChargeFactor = 1.5;
/** Weight of the charge for downstream calls in another zone: a call chain moves there only if it costs clearly less. */
const kOtherZoneChainWeight = 2;
/** Assumed round-trip time between zones, in milliseconds; of the order that deployments report. */
const kZoneRoundTripMs = 3;
/**
 * Failure rate that is not charged, as calls also fail because of downstream targets, and the charge for the rate above it, as a multiple
 * of the mean call duration.
 */
const kToleratedFailureRate = 0.1;
const kFailureChargeFactor = 20;
/** Assumed duration of a call before the first result, in milliseconds. */
const kAssumedCallMs = 20;
/** Share of the mean call duration that is charged for a load of one, so that the less loaded of two equal targets wins. */
const kLoadTieBreakFactor = 0.5;
/**
 * Fallback targets that are compared when the primary ones are full or unreachable. They are sampled for each call, so that ingresses with
 * full primary targets do not all switch to the same one.
 */
const kFallbackSampleSize = 6;
/** Charge for an unreachable target, in milliseconds; larger than any other charge. */
const kUnreachableChargeMs = 1e6;
/**
 * Consecutive comparisons without being chosen after which a target of the local zone is reported. Of some eight primary targets an
 * ordinary one is chosen once in eight, so only targets with a disadvantage are reported.
 */
const kUnchosenComparisons = 100;

/** A target of the local zone that is compared repeatedly but never chosen, with the values that decide its score. */
export interface UnchosenTarget {
  host: string;
  comparisons: number;
  /** Mean call durations by route, in milliseconds, of this host and over all hosts. */
  meanMs: Record<string, number>;
  usualMs: Record<string, number>;
  /** Failure rate of its calls. */
  failures: number;
  /** Remaining time for which it is deprioritized as unreachable, in milliseconds. */
  avoidedMs: number;
  /** Calls at the target and in transit to it, divided by the number that it runs concurrently. */
  load: number;
}

/** The route data that a choice needs. */
export interface PlacedRoute {
  name: string;
  latencyTargetMs: number;
}

/** Inputs that are the same for all candidates of one choice. */
interface ComparisonContext {
  route: PlacedRoute;
  excluded: ReadonlySet<string>;
  now: number;
  zoneChargeMs: number;
  chainWeight: number;
}

/** A candidate and its score; the lowest score wins. */
interface ScoredTarget {
  target: TargetRecord;
  score: number;
  chargeMs: number;
  load: number;
  unreachable: boolean;
}

/** Chooses targets and keeps statistics about them. Durations are kept by route, as those of different routes are not comparable. */
export class Placement {
  private readonly _stats = new Map<string, HostStats>();
  /** Mean call duration by route over all hosts, in milliseconds; assumed for a host without results. */
  private readonly _routeMeanMs = new MovingAverages();
  private readonly _routeKib = new MovingAverages();
  /** Mean charge of the chosen targets, by route, in milliseconds. */
  private readonly _routeChargeMs = new DecayingAverages(kChargeHalfLifeMs);
  private readonly _rank: RendezvousRank;
  /** Keyed by the list of candidates, which is replaced whenever one of its records changes. */
  private readonly _subsets = new WeakMap<readonly TargetRecord[], TargetSubset>();

  constructor(
    private readonly _host: string,
    private readonly _zone: string,
    private readonly _random: () => number,
  ) {
    this._rank = new RendezvousRank(_host);
  }

  /**
   * Returns the best candidate that is not excluded, among the primary ones and, when those are full or unreachable, a sample of the
   * fallback ones. The cost does not grow with the number of candidates: 4 to 5 microseconds with 10, 100 or 500, where comparing all takes
   * 6, 53 and 248.
   */
  choose(candidates: readonly TargetRecord[], excluded: ReadonlySet<string>, route: PlacedRoute): TargetRecord | undefined {
    const now = monotonicMs();
    const context: ComparisonContext = {
      route,
      excluded,
      now,
      zoneChargeMs: this._zoneChargeMs(route),
      // A random weight for each choice moves calls to another zone gradually rather than all at once.
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

  /** Exponentially decaying mean charge of the targets chosen for a route, in milliseconds. */
  chargeMs(route: string): number {
    return Math.min(kMaxChainChargeMs, this._routeChargeMs.valueAt(route, monotonicMs()));
  }

  /** Returns the targets of the local zone that are compared repeatedly but never chosen. */
  unchosenTargets(candidates: readonly TargetRecord[]): UnchosenTarget[] {
    const now = monotonicMs();
    return candidates.flatMap((target) => {
      const stats = this._stats.get(target.host);
      return stats && stats.comparisonsSinceChosen >= kUnchosenComparisons ? [this._explainUnchosen(target, stats, now)] : [];
    });
  }

  /** Records a call that was sent to a host; `rateLimit` is the limit that its target states, in requests per second. */
  recordSent(host: string, rateLimit?: number): void {
    this._statsOf(host).recordSent(rateLimit, monotonicMs());
  }

  recordResult(host: string, route: string, result: PlacedCallResult): void {
    if (result.bytes !== undefined) {
      this._routeKib.update(route, result.bytes / 1_024 + kHeaderKib);
    }
    this._statsOf(host).recordResult(route, result, this._usualMs(route), monotonicMs());
    if (result.tookMs !== undefined) {
      this._routeMeanMs.update(route, result.tookMs);
    }
  }

  /** Deprioritizes a host for a limited time after it could not be reached. */
  markUnreachable(host: string): void {
    this._statsOf(host).markUnreachable(monotonicMs());
  }

  /** Stops deprioritizing a host. */
  markReachable(host: string): void {
    this._statsOf(host).markReachable();
  }

  /** Discards the statistics of a host whose target was replaced. */
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

  /** Takes up to half of the sample from the local zone, whose targets come first in the list. */
  private _sampleFallback(fallback: readonly TargetRecord[]): TargetRecord[] {
    if (fallback.length <= kFallbackSampleSize) {
      return [...fallback];
    }
    const firstOtherZone = fallback.findIndex(({ zone }) => zone !== this._zone);
    const localZoneCount = firstOtherZone < 0 ? fallback.length : firstOtherZone;
    const localZoneDraws = Math.min(localZoneCount, kFallbackSampleSize / 2);
    return [
      ...this._drawRun(fallback, 0, localZoneCount, localZoneDraws),
      ...this._drawRun(fallback, 0, fallback.length, kFallbackSampleSize - localZoneDraws),
    ];
  }

  /** Returns `count` consecutive items from a random start in the range, wrapping around at its end. */
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

  /** Mean call duration on a route over all hosts, in milliseconds. */
  private _usualMs(route: string): number {
    return this._routeMeanMs.get(route) ?? kAssumedCallMs;
  }

  /** Mean call duration, weighted by its share of the latency target, plus charges for load and failures. */
  private _timeScore(stats: HostStats, { name: route, latencyTargetMs }: PlacedRoute, load: number, now: number): number {
    const mean = stats.meanMs(route, this._usualMs(route), now);
    const weightedMean = mean * Math.min(1, mean / latencyTargetMs);
    const failures = Math.max(0, stats.failureRate(now) - kToleratedFailureRate);
    return weightedMean + mean * (load * kLoadTieBreakFactor + failures * kFailureChargeFactor);
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

/** Maps a load to a value from 0 (up to kBusyLoad) to 1 (from kFullLoad). */
function congestionOf(load: number): number {
  return Math.min(1, Math.max(0, (load - kBusyLoad) / (kFullLoad - kBusyLoad)));
}
