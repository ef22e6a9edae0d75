/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Concurrency limit of one target, from the gate's own evidence.
 *
 * It starts from the announced slots and follows the target's own time per call: the time of a call without what the
 * target spent waiting for its onward calls, so that a slow service further down does not narrow every gate above it.
 * When own time grows the limit is narrowed on trial; if that does not bring own time down, the target merely has become
 * slower, narrowing would only cost throughput, and the trial is taken back.
 */

const kWindowMs = 200;
const kMinSamples = 8;
/** Share of the limit that must have run at once for a window to tell anything of the limit. */
const kMinUtilization = 0.8;
/** Growth of own time over its baseline that starts a trial. */
const kTrialStartGrowth = 1.5;
/** Growth of own time over its baseline up to which the limit may still grow. */
const kMaxGrowthToWiden = 1.1;
const kNarrowFactor = 0.85;
/** Share of own time that a trial must gain to be kept. */
const kMinTrialGain = 0.1;
/** Windows over which a trial narrows the limit. */
const kTrialWindows = 3;
/** The limit grows to this multiple of the announced slots while evidence allows. */
const kMaxShare = 1.5;
/** The limit may shrink to this share of the announced slots. */
const kMinShare = 0.1;
/** A cold target starts with this share of its limit, which grows with each window in which own time did not grow. */
const kRampStart = 0.3;
const kRampFactor = 1.6;
const kMaxRampGrowth = 1.2;
/** Time after which a target counts as warm in any case, in milliseconds. */
const kMaxRampMs = 5_000;
/** Factor by which the baseline may drift up in a window. */
const kBaselineDrift = 1.01;

interface Trial {
  windows: number;
  previousLimit: number;
  /** Own time that the trial has to bring down. */
  referenceMs: number;
}

/** Adaptive concurrency limit of one target. */
export class AdaptiveLimit {
  private _limit: number;
  private _baselineMs = 0;
  private _trial: Trial | undefined;
  private _samples = 0;
  private _sumMs = 0;
  private _windowStart: number;
  private _ramp = kRampStart;
  private _lastMeanMs = 0;
  private _peakInFlight = 0;
  private _targetSheds = 0;

  /**
   * @param _slots slots that the target announced
   * @param _startedAt time of the target's first announcement, or a time long past for a warm one
   */
  constructor(
    private _slots: number,
    private readonly _startedAt: number,
    now: number,
  ) {
    this._limit = _slots;
    this._windowStart = now;
  }

  /** Calls that may run at once as of `now`. */
  current(now: number): number {
    const ramp = now - this._startedAt >= kMaxRampMs ? 1 : this._ramp;
    return Math.max(1, Math.floor(this._limit * ramp));
  }

  /** Takes a new announcement. A change of the announced slots starts the evidence afresh. */
  announce(slots: number): void {
    if (slots === this._slots) {
      return;
    }
    this._slots = slots;
    this._limit = slots;
    this._trial = undefined;
    this._baselineMs = 0;
  }

  /** Notes a call that ended. `ownMs` is its time without onward calls, `inFlight` the calls running with it. */
  recordCompletion(selfMs: number, inFlight: number, now: number): void {
    this._samples++;
    this._sumMs += selfMs;
    this._peakInFlight = Math.max(this._peakInFlight, inFlight);
    if (now - this._windowStart >= kWindowMs && this._samples >= kMinSamples) {
      this._adjust(now);
    }
  }

  /** Notes that the target itself shed a call while `inFlight` ran: hard evidence that the limit is too wide. */
  recordTargetShed(inFlight: number): void {
    this._targetSheds++;
    if (this._targetSheds % kMinSamples === 1) {
      this._limit = this._clamp(Math.min(this._limit, inFlight) * kNarrowFactor);
    }
  }

  private _adjust(now: number): void {
    const meanMs = this._sumMs / this._samples;
    const busy = this._peakInFlight >= this._limit * kMinUtilization;
    this._samples = 0;
    this._sumMs = 0;
    this._peakInFlight = 0;
    this._windowStart = now;
    this._updateRamp(meanMs);
    this._baselineMs = this._baselineMs === 0 ? meanMs : Math.min(meanMs, this._baselineMs * kBaselineDrift);
    if (this._trial) {
      this._evaluateTrial(this._trial, meanMs);
    } else if (busy && meanMs > this._baselineMs * kTrialStartGrowth) {
      this._trial = { windows: 0, previousLimit: this._limit, referenceMs: meanMs };
    } else if (busy && meanMs <= this._baselineMs * kMaxGrowthToWiden) {
      this._limit = this._clamp(this._limit + Math.max(1, Math.sqrt(this._limit) / 2));
    }
  }

  private _updateRamp(meanMs: number): void {
    if (this._lastMeanMs === 0 || meanMs <= this._lastMeanMs * kMaxRampGrowth) {
      this._ramp = Math.min(1, this._ramp * kRampFactor);
    }
    this._lastMeanMs = meanMs;
  }

  /** The first window of a trial still holds calls from before; own time is compared from the second on. */
  private _evaluateTrial(trial: Trial, meanMs: number): void {
    trial.windows++;
    if (meanMs <= this._baselineMs * kTrialStartGrowth) {
      this._trial = undefined;
      return;
    }
    if (trial.windows === 1) {
      trial.referenceMs = meanMs;
    }
    if (trial.windows <= kTrialWindows) {
      this._limit = this._clamp(this._limit * kNarrowFactor);
      return;
    }
    if (meanMs < trial.referenceMs * (1 - kMinTrialGain)) {
      this._trial = { windows: 1, previousLimit: this._limit, referenceMs: meanMs };
      this._limit = this._clamp(this._limit * kNarrowFactor);
      return;
    }
    this._limit = trial.previousLimit;
    this._baselineMs = meanMs;
    this._trial = undefined;
  }

  private _clamp(limit: number): number {
    return Math.min(Math.max(limit, 1, this._slots * kMinShare), this._slots * kMaxShare);
  }
}
