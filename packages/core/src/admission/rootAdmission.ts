/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Decides where a person's request enters whether it is let in, given the level met on its chain: the level is the share of such
 * requests that is turned away, the least urgent first.
 *
 * Shares are of the requests seen lately, so that one step of a level moves the same part of the load whatever the mix of
 * priorities. With priorities taken as equally common, a step moved up to three times as much where most requests are of the
 * lowest one, and the level swung between letting in what fails half way and refusing while there was room.
 */

/** Time in which the weight of a request in the mix is halved, in milliseconds: long enough for some tens of requests. */
const kHalfLifeMs = 3_000;

/** Admission of people's requests at one daemon. */
export class RootAdmission {
  /** Requests lately met by a level, by priority. */
  private readonly _weights = new Map<number, number>();
  private _decayedAt = 0;

  /** Whether a request of a priority (0 is the most urgent) is let in; `draw` is uniform from 0 to 1, `now` in milliseconds. */
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
