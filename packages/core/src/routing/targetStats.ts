/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Statistics that one daemon keeps about one target: offers that it has outstanding there, reported load and failures. */

const kFailureWeight = 0.1;
const kEjectFailureRate = 0.5;
const kEjectAfterFailures = 5;
const kMinSamples = 10;
const kInitialEjectMs = 2_000;
const kMaxEjectMs = 30_000;
/** Age at which a load report no longer counts, in milliseconds. */
const kReportMaxAgeMs = 500;

/** Tracks the utilisation and failures of one target. Times are monotonic, in milliseconds. */
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

  recordOffer(): void {
    this._outstanding++;
  }

  recordOfferResult(): void {
    this._outstanding--;
  }

  /** Records the load that the gate reported with a response. */
  recordReport(load: number, limit: number, now: number): void {
    this._reportedLoad = load;
    this._limit = Math.max(1, limit);
    this._reportedAt = now;
    this._outstandingAtReport = this._outstanding;
  }

  /** Estimated calls at the target, divided by its concurrency limit. */
  utilisation(now: number): number {
    const weight = Math.max(0, 1 - (now - this._reportedAt) / kReportMaxAgeMs);
    const estimate = weight * (this._reportedLoad + this._outstanding - this._outstandingAtReport);
    return Math.max(estimate, this._outstanding) / this._limit;
  }

  recordSuccess(): void {
    this._samples++;
    this._consecutiveFailures = 0;
    this._failureRate *= 1 - kFailureWeight;
    if (this._failureRate < 0.01) {
      this._ejections = 0;
    }
  }

  /** Records a failure; returns true if the target should be ejected. */
  recordFailure(): boolean {
    this._samples++;
    this._consecutiveFailures++;
    this._failureRate += (1 - this._failureRate) * kFailureWeight;
    return this._consecutiveFailures >= kEjectAfterFailures || (this._samples >= kMinSamples && this._failureRate >= kEjectFailureRate);
  }

  /** Ejects the target for a time that doubles with each ejection, up to kMaxEjectMs. */
  eject(now: number): void {
    this._ejectedUntil = now + Math.min(kMaxEjectMs, kInitialEjectMs * 2 ** this._ejections);
    this._ejections++;
    this._consecutiveFailures = 0;
    this._failureRate = 0;
    this._samples = 0;
  }

  isEjected(now: number): boolean {
    return now < this._ejectedUntil;
  }
}
