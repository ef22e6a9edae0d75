/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Upper estimates of the durations of requests, by route. */

/** Weights of a new sample in the mean and the mean deviation, and number of deviations above the mean (RFC 6298, 2.3). */
const kMeanWeight = 1 / 8;
const kDeviationWeight = 1 / 4;
const kDeviations = 4;

interface RouteDuration {
  meanMs: number;
  deviationMs: number;
}

/** Estimates like the retransmission timeout of TCP: the smoothed mean and four mean deviations. */
export class DurationBounds {
  private readonly _routes = new Map<string, RouteDuration>();

  /** Records the duration of an answered request, in milliseconds. */
  record(route: string, ms: number): void {
    const duration = this._routes.get(route);
    if (!duration) {
      this._routes.set(route, { meanMs: ms, deviationMs: ms / 2 });
      return;
    }
    duration.deviationMs += (Math.abs(ms - duration.meanMs) - duration.deviationMs) * kDeviationWeight;
    duration.meanMs += (ms - duration.meanMs) * kMeanWeight;
  }

  /** Duration in milliseconds that few requests exceed; infinite before the first sample. */
  boundMs(route: string): number {
    const duration = this._routes.get(route);
    return duration ? duration.meanMs + duration.deviationMs * kDeviations : Infinity;
  }
}
