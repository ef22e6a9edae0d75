/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** What one daemon has seen of one target: its own calls there, and the load that answers report. */

const kFailureWeight = 0.1;
const kEjectFailureRate = 0.5;
const kEjectAfterFailures = 5;
const kMinSamples = 10;
const kInitialEjectMs = 2_000;
const kMaxEjectMs = 30_000;
/** Time after which reported load counts for nothing, in milliseconds. */
const kReportMaxAgeMs = 500;

/** Statistics of one target as seen by one daemon. */
export class TargetStats {
  private _outstanding = 0;
  private _reportedLoad = 0;
  private _reportedAt = -Infinity;
  private _outstandingAtReport = 0;
  private _limit: number;
  private _failureRate = 0;
  private _samples = 0;
  private _consecutiveFailures = 0;
  private _ejections = 0;
  private _ejectedUntil = -Infinity;

  constructor(
    readonly startedAt: number,
    slots: number,
  ) {
    this._limit = slots;
  }

  /** Notes an offer to the target. */
  recordOffer(): void {
    this._outstanding++;
  }

  /** Notes the end of an offer. */
  recordOfferResult(): void {
    this._outstanding--;
  }

  /** Takes the load that the gate reported with an answer. */
  recordReport(load: number, limit: number, now: number): void {
    this._reportedLoad = load;
    this._limit = Math.max(1, limit);
    this._reportedAt = now;
    this._outstandingAtReport = this._outstanding;
  }

  /** Estimated calls at the target per slot. */
  utilisation(now: number): number {
    const weight = Math.max(0, 1 - (now - this._reportedAt) / kReportMaxAgeMs);
    const estimate = weight * (this._reportedLoad + this._outstanding - this._outstandingAtReport);
    return Math.max(estimate, this._outstanding) / this._limit;
  }

  /** Notes that the target answered. */
  recordSuccess(): void {
    this._samples++;
    this._consecutiveFailures = 0;
    this._failureRate *= 1 - kFailureWeight;
    if (this._failureRate < 0.01) {
      this._ejections = 0;
    }
  }

  /** Notes that the target failed; true when it now ought to be ejected. */
  recordFailure(): boolean {
    this._samples++;
    this._consecutiveFailures++;
    this._failureRate += (1 - this._failureRate) * kFailureWeight;
    return this._consecutiveFailures >= kEjectAfterFailures || (this._samples >= kMinSamples && this._failureRate >= kEjectFailureRate);
  }

  /** Sends no calls to the target for a while, longer each time. */
  eject(now: number): void {
    this._ejectedUntil = now + Math.min(kMaxEjectMs, kInitialEjectMs * 2 ** this._ejections);
    this._ejections++;
    this._consecutiveFailures = 0;
    this._failureRate = 0;
    this._samples = 0;
  }

  /** Whether the target is ejected as of `now`. */
  isEjected(now: number): boolean {
    return now < this._ejectedUntil;
  }
}
