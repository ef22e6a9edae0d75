/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Adapts the concurrency limit of one target to its self time: the duration of a call without the time that the target
 * spends waiting for downstream calls. A slow downstream service therefore does not narrow the limits of its callers.
 *
 * The limit starts at the announced slots. When self time grows, a trial narrows the limit, and reverts it if self time
 * does not shrink.
 */

/** Minimum duration of a measurement window, in milliseconds, and its minimum number of completed calls. */
const kWindowMs = 200;
const kMinSamples = 8;
/** Share of the limit that the peak concurrency of a window must reach for the window to change the limit. */
const kMinUtilization = 0.8;
/** Ratio of self time to its baseline above which a trial starts. */
const kTrialStartGrowth = 1.5;
/** Ratio of self time to its baseline up to which the limit may grow. */
const kMaxGrowthToWiden = 1.1;
/** Factor applied to the limit by each narrowing step. */
const kNarrowFactor = 0.85;
/** Share by which a trial must reduce self time for its narrower limit to be kept. */
const kMinTrialGain = 0.1;
/** Number of windows in which a trial narrows the limit. */
const kTrialWindows = 3;
/** Largest limit, as a multiple of the announced slots. */
const kMaxShare = 1.5;
/** Smallest limit, as a share of the announced slots. */
const kMinShare = 0.1;
/** Share of the limit at which a cold target starts. The share grows with each window in which self time does not grow. */
const kRampStart = 0.3;
const kRampFactor = 1.6;
/** Ratio of a window's self time to the previous window's up to which the ramp advances. */
const kMaxRampGrowth = 1.2;
/** Time after the first announcement at which the ramp ends, in milliseconds. */
const kMaxRampMs = 5_000;
/** Largest growth factor of the baseline per window. */
const kBaselineDrift = 1.01;

interface Trial {
  windows: number;
  previousLimit: number;
  /** Mean self time that the trial has to reduce, in milliseconds. */
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
   * @param _slots announced slots of the target
   * @param _startedAt time of the target's first announcement; `-Infinity` for a warm target
   */
  constructor(
    private _slots: number,
    private readonly _startedAt: number,
    now: number,
  ) {
    this._limit = _slots;
    this._windowStart = now;
  }

  /** Slots that the target announced. */
  get slots(): number {
    return this._slots;
  }

  /** Number of calls that may run concurrently at `now`. At least 1, as only a call shows whether the target runs one. */
  current(now: number): number {
    const ramp = now - this._startedAt >= kMaxRampMs ? 1 : this._ramp;
    return Math.max(1, Math.floor(this._limit * ramp));
  }

  /** Applies an announcement. A changed number of slots resets the limit, the trial and the baseline. */
  announce(slots: number): void {
    if (slots === this._slots) {
      return;
    }
    this._slots = slots;
    this._limit = slots;
    this._trial = undefined;
    this._baselineMs = 0;
  }

  /** Records a completed call. `selfMs` excludes time spent in downstream calls; `inFlight` is the number of running calls. */
  recordCompletion(selfMs: number, inFlight: number, now: number): void {
    this._samples++;
    this._sumMs += selfMs;
    this._peakInFlight = Math.max(this._peakInFlight, inFlight);
    if (now - this._windowStart >= kWindowMs && this._samples >= kMinSamples) {
      this._adjust(now);
    }
  }

  /** Records a call that the target itself shed while `inFlight` calls ran, and narrows the limit at the first of every `kMinSamples`. */
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

  /** Continues, keeps or reverts a trial. The first window includes earlier calls, so its mean becomes the reference. */
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
