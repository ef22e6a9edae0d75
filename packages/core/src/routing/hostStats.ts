/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Statistics that one ingress keeps about the target on one host: latency, failures, load and reachability. */

import type { RouteReport } from '../admission/chainModel.js';
import { RateLoad } from '../admission/rateLoad.js';
import type { TargetRecord } from '../membership/targetRecord.js';
import { DecayingAverages } from './decayingAverages.js';
import type { SpeedStats } from './speedStats.js';

/**
 * Half-life of a host's deviation from the mean time of its route, in milliseconds. Without the decay, a host that was slow once would
 * receive no more calls, and its mean time could never recover.
 */
export const kMeanHalfLifeMs = 2_000;
/** Half-life of a load report, in milliseconds. */
const kReportHalfLifeMs = 500;
/** Half-life of a mean charge, in milliseconds. */
export const kChargeHalfLifeMs = 1_000;
/** Upper bound of the charge reported for the downstream calls of a route, in milliseconds. */
export const kMaxChainChargeMs = 1_500;
/** Weight of the newest result in the failure rate. */
const kFailureWeight = 0.05;
/** Half-life of the failure rate, in milliseconds. The decay lets a host that receives no calls recover. */
const kFailureHalfLifeMs = 2_000;
/**
 * Initial and longest time for which an unreachable host is deprioritized, in milliseconds; it doubles with each repetition. A link that is
 * reestablished in the background ends it at once, so it only limits the cost of a lost report of that.
 */
const kInitialBackoffMs = 1_000;
const kMaxBackoffMs = 8_000;

/** Load of a target, as its gate reports it with each response. */
export interface LoadReport {
  inFlight: number;
  queued: number;
  limit: number;
  meanMs: number;
  /** Arrivals relative to the rate limit of the target; undefined without a limit. */
  rateLoad?: number | undefined;
  /** How long work takes on the target's machine now, in percent of the usual time; undefined when the target does not state it. */
  slowness?: number | undefined;
}

/** Report of a gate with each response: its load, its data on the route, and the charge for the downstream calls of one run. */
export type GateReport = LoadReport & RouteReport & { chargeMs: number };

/** Result of a call, as the statistics of its target need it. */
export interface PlacedCallResult {
  load?: LoadReport & { chargeMs?: number };
  /** Duration in milliseconds; undefined without a successful response. */
  tookMs?: number;
  /** Total size of the request and response bodies; undefined without a response. */
  bytes?: number;
  /** Whether the call counts as a failure of the target. */
  failed: boolean;
}

/** Statistics of one host. Durations are kept by route, as those of different routes are not comparable. */
export class HostStats {
  /** Comparisons in which the host took part since it was last chosen. */
  comparisonsSinceChosen = 0;
  private _load: LoadReport = { inFlight: 0, queued: 0, limit: 0, meanMs: 0 };
  private _reportedAt = -Infinity;
  private readonly _rateLoad = new RateLoad();
  /** Calls that were sent and have no result yet. */
  private _outstanding = 0;
  /** Outstanding calls at the time of the latest load report. */
  private _outstandingAtReport = 0;
  private readonly _meanMs = new DecayingAverages(kMeanHalfLifeMs);
  /** Charges for the downstream calls of a route, in milliseconds. */
  private readonly _chargeMs = new DecayingAverages(kChargeHalfLifeMs);
  private _failureRate = 0;
  private _failureRateAt = 0;
  private _unreachableUntil = 0;
  private _backoffMs = 0;

  /** @param _speed slowness of the target; undefined where the choice does not use it */
  constructor(private readonly _speed?: SpeedStats) {}

  /** Routes that have a mean call duration. */
  get routes(): string[] {
    return this._meanMs.names;
  }

  /** Records a call that was sent to the target; `rateLimit` is the limit that the target states, in requests per second. */
  recordSent(rateLimit: number | undefined, now: number): void {
    this._outstanding++;
    if (rateLimit !== undefined) {
      this._rateLoad.add(rateLimit, now);
    }
  }

  /** Records the result of a call; `usualMs` is the mean duration on its route over all hosts. */
  recordResult(route: string, result: PlacedCallResult, usualMs: number, now: number): void {
    this._outstanding = Math.max(0, this._outstanding - 1);
    const failureRate = this.failureRate(now);
    this._failureRate = failureRate + ((result.failed ? 1 : 0) - failureRate) * kFailureWeight;
    this._failureRateAt = now;
    if (result.load) {
      this._recordReport(route, result.load, now);
    }
    if (result.tookMs !== undefined) {
      // The part of the mean that has decayed is replaced by the result, as it is no evidence of a misstatement.
      this._speed?.recordDuration(route, result.tookMs, this.meanMs(route, result.tookMs, now), now);
      this._meanMs.update(route, result.tookMs, now, usualMs, result.tookMs);
    }
  }

  /** Deprioritizes the host, with exponential backoff, after it could not be reached. */
  markUnreachable(now: number): void {
    if (this._unreachableUntil <= now) {
      this._backoffMs = Math.min(kMaxBackoffMs, Math.max(kInitialBackoffMs, this._backoffMs * 2));
      this._unreachableUntil = now + this._backoffMs;
    }
  }

  /** Ends the backoff. */
  markReachable(): void {
    this._unreachableUntil = 0;
    this._backoffMs = 0;
  }

  /** Remaining time for which the host is deprioritized, in milliseconds. */
  remainingBackoffMs(now: number): number {
    return Math.max(0, this._unreachableUntil - now);
  }

  /** Mean duration of a call, in milliseconds; decays towards `usualMs`. */
  meanMs(route: string, usualMs: number, now: number): number {
    return this._meanMs.valueAt(route, now, usualMs);
  }

  /** Mean duration of a call, adjusted to the slowness that the target states now, in milliseconds. */
  expectedMs(route: string, usualMs: number, now: number): number {
    return this.meanMs(route, usualMs, now) * (this._speed?.factor(route, now) ?? 1);
  }

  /** Slowness that the target states, in percent, aged to the present; undefined where it is unknown or not used. */
  slowness(now: number): number | undefined {
    return this._speed?.slowness(now);
  }

  /** Number of calls that the target runs concurrently. */
  limit({ slots }: TargetRecord): number {
    return this._load.limit > 0 ? this._load.limit : Math.max(1, slots);
  }

  /** Mean charge for the downstream calls of a route, in milliseconds. */
  chargeMs(route: string, now: number): number {
    return this._chargeMs.valueAt(route, now);
  }

  /** Exponentially decaying share of calls that failed. */
  failureRate(now: number): number {
    return this._failureRate * 0.5 ** ((now - this._failureRateAt) / kFailureHalfLifeMs);
  }

  /** Failure rate above a tolerated one, or 0. As the rate only decays between results, a rate within the tolerated one needs no decay. */
  failureRateAbove(tolerated: number, now: number): number {
    return this._failureRate <= tolerated ? 0 : Math.max(0, this.failureRate(now) - tolerated);
  }

  /**
   * Calls at the target and in transit to it, the next one included, divided by the number that it runs concurrently; or its arrivals relative
   * to its rate limit, if that is more. An old report gives way to `usualLoad`; with 0, a target without calls soon appears to be free.
   */
  load(target: TargetRecord, now: number, usualLoad = 0): number {
    const limit = this.limit(target);
    const decay = 0.5 ** ((now - this._reportedAt) / kReportHalfLifeMs);
    const otherCalls =
      Math.max(0, this._load.inFlight + this._load.queued - this._outstandingAtReport) * decay + usualLoad * limit * (1 - decay);
    return Math.max((otherCalls + this._outstanding + 1) / limit, this._rateLoad.valueAt(now));
  }

  private _recordReport(route: string, load: LoadReport & { chargeMs?: number }, now: number): void {
    this._load = load;
    this._reportedAt = now;
    this._outstandingAtReport = this._outstanding;
    this._backoffMs = 0;
    if (load.slowness !== undefined) {
      this._speed?.recordStatement(load.slowness, now);
    }
    this._rateLoad.set(load.rateLoad ?? 0, now);
    this._chargeMs.update(route, Math.min(kMaxChainChargeMs, load.chargeMs ?? 0), now);
  }
}
