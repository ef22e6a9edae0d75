/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Admits or rejects external requests where they enter, by the level of their chain: the share of external requests to reject, the least
 * urgent first.
 *
 * The shares refer to the recent mix of priorities, so that a change of the level rejects the same share of the load in any mix. With
 * priorities assumed to be equally common, a step changed up to three times as much where most requests have the lowest one, and the level
 * oscillated.
 */

/** Half-life of a request's weight in the mix of priorities, in milliseconds. */
const kHalfLifeMs = 3_000;

/** Admission of external requests at one daemon. */
export class RootAdmission {
  /** Exponentially decaying count of the requests that had a level above 0, by priority. */
  private readonly _weights = new Map<number, number>();
  private _decayedAt = 0;

  /** Whether a request is admitted. Priority 0 is the most urgent; `draw` is uniform from 0 to 1; `now` is in milliseconds. */
  admits(priority: number, level: number, draw: number, now: number): boolean {
    if (level <= 0) {
      return true;
    }
    this._record(priority, now);
    let total = 0;
    let before = 0;
    for (const [other, weight] of this._weights) {
      total += weight;
      before += other < priority ? weight : 0;
    }
    const quantile = (before + draw * (this._weights.get(priority) ?? 0)) / total;
    return quantile < 1 - level;
  }

  private _record(priority: number, now: number): void {
    const decay = 0.5 ** ((now - this._decayedAt) / kHalfLifeMs);
    this._decayedAt = now;
    for (const [other, weight] of this._weights) {
      this._weights.set(other, weight * decay);
    }
    this._weights.set(priority, (this._weights.get(priority) ?? 0) + 1);
  }
}
