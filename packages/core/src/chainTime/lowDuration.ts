/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Low estimate of the durations of one kind of work, computed from recent samples. */

import { monotonicMs } from '../util/clock.js';

/** Samples in the window; a quarter of it lets the estimate fall, three quarters let it rise. */
const kWindowSamples = 40;
/** Samples before which the estimate is unknown. */
const kMinSamples = 20;
/** Share of the samples that are below the estimate: low, because waits lengthen many of the samples under overload. */
const kQuantile = 0.25;
/**
 * Shortest interval between two samples of a full window, in milliseconds. The window then covers at least 2 s, so that a burst on a busy
 * route does not fill it.
 */
const kSampleIntervalMs = 50;
/** Time without samples after which the estimate decays, and its half-life from then on, in milliseconds. */
const kQuietMs = 3_000;
const kQuietHalfLifeMs = 1_000;
/** Longest plausible duration, in milliseconds. */
const kMaxPlausibleMs = 3_600_000;

/** Whether a duration is plausible: finite, not negative, and at most one hour. */
export function isPlausibleMs(ms: number): boolean {
  return ms >= 0 && ms <= kMaxPlausibleMs;
}

/**
 * Estimates the lower quartile of recent durations. It falls when a quarter of the window is shorter, and rises only when three quarters
 * are longer.
 *
 * Without samples, it decays. An estimate above the time that callers have would otherwise remain for ever: it rejects all of them, and
 * rejected calls yield no samples.
 */
export class LowDuration {
  /** Ring of the latest samples. */
  private readonly _samples: number[] = [];
  private _next = 0;
  private _sampledAt = -Infinity;
  /** Estimate of the present samples; undefined while it has to be computed. */
  private _computedMs: number | undefined;

  /** Records a plausible duration. */
  record(ms: number): void {
    const now = monotonicMs();
    if (this._samples.length === kWindowSamples && now - this._sampledAt < kSampleIntervalMs) {
      return;
    }
    const factor = this._quietFactor(now);
    if (factor < 1) {
      this._samples.forEach((sample, index) => {
        this._samples[index] = sample * factor;
      });
    }
    this._samples[this._next] = ms;
    this._next = (this._next + 1) % kWindowSamples;
    this._sampledAt = now;
    this._computedMs = undefined;
  }

  /** Estimated duration in milliseconds; undefined before enough samples. */
  get ms(): number | undefined {
    if (this._samples.length < kMinSamples) {
      return undefined;
    }
    this._computedMs ??= this._computeMs();
    return this._computedMs * this._quietFactor(monotonicMs());
  }

  private _computeMs(): number {
    const sorted = Float64Array.from(this._samples).sort();
    return sorted[Math.floor(sorted.length * kQuantile)] ?? 0;
  }

  private _quietFactor(now: number): number {
    const quietMs = now - this._sampledAt - kQuietMs;
    return quietMs > 0 ? 0.5 ** (quietMs / kQuietHalfLifeMs) : 1;
  }
}
