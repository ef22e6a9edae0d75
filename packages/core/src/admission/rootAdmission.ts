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
  /** Decaying count of the requests that were admitted in spite of the level. */
  private _reservedWeight = 0;
  private _decayedAt = 0;

  /** Whether a request is admitted. Priority 0 is the most urgent; `draw` is uniform from 0 to 1; `now` is in milliseconds. */
  admits(priority: number, level: number, draw: number, now: number): boolean {
    if (level <= 0) {
      return true;
    }
    this._decay(now);
    this._weights.set(priority, (this._weights.get(priority) ?? 0) + 1);
    const { total, before } = this._mix(priority);
    const quantile = (before + draw * (this._weights.get(priority) ?? 0)) / total;
    return quantile < this._admittedShare(level, total);
  }

  /** Records a request that is admitted in spite of the level: the others are shed more, so that the level still holds for all. */
  recordReserved(level: number, now: number): void {
    if (level > 0) {
      this._decay(now);
      this._reservedWeight++;
    }
  }

  /** Whether some requests of a priority are admitted, so that it is more urgent than those that are all shed. */
  admitsSome(priority: number, level: number): boolean {
    const { total, before } = this._mix(priority);
    return total === 0 || before / total < this._admittedShare(level, total);
  }

  /** Weight of all requests without a reservation, and of the more urgent ones. */
  private _mix(priority: number): { total: number; before: number } {
    let total = 0;
    let before = 0;
    for (const [other, weight] of this._weights) {
      total += weight;
      before += other < priority ? weight : 0;
    }
    return { total, before };
  }

  /** Share of the requests without a reservation to admit. */
  private _admittedShare(level: number, total: number): number {
    return 1 - level * (1 + this._reservedWeight / total);
  }

  private _decay(now: number): void {
    const decay = 0.5 ** ((now - this._decayedAt) / kHalfLifeMs);
    this._decayedAt = now;
    for (const [other, weight] of this._weights) {
      this._weights.set(other, weight * decay);
    }
    this._reservedWeight *= decay;
  }
}
