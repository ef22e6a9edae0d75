/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** What one ingress has seen of the target on one host: times, failures, load, and whether it can be reached. */

import type { RouteReport } from '../admission/chainModel.js';
import type { TargetRecord } from '../membership/targetRecord.js';
import { DecayingAverages } from './decayingAverages.js';

/**
 * Time in which what sets the mean time of a host apart from that of its route is halved while no answer renews it, in milliseconds. A
 * host that was slow gets no calls and can't show that it is quick by now; one at fifteen times the usual is asked again after some ten
 * seconds, once. Without this it got none in ten seconds of calls (`tests/routing`), and none later.
 */
const kMeanHalfLifeMs = 2_000;
/** Age at which a report of load counts half, in milliseconds. */
const kReportHalfLifeMs = 500;
/** Age at which a mean charge counts half, in milliseconds. */
export const kChargeHalfLifeMs = 1_000;
/** Largest charge that is passed on for the calls below a route, in milliseconds: beyond it all ways are alike. */
export const kMaxChainChargeMs = 1_500;
/** Weight of the newest outcome in the failure share. */
const kFailureWeight = 0.05;
/** Time in which the failure share of a host is halved, in milliseconds: one that gets no calls can't show that it is well again. */
const kFailureHalfLifeMs = 2_000;
/**
 * Time for which a target that can't be reached is passed over, in milliseconds; doubles up to the longest. Links are opened
 * again in the background and end it at once, so it only bounds what a lost word of that would cost.
 */
const kInitialBackoffMs = 1_000;
const kMaxBackoffMs = 8_000;

/** Load of a target as its gate reports it with each answer. */
export interface LoadReport {
  inFlight: number;
  queued: number;
  limit: number;
  meanMs: number;
}

/** What a gate says with each answer: its load, what it knows of the route, and the charge for the calls of one run there. */
export type GateReport = LoadReport & RouteReport & { chargeMs: number };

/** How a call ended, as its target's statistics need it. */
export interface PlacedCallResult {
  load?: LoadReport & { chargeMs?: number };
  /** Set when it was answered. */
  tookMs?: number;
  /** Size of its body and of the answer's, set when it was answered. */
  bytes?: number;
  /** Whether the target did badly. */
  failed: boolean;
}

/** Statistics of one host. Times are kept by route: those of different routes can't be compared. */
export class HostStats {
  /** Comparisons since it was last chosen. */
  comparisonsSinceChosen = 0;
  private _load: LoadReport = { inFlight: 0, queued: 0, limit: 0, meanMs: 0 };
  private _reportedAt = -Infinity;
  /** Calls sent and not answered. */
  private _outstanding = 0;
  /** Outstanding calls at the time of the report. */
  private _outstandingAtReport = 0;
  private readonly _meanMs = new DecayingAverages(kMeanHalfLifeMs);
  /** Charges for the calls below a route, in milliseconds. */
  private readonly _chargeMs = new DecayingAverages(kChargeHalfLifeMs);
  private _failureRate = 0;
  private _failureRateAt = 0;
  private _unreachableUntil = 0;
  private _backoffMs = 0;

  /** Routes whose times are known. */
  get routes(): string[] {
    return this._meanMs.names;
  }

  /** Notes that a call was sent. */
  recordSent(): void {
    this._outstanding++;
  }

  /** Notes the end of a call; `usualMs` is the mean time on its route over all hosts. */
  recordResult(route: string, result: PlacedCallResult, usualMs: number, now: number): void {
    this._outstanding = Math.max(0, this._outstanding - 1);
    const failureRate = this.failureRate(now);
    this._failureRate = failureRate + ((result.failed ? 1 : 0) - failureRate) * kFailureWeight;
    this._failureRateAt = now;
    if (result.load) {
      this._recordReport(route, result.load, now);
    }
    if (result.tookMs !== undefined) {
      this._meanMs.update(route, result.tookMs, now, usualMs, result.tookMs);
    }
  }

  /** Passes the host over for a while: it could not be reached. */
  markUnreachable(now: number): void {
    if (this._unreachableUntil <= now) {
      this._backoffMs = Math.min(kMaxBackoffMs, Math.max(kInitialBackoffMs, this._backoffMs * 2));
      this._unreachableUntil = now + this._backoffMs;
    }
  }

  /** Ends that: it was heard of again. */
  markReachable(): void {
    this._unreachableUntil = 0;
    this._backoffMs = 0;
  }

  /** How much longer it is passed over, in milliseconds. */
  remainingBackoffMs(now: number): number {
    return Math.max(0, this._unreachableUntil - now);
  }

  /** Mean time of a call, in milliseconds, which nears the usual one while no answer renews it. */
  meanMs(route: string, usualMs: number, now: number): number {
    return this._meanMs.valueAt(route, now, usualMs);
  }

  /** Mean charge for the calls below a route, in milliseconds. */
  chargeMs(route: string, now: number): number {
    return this._chargeMs.valueAt(route, now);
  }

  /** Share of calls that failed. */
  failureRate(now: number): number {
    return this._failureRate * 0.5 ** ((now - this._failureRateAt) / kFailureHalfLifeMs);
  }

  /** Calls at the target and on the way to it, for each one that it may run at once; a full one is left before people wait for it. */
  load({ slots }: TargetRecord, now: number): number {
    const limit = this._load.limit > 0 ? this._load.limit : Math.max(1, slots);
    const decay = 0.5 ** ((now - this._reportedAt) / kReportHalfLifeMs);
    const otherCalls = Math.max(0, this._load.inFlight + this._load.queued - this._outstandingAtReport) * decay;
    return (otherCalls + this._outstanding + 1) / limit;
  }

  private _recordReport(route: string, load: LoadReport & { chargeMs?: number }, now: number): void {
    this._load = load;
    this._reportedAt = now;
    this._outstandingAtReport = this._outstanding;
    this._backoffMs = 0;
    this._chargeMs.update(route, Math.min(kMaxChainChargeMs, load.chargeMs ?? 0), now);
  }
}
