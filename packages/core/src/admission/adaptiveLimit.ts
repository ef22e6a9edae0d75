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
const kBusyShare = 0.8;
/** Growth of own time over its baseline that starts a trial. */
const kTolerance = 1.5;
/** Growth of own time over its baseline up to which the limit may still grow. */
const kGrowthTolerance = 1.1;
const kNarrow = 0.85;
/** Share of own time that a trial must gain to be kept. */
const kTrialGain = 0.1;
/** Windows over which a trial narrows the limit. */
const kTrialWindows = 3;
/** The limit grows to this multiple of the announced slots while evidence allows. */
const kMaxGrowth = 1.5;
/** The limit may shrink to this share of the announced slots. */
const kMinShare = 0.1;
/** A cold target starts with this share of its limit, which grows with each window in which own time did not grow. */
const kRampStart = 0.3;
const kRampFactor = 1.6;
const kRampTolerance = 1.2;
/** Time after which a target counts as warm in any case, in milliseconds. */
const kRampMs = 5_000;
/** Factor by which the baseline may drift up in a window. */
const kBaselineDrift = 1.01;

interface Trial {
  windows: number;
  limitBefore: number;
  /** Own time that the trial has to bring down. */
  reference: number;
}

/** Adaptive concurrency limit of one target. */
export class AdaptiveLimit {
  private _limit: number;
  private _baseline = 0;
  private _trial: Trial | undefined;
  private _samples = 0;
  private _sum = 0;
  private _windowStart: number;
  private _ramp = kRampStart;
  private _lastMean = 0;
  private _peak = 0;
  private _sheds = 0;

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
    const ramp = now - this._startedAt >= kRampMs ? 1 : this._ramp;
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
    this._baseline = 0;
  }

  /** Notes a call that ended. `ownMs` is its time without onward calls, `inFlight` the calls running with it. */
  completed(ownMs: number, inFlight: number, now: number): void {
    this._samples++;
    this._sum += ownMs;
    this._peak = Math.max(this._peak, inFlight);
    if (now - this._windowStart >= kWindowMs && this._samples >= kMinSamples) {
      this._adjust(now);
    }
  }

  /** Notes that the target itself shed a call while `inFlight` ran: hard evidence that the limit is too wide. */
  refused(inFlight: number): void {
    this._sheds++;
    if (this._sheds % kMinSamples === 1) {
      this._limit = this._clamp(Math.min(this._limit, inFlight) * kNarrow);
    }
  }

  private _adjust(now: number): void {
    const mean = this._sum / this._samples;
    const busy = this._peak >= this._limit * kBusyShare;
    this._samples = 0;
    this._sum = 0;
    this._peak = 0;
    this._windowStart = now;
    this._warm(mean);
    this._baseline = this._baseline === 0 ? mean : Math.min(mean, this._baseline * kBaselineDrift);
    if (this._trial) {
      this._judgeTrial(this._trial, mean);
    } else if (busy && mean > this._baseline * kTolerance) {
      this._trial = { windows: 0, limitBefore: this._limit, reference: mean };
    } else if (busy && mean <= this._baseline * kGrowthTolerance) {
      this._limit = this._clamp(this._limit + Math.max(1, Math.sqrt(this._limit) / 2));
    }
  }

  private _warm(mean: number): void {
    if (this._lastMean === 0 || mean <= this._lastMean * kRampTolerance) {
      this._ramp = Math.min(1, this._ramp * kRampFactor);
    }
    this._lastMean = mean;
  }

  /** The first window of a trial still holds calls from before; own time is compared from the second on. */
  private _judgeTrial(trial: Trial, mean: number): void {
    trial.windows++;
    if (mean <= this._baseline * kTolerance) {
      this._trial = undefined;
      return;
    }
    if (trial.windows === 1) {
      trial.reference = mean;
    }
    if (trial.windows <= kTrialWindows) {
      this._limit = this._clamp(this._limit * kNarrow);
      return;
    }
    if (mean < trial.reference * (1 - kTrialGain)) {
      this._trial = { windows: 1, limitBefore: this._limit, reference: mean };
      this._limit = this._clamp(this._limit * kNarrow);
      return;
    }
    this._limit = trial.limitBefore;
    this._baseline = mean;
    this._trial = undefined;
  }

  private _clamp(limit: number): number {
    return Math.min(Math.max(limit, 1, this._slots * kMinShare), this._slots * kMaxGrowth);
  }
}
