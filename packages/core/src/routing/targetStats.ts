/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** What one daemon has seen of one target: its own calls there, and the load that answers report. */

const kFailureWeight = 0.1;
const kEjectRate = 0.5;
const kEjectAfterInRow = 5;
const kMinSamples = 10;
const kFirstEjectMs = 2_000;
const kMaxEjectMs = 30_000;
/** Time after which reported load counts for nothing, in milliseconds. */
const kReportTrustMs = 500;

/** Statistics of one target as seen by one daemon. */
export class TargetStats {
  private _own = 0;
  private _reported = 0;
  private _reportedAt = -Infinity;
  private _ownAtReport = 0;
  private _limit: number;
  private _failureRate = 0;
  private _samples = 0;
  private _failuresInRow = 0;
  private _ejections = 0;
  private _ejectedUntil = -Infinity;

  constructor(
    readonly startedAt: number,
    slots: number,
  ) {
    this._limit = slots;
  }

  /** Notes an offer to the target. */
  offered(): void {
    this._own++;
  }

  /** Notes the end of an offer. */
  ended(): void {
    this._own--;
  }

  /** Takes the load that the gate reported with an answer. */
  report(load: number, limit: number, now: number): void {
    this._reported = load;
    this._limit = Math.max(1, limit);
    this._reportedAt = now;
    this._ownAtReport = this._own;
  }

  /** Estimated calls at the target per slot. */
  utilisation(now: number): number {
    const trust = Math.max(0, 1 - (now - this._reportedAt) / kReportTrustMs);
    const estimate = trust * (this._reported + this._own - this._ownAtReport);
    return Math.max(estimate, this._own) / this._limit;
  }

  /** Notes that the target answered. */
  succeeded(): void {
    this._samples++;
    this._failuresInRow = 0;
    this._failureRate *= 1 - kFailureWeight;
    if (this._failureRate < 0.01) {
      this._ejections = 0;
    }
  }

  /** Notes that the target failed; true when it now ought to be ejected. */
  failed(): boolean {
    this._samples++;
    this._failuresInRow++;
    this._failureRate += (1 - this._failureRate) * kFailureWeight;
    return this._failuresInRow >= kEjectAfterInRow || (this._samples >= kMinSamples && this._failureRate >= kEjectRate);
  }

  /** Sends no calls to the target for a while, longer each time. */
  eject(now: number): void {
    this._ejectedUntil = now + Math.min(kMaxEjectMs, kFirstEjectMs * 2 ** this._ejections);
    this._ejections++;
    this._failuresInRow = 0;
    this._failureRate = 0;
    this._samples = 0;
  }

  /** Whether the target is ejected as of `now`. */
  ejected(now: number): boolean {
    return now < this._ejectedUntil;
  }
}
