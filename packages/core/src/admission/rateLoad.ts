/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Arrivals at a rate-limited target relative to its limit, as an exponentially decaying average. */

/** Time constant of the average, in milliseconds. */
const kWindowMs = 1_000;
/** Minimum number of requests that the limit allows within the time constant; a low limit has a longer one. */
const kMinRequestsPerWindow = 2;
const kMsPerSecond = 1_000;

/** Load of one target: 1 when the arrivals match the limit. */
export class RateLoad {
  private _load = 0;
  private _windowMs = kWindowMs;
  private _updatedAt = 0;

  /** Adds one arrival at a target with a limit in requests per second. */
  add(ratePerSecond: number, now: number): void {
    const load = this.valueAt(now);
    this._windowMs = Math.max(kWindowMs, (kMinRequestsPerWindow * kMsPerSecond) / ratePerSecond);
    this._load = load + kMsPerSecond / (ratePerSecond * this._windowMs);
  }

  /** Replaces the load by a reported one. */
  set(load: number, now: number): void {
    this._load = load;
    this._updatedAt = now;
  }

  /** Load at time `now`, in milliseconds of the monotonic clock. */
  valueAt(now: number): number {
    if (this._load === 0) {
      this._updatedAt = now;
      return 0;
    }
    this._load *= Math.exp((this._updatedAt - now) / this._windowMs);
    this._updatedAt = now;
    return this._load;
  }
}
