/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Admission level of one gate: calls with a rank at or over it are refused before they queue.
 *
 * At the end of each window the level moves to the rank up to which arrivals fit what the target can end: a little more
 * while the queue is shorter than wanted, a little less while it is longer. What a move will change is booked in the
 * arrival rates at once, since its effect comes back only after the time of a whole chain.
 */

import { kCohorts, kOpenLevel, passesLevel } from './rank.js';

const kWindowMs = 100;
/** Weight of the newest window in the arrival rates. */
const kRateWeight = 0.3;
/** The same for a window that left slots free: what was before it no longer holds. */
const kIdleRateWeight = 0.7;
/** Queue delay that is aimed at, as a share of a call's mean time, and its least value in milliseconds. */
const kDesiredDelayShare = 0.5;
const kMinDesiredDelayMs = 10;
/** By how much an empty or a long queue shifts what is let in. */
const kGain = 0.3;
/** Largest cut of the level in one window, as a share of what is let in. */
const kMaxCut = 0.5;
/** Largest rise in one window, in ranks; it doubles while slots stay free. */
const kMaxRise = { goodput: 16, recovery: 64 } as const;
/** Least arrival rate that is assumed for a rank that is opened, in calls a window. */
const kMinRatePerRank = 0.01;

/** What the gate tells at the end of a window. */
export interface GateState {
  /** Time that a call admitted now would wait, in milliseconds. */
  delayMs: number;
  /** Mean time of a call at the target, in milliseconds; 0 while none ended. */
  meanMs: number;
  /** Calls that run at once when the target is full. */
  limit: number;
  /** Whether slots are free now. */
  hasFreeSlots: boolean;
}

/** Admission level of one gate. */
export class AdmissionLevel {
  private _level = kOpenLevel;
  private _consecutiveRises = 0;
  /** Arrivals a window by rank, smoothed; and those of the present window. */
  private readonly _rates = new Float64Array(kOpenLevel);
  private readonly _counts = new Uint32Array(kOpenLevel);
  private _windowStart: number;
  private _shedCount = 0;
  private _hadFreeSlots = false;
  private _arrivals = 0;

  /**
   * @param _favour what the operator favours, see `overload.favour`
   * @param _state the gate's state, asked at the end of each window
   */
  constructor(
    private readonly _favour: () => 'goodput' | 'recovery',
    private readonly _state: () => GateState,
    now: number,
  ) {
    this._windowStart = now;
  }

  /** The level as of `now`. */
  current(now: number): number {
    this._roll(now);
    return this._level;
  }

  /** Notes a call that arrived; true when it is admitted. `depth` counts the calls made on the way. */
  admits(rank: number, depth: number, now: number): boolean {
    this._roll(now);
    this._counts[rank] = (this._counts[rank] ?? 0) + 1;
    this._arrivals++;
    return passesLevel(rank, depth, this._level);
  }

  /** Notes that slots stayed free although calls came. */
  recordFreeSlots(): void {
    this._hadFreeSlots = true;
  }

  /** Notes a call that was admitted and shed all the same. */
  recordShed(): void {
    this._shedCount++;
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
    this._hadFreeSlots ||= this._arrivals === 0 && this._state().hasFreeSlots;
    this._smoothRates();
    const error = this._queueError();
    if (this._level < kOpenLevel || error < 0) {
      this._adjustTo(this._capacity() * (1 + kGain * error));
    }
    this._shedCount = 0;
    this._arrivals = 0;
    this._hadFreeSlots = false;
  }

  private _smoothRates(): void {
    const weight = this._hadFreeSlots ? kIdleRateWeight : kRateWeight;
    for (let rank = 0; rank < kOpenLevel; rank++) {
      const before = this._rates[rank] ?? 0;
      this._rates[rank] = before + ((this._counts[rank] ?? 0) - before) * weight;
    }
    this._counts.fill(0);
  }

  /** How much shorter (positive) or longer (negative) than wanted the queue is, from -1 to 1. */
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

  /** Calls that the target ends in a window when it is full. */
  private _capacity(): number {
    const { limit, meanMs } = this._state();
    return meanMs === 0 ? Infinity : (limit * kWindowMs) / meanMs;
  }

  /** Moves the level so that `wanted` calls a window are let in. */
  private _adjustTo(desiredRate: number): void {
    const admitted = this._ratesBelow(0, this._level);
    if (admitted > desiredRate) {
      this._consecutiveRises = 0;
      this._lowerTo(Math.max(desiredRate, admitted * (1 - kMaxCut)));
    } else {
      this._raiseBy(desiredRate - admitted);
    }
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
