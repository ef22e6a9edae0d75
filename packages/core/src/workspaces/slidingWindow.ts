/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Counts the tokens that an owner granted in the last window, and grants while the count is below a limit. A bucket that refills at the rate
 * of the quota grants the burst once; this grants the whole limit in every window.
 *
 * A second bound, the burst of the share at once and then the limit per window, lets another owner take over the share earlier: of what the
 * former owner granted, all but this can have left the window in proportion to the time. Without it, a new owner has to wait a whole
 * window. Times are in milliseconds of the monotonic clock.
 */

import { TokenBucket, type TokenResult } from '../util/tokenBucket.js';
import type { WindowLimits } from './quotaShares.js';

/** Slices per window. A grant counts for up to one slice longer than the window, which costs at most 2% of the limit. */
const kSlices = 50;
const kMsPerSecond = 1_000;
/** Part of the window after its request up to which an unused token is returned. */
export const kReturnableShare = 0.4;
/** Part of the window that the message of a return may take. */
const kReturnDelayShare = 0.1;
/** Maximum promise to a refused client, as a part of the window; tokens that are promised further ahead could remain unused. */
const kPromisedShare = 0.5;

/** Part of the limit that another owner may have granted up to `at`, and the grants that are allowed on top of it. */
export interface AssumedGrants {
  count: number;
  reserve: number;
  at: number;
}

/** A raise of the limit; another owner may have granted the difference up to `at`. */
interface Raise {
  difference: number;
  at: number;
}

/** Grants of one share of a quota in a sliding window. */
export class SlidingWindow {
  /** Grants by slice modulo the length; the oldest slice is the one that has partly left the window. */
  private readonly _granted = Array.from({ length: kSlices + 1 }, () => 0);
  /** Promises to refused clients, by the slice at whose start they are due, modulo the length. */
  private readonly _promised = Array.from({ length: kSlices + 2 }, () => 0);
  private readonly _sliceMs: number;
  private _slice: number;
  private _count = 0;
  private _raises: Raise[] = [];
  private readonly _bucket: TokenBucket;

  constructor(
    private readonly _windowMs: number,
    private _limits: WindowLimits,
    private readonly _assumed: AssumedGrants,
    now: number,
  ) {
    this._sliceMs = _windowMs / kSlices;
    this._slice = this._sliceAt(now);
    const limits = this._bucketLimits();
    this._bucket = new TokenBucket(limits, limits.capacity, now);
  }

  /** Start of the slice of the last operation. */
  get lastUsedAt(): number {
    return this._slice * this._sliceMs;
  }

  /** Applies a lower limit at once, and a higher one as the grants of the former owner leave the window. */
  setLimits(limits: WindowLimits, now: number): void {
    this._advance(now);
    if (limits.perWindow > this._limits.perWindow) {
      this._raises = this._raises.filter(({ at }) => now - at < this._windowMs);
      this._raises.push({ difference: limits.perWindow - this._limits.perWindow, at: now });
    }
    this._limits = limits;
    this._bucket.setLimits(this._bucketLimits(), now);
  }

  /** Takes one token, or promises a later one to the refused client. */
  take(now: number): TokenResult {
    this._advance(now);
    if (this._count + 1 > this._limitAt(now) || !this._bucket.tryTake(now)) {
      return { granted: false, waitMs: this._promise(now) };
    }
    this._count++;
    const at = this._slice % this._granted.length;
    this._granted[at] = (this._granted[at] ?? 0) + 1;
    return { granted: true };
  }

  /**
   * Returns tokens of requests that did not run. The slice of their grant is not known; with the oldest that is possible, the count is never
   * below the runs of the window.
   *
   * @param ageMs time since the earliest request of these tokens when the return was sent
   */
  returnTokens(count: number, now: number, ageMs = kReturnableShare * this._windowMs): void {
    this._advance(now);
    this._bucket.returnTokens(count, now);
    const sinceMs = Math.min(Math.max(0, ageMs), kReturnableShare * this._windowMs) + kReturnDelayShare * this._windowMs;
    let left = count;
    for (let slice = this._sliceAt(now - sinceMs); slice <= this._slice && left > 0; slice++) {
      const at = positiveModulo(slice, this._granted.length);
      const taken = Math.min(left, this._granted[at] ?? 0);
      this._granted[at] = (this._granted[at] ?? 0) - taken;
      this._count -= taken;
      left -= taken;
    }
  }

  private _sliceAt(now: number): number {
    return Math.floor(now / this._sliceMs);
  }

  /** Drops the slices that have left the window. */
  private _advance(now: number): void {
    const slice = Math.max(this._slice, this._sliceAt(now));
    const steps = Math.min(slice - this._slice, this._promised.length);
    for (let passed = slice - steps + 1; passed <= slice; passed++) {
      const at = positiveModulo(passed, this._granted.length);
      this._count -= this._granted[at] ?? 0;
      this._granted[at] = 0;
      this._promised[positiveModulo(passed, this._promised.length)] = 0;
    }
    this._slice = slice;
  }

  /** Limit at a time, less what another owner may have granted in the window that ends then. */
  private _limitAt(time: number): number {
    const { count, reserve, at } = this._assumed;
    const assumed = Math.max(0, count * this._remainingShare(time - at) - reserve);
    return this._raises.reduce(
      (limit, raise) => limit - raise.difference * this._remainingShare(time - raise.at),
      this._limits.perWindow - assumed,
    );
  }

  /** Largest part of the limit that an owner which stopped granting before `elapsedMs` can have granted in the current window. */
  private _remainingShare(elapsedMs: number): number {
    const { perWindow, burst } = this._limits;
    const burstShare = perWindow > 0 ? burst / perWindow : 1;
    return elapsedMs < this._windowMs ? Math.min(1, burstShare + 1 - elapsedMs / this._windowMs) : 0;
  }

  private _bucketLimits(): { ratePerSecond: number; capacity: number } {
    const { perWindow, burst } = this._limits;
    return { ratePerSecond: (perWindow * kMsPerSecond) / this._windowMs, capacity: burst };
  }

  /** Promises the first token that is not yet promised, so that refused clients do not all retry for the same one; returns the wait. */
  private _promise(now: number): number {
    let count = this._count;
    const tokens = this._bucket.tokens(now);
    let promised = 0;
    let firstSlice: number | undefined;
    let due = this._slice + kSlices + 1;
    for (let slice = this._slice + 1; slice <= this._slice + kSlices + 1; slice++) {
      count -= this._granted[positiveModulo(slice, this._granted.length)] ?? 0;
      promised += this._promised[positiveModulo(slice, this._promised.length)] ?? 0;
      const time = slice * this._sliceMs;
      const free = Math.min(this._limitAt(time) - count, tokens + (this._limits.perWindow * (time - now)) / this._windowMs);
      firstSlice ??= free >= 1 ? slice : undefined;
      const isLast = firstSlice !== undefined && slice >= Math.max(firstSlice, this._slice + kSlices * kPromisedShare);
      if (free - promised >= 1 || isLast) {
        due = slice;
        break;
      }
    }
    const at = positiveModulo(due, this._promised.length);
    this._promised[at] = (this._promised[at] ?? 0) + 1;
    return due * this._sliceMs - now;
  }
}

function positiveModulo(value: number, length: number): number {
  return ((value % length) + length) % length;
}
