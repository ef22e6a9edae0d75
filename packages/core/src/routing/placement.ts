/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Chooses the target of a call by the time that the caller would wait for it, with a charge for leaving the zone.
 */

import type { RouteReport } from '../admission/chainModel.js';
import type { TargetRecord } from '../membership/targetRecord.js';
import { monotonicMs } from '../util/clock.js';

/**
 * Charge for another zone, as a share of the latency target: bytes between zones cost money, so a call leaves its zone only
 * when it gains more than this.
 */
const kZoneCharge = 0.25;
/** Load from which on a target is charged for it, and the charge for each load above, as a share of the latency target. */
const kEasyLoad = 0.85;
const kLoadCharge = 1.5;
/** Time for a round trip between zones, in milliseconds; of the order of what deployments report. */
const kZoneRoundTripMs = 3;
/** Time per call that is assumed until one ended, in milliseconds. */
const kAssumedMs = 20;
/** Weight of the newest answer in the mean time per call. */
const kMeanWeight = 0.1;
/** Age at which a report of load counts half, in milliseconds. */
const kReportHalfLifeMs = 500;
/** Weight of the newest outcome in the failure share. */
const kFailureWeight = 0.05;
/** Multiple of the mean time per call that is charged for a failure share of one. */
const kFailureCharge = 20;
/** Time for which a target that can't be reached is passed over, in milliseconds; doubles up to the longest. */
const kAvoidMs = 200;
const kLongestAvoidMs = 2_000;

/** Load of a target as its gate reports it with each answer. */
export interface LoadReport {
  inFlight: number;
  queued: number;
  limit: number;
  meanMs: number;
}

/** What a gate says with each answer: its load, and what it knows of the route. */
export type GateReport = LoadReport & RouteReport;

interface Stats {
  load: LoadReport;
  reportedAt: number;
  /** Calls sent and not answered. */
  outstanding: number;
  /** Outstanding calls at the time of the report. */
  outstandingThen: number;
  /** Mean time of a call by its route, in milliseconds. */
  meanMs: Map<string, number>;
  failures: number;
  avoidUntil: number;
  avoidMs: number;
}

/** What a choice needs of a route. */
export interface PlacedRoute {
  name: string;
  latencyTargetMs: number;
}

function renewMean(means: Map<string, number>, route: string, tookMs: number): void {
  const before = means.get(route);
  means.set(route, before === undefined ? tookMs : before + (tookMs - before) * kMeanWeight);
}

/** Chooses targets, and remembers how they did. Times are kept by route: those of different routes can't be compared. */
export class Placement {
  private readonly _stats = new Map<string, Stats>();
  /** Mean time of a call by its route over all hosts, in milliseconds: what a host is taken for until it has shown better. */
  private readonly _routeMeanMs = new Map<string, number>();

  constructor(
    private readonly _zone: string,
    private readonly _random: () => number,
  ) {}

  /** The best candidate that is not excluded. */
  choose(
    candidates: readonly TargetRecord[],
    excluded: ReadonlySet<string>,
    { name, latencyTargetMs }: PlacedRoute,
  ): TargetRecord | undefined {
    const now = monotonicMs();
    let best: TargetRecord | undefined;
    let bestScore = Infinity;
    for (const candidate of candidates) {
      if (excluded.has(candidate.host)) {
        continue;
      }
      const score = this._score(candidate, name, latencyTargetMs, now);
      if (score < bestScore || best === undefined) {
        best = candidate;
        bestScore = score;
      }
    }
    return best;
  }

  /** Notes that a call was sent to a host. */
  sent(host: string): void {
    this._of(host).outstanding++;
  }

  /** Notes the end of a call; `tookMs` counts when it was answered, and `failed` when the target did badly. */
  ended(host: string, route: string, end: { load?: LoadReport; tookMs?: number; failed: boolean }): void {
    const stats = this._of(host);
    stats.outstanding = Math.max(0, stats.outstanding - 1);
    stats.failures += ((end.failed ? 1 : 0) - stats.failures) * kFailureWeight;
    if (end.load) {
      stats.load = end.load;
      stats.reportedAt = monotonicMs();
      stats.outstandingThen = stats.outstanding;
      stats.avoidMs = 0;
    }
    if (end.tookMs !== undefined) {
      renewMean(stats.meanMs, route, end.tookMs);
      renewMean(this._routeMeanMs, route, end.tookMs);
    }
  }

  /** Passes a host over for a while: it could not be reached. */
  avoid(host: string): void {
    const stats = this._of(host);
    const now = monotonicMs();
    if (stats.avoidUntil <= now) {
      stats.avoidMs = Math.min(kLongestAvoidMs, Math.max(kAvoidMs, stats.avoidMs * 2));
      stats.avoidUntil = now + stats.avoidMs;
    }
  }

  /** Ends the avoidance of a host: it was heard of again. */
  reached(host: string): void {
    const stats = this._of(host);
    stats.avoidUntil = 0;
    stats.avoidMs = 0;
  }

  /** Starts afresh with a host whose target is a new one. */
  forget(host: string): void {
    this._stats.delete(host);
  }

  private _score(candidate: TargetRecord, route: string, latencyTargetMs: number, now: number): number {
    const stats = this._of(candidate.host);
    const mean = stats.meanMs.get(route) ?? this._routeMeanMs.get(route) ?? kAssumedMs;
    const limit = stats.load.limit > 0 ? stats.load.limit : Math.max(1, candidate.slots);
    const age = 0.5 ** ((now - stats.reportedAt) / kReportHalfLifeMs);
    const others = Math.max(0, stats.load.inFlight + stats.load.queued - stats.outstandingThen) * age;
    const load = (others + stats.outstanding + 1) / limit;
    // A full target is left for another zone before people are turned away for it.
    const wait = Math.max(0, load - kEasyLoad) * kLoadCharge * latencyTargetMs;
    const zone = candidate.zone === this._zone ? 0 : latencyTargetMs * kZoneCharge + kZoneRoundTripMs;
    const avoided = stats.avoidUntil > now ? 1e6 : 0;
    // Load below the limit breaks ties between equal targets, and keeps room for bursts.
    return mean * (1 + load * 0.5 + stats.failures * kFailureCharge) + wait + zone + avoided + this._random();
  }

  private _of(host: string): Stats {
    let stats = this._stats.get(host);
    if (!stats) {
      stats = {
        load: { inFlight: 0, queued: 0, limit: 0, meanMs: 0 },
        reportedAt: -Infinity,
        outstanding: 0,
        outstandingThen: 0,
        meanMs: new Map(),
        failures: 0,
        avoidUntil: 0,
        avoidMs: 0,
      };
      this._stats.set(host, stats);
    }
    return stats;
  }
}
