/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Admission level of one gate: calls with a rank at or above it are refused before they queue.
 *
 * At the end of each window, the level moves to the rank up to which the arrival rates fit the target's capacity, with a
 * margin that depends on the queue delay. Newly admitted ranks count in the arrival rates at once, because their calls
 * arrive only after the duration of a whole chain.
 */

import { kCohorts, kOpenLevel, passesLevel } from './rank.js';

const kWindowMs = 100;
/** Share of the slots below which some count as free. */
const kFreeBelowShare = 0.9;
/** Weight of the latest window in the smoothed arrival rates. */
const kRateWeight = 0.3;
/** Weight of a window with free slots, which outdates the earlier rates. */
const kIdleRateWeight = 0.7;
/** Desired queue delay, as a share of the mean duration of a call, and its minimum in milliseconds. */
const kDesiredDelayShare = 0.5;
const kMinDesiredDelayMs = 10;
/** Largest change of the admitted rate due to the queue delay, as a share of the capacity. */
const kGain = 0.3;
/** Largest reduction of the admitted rate in one window, as a share of that rate. */
const kMaxCut = 0.5;
/** Largest rise of the level in one window, in ranks; it doubles with each consecutive rise while slots are free. */
const kMaxRise = { goodput: 16, recovery: 64 } as const;
/**
 * Share of the slots up to which a window counts as nearly idle. Such a window disproves an estimate of too little capacity: one call that
 * was stalled for three seconds makes the estimate 50 times too low for the next 60 calls.
 */
const kNearlyIdleShare = 0.5;
/** Rate that is admitted at least after a nearly idle window, in calls per window. */
const kMinIdleRate = 1;
/** Minimum arrival rate assumed for a newly admitted rank, in calls per window. */
const kMinRatePerRank = 0.01;

/** State of the gate at the end of a window. */
export interface GateState {
  /** Expected queue delay of a call admitted now, in milliseconds. */
  delayMs: number;
  /** Mean duration of a call at the target, in milliseconds; 0 before the first call ends. */
  meanMs: number;
  /** Concurrency limit of the target. */
  limit: number;
  /** Whether the target announced any slots. */
  hasSlots: boolean;
  /** Share of the slots that are in use. */
  usedShare: number;
}

/** Admission level of one gate. */
export class AdmissionLevel {
  private _level = kOpenLevel;
  private _consecutiveRises = 0;
  /** Smoothed arrivals per window by rank, and the arrivals of the current window. */
  private readonly _rates = new Float64Array(kOpenLevel);
  private readonly _counts = new Uint32Array(kOpenLevel);
  private _windowStart: number;
  private _shedCount = 0;
  private _hadFreeSlots = false;
  /** Largest share of the slots that was in use in the window. */
  private _peakUsedShare = 0;
  private _arrivals = 0;

  /**
   * @param _favour the setting `overload.favour`
   * @param _state returns the gate's state; called at the end of each window
   */
  constructor(
    private readonly _favour: () => 'goodput' | 'recovery',
    private readonly _state: () => GateState,
    now: number,
  ) {
    this._windowStart = now;
  }

  /** Returns the level at `now`. */
  current(now: number): number {
    this._roll(now);
    return this._level;
  }

  /** Records an arrival and returns whether it is admitted. `depth` is the number of upstream calls in its chain. */
  admits(rank: number, depth: number, now: number): boolean {
    this._roll(now);
    this._counts[rank] = (this._counts[rank] ?? 0) + 1;
    this._arrivals++;
    return passesLevel(rank, depth, this._level);
  }

  /** Records the share of the slots that are in use when a call has started. */
  recordStart(usedShare: number): void {
    this._hadFreeSlots ||= usedShare < kFreeBelowShare;
    this._peakUsedShare = Math.max(this._peakUsedShare, usedShare);
  }

  /** Records a call that passed the level but was shed later. */
  recordShed(): void {
    this._shedCount++;
  }

  /** Ends the current window without its arrivals and sheds, when the target announces slots after it had none. */
  discardWindow(now: number): void {
    this._roll(now);
    this._windowStart = now;
    this._counts.fill(0);
    this._clearWindow();
  }

  private _roll(now: number): void {
    const windows = Math.floor((now - this._windowStart) / kWindowMs);
    if (windows < 1) {
      return;
    }
    this._windowStart += windows * kWindowMs;
    this._adjust();
    for (let idleWindows = Math.min(windows - 1, kOpenLevel); idleWindows > 0 && this._level < kOpenLevel; idleWindows--) {
      this._hadFreeSlots = true;
      this._adjust();
    }
  }

  private _adjust(): void {
    const { hasSlots, usedShare } = this._state();
    this._hadFreeSlots ||= this._arrivals === 0 && usedShare < kFreeBelowShare;
    this._peakUsedShare = Math.max(this._peakUsedShare, usedShare);
    this._smoothRates();
    const error = this._queueError();
    // Without slots, all calls are shed. A level learned from that would refuse less urgent calls when the target has slots again.
    if (hasSlots && (this._level < kOpenLevel || error < 0)) {
      this._adjustTo(this._capacity() * (1 + kGain * error));
    }
    this._clearWindow();
  }

  private _clearWindow(): void {
    this._shedCount = 0;
    this._arrivals = 0;
    this._hadFreeSlots = false;
    this._peakUsedShare = 0;
  }

  private _smoothRates(): void {
    const weight = this._hadFreeSlots ? kIdleRateWeight : kRateWeight;
    for (let rank = 0; rank < kOpenLevel; rank++) {
      const before = this._rates[rank] ?? 0;
      this._rates[rank] = before + ((this._counts[rank] ?? 0) - before) * weight;
    }
    this._counts.fill(0);
  }

  /** Deviation of the queue delay from the desired one, from -1 (too long) to 1 (too short). */
  private _queueError(): number {
    if (this._shedCount > 0) {
      return -1;
    }
    if (this._hadFreeSlots) {
      return 1;
    }
    const { delayMs, meanMs } = this._state();
    const desiredMs = Math.max(kMinDesiredDelayMs, meanMs * kDesiredDelayShare);
    return Math.max(-1, Math.min(1, (desiredMs - delayMs) / desiredMs));
  }

  /** Calls per window that the target completes at full load. */
  private _capacity(): number {
    const { limit, meanMs } = this._state();
    return meanMs === 0 ? Infinity : (limit * kWindowMs) / meanMs;
  }

  /** Moves the level so that `desiredRate` calls per window are admitted, within the limits per window. */
  private _adjustTo(desiredRate: number): void {
    const admitted = this._ratesBelow(0, this._level);
    if (this._wasNearlyIdle()) {
      this._raiseBy(Math.max(desiredRate, admitted * (1 + kGain), kMinIdleRate) - admitted);
    } else if (admitted > desiredRate) {
      this._consecutiveRises = 0;
      this._lowerTo(Math.max(desiredRate, admitted * (1 - kMaxCut)));
    } else {
      this._raiseBy(desiredRate - admitted);
    }
  }

  private _wasNearlyIdle(): boolean {
    return this._shedCount === 0 && this._peakUsedShare < kNearlyIdleShare;
  }

  private _lowerTo(desiredRate: number): void {
    let rateBelow = 0;
    for (let rank = 0; rank < this._level; rank++) {
      rateBelow += this._rates[rank] ?? 0;
      if (rateBelow > desiredRate) {
        this._level = Math.max(1, rank);
        return;
      }
    }
  }

  private _raiseBy(additionalRate: number): void {
    const from = Math.max(0, this._level - kCohorts);
    const ratePerRank = Math.max(kMinRatePerRank, this._ratesBelow(from, this._level) / Math.max(1, this._level - from));
    this._consecutiveRises = this._hadFreeSlots ? this._consecutiveRises + 1 : 0;
    const highest = Math.min(kOpenLevel, this._level + kMaxRise[this._favour()] * 2 ** Math.min(this._consecutiveRises, 5));
    let addedRate = 0;
    while (this._level < highest && addedRate < additionalRate) {
      const rate = Math.max(this._rates[this._level] ?? 0, ratePerRank);
      this._rates[this._level] = rate;
      addedRate += rate;
      this._level++;
    }
  }

  private _ratesBelow(from: number, to: number): number {
    let sum = 0;
    for (let rank = from; rank < to; rank++) {
      sum += this._rates[rank] ?? 0;
    }
    return sum;
  }
}
