/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Share of people's requests that a gate wants to be turned away where they enter, because it has more work than slots.
 * An integrator: it rises while calls wait, and falls while slots are free.
 */

/** Calls that may wait, as a share of the limit, without the level rising: enough to keep the slots busy. */
const kCalmQueue = 0.3;
/** Share of the limit below which slots count as free. */
const kBusyShare = 0.9;
/** Rise a second while the queue is long, and fall a second while slots are free. */
const kRise = 0.6;
const kFall = 0.15;
/** Longest excess of the queue that speeds the rise up, as a multiple of the calm queue. */
const kMaxExcess = 2;

/** What the level is steered by. */
export interface SlotLoad {
  inFlight: number;
  queued: number;
  limit: number;
}

/** Level of one gate: 0 turns nobody away, 1 everybody. */
export class GateLevel {
  private _level = 0;

  /** The level as of the last step. */
  get current(): number {
    return this._level;
  }

  /** Follows the load over a time; `refused` are calls refused for want of slots in it. */
  step({ inFlight, queued, limit }: SlotLoad, refused: number, elapsedMs: number): void {
    const seconds = elapsedMs / 1_000;
    const excess = (queued + refused) / (limit * kCalmQueue) - 1;
    if (excess > 0) {
      this._level += kRise * Math.min(excess, kMaxExcess) * 0.5 * seconds;
    } else if (inFlight < limit * kBusyShare) {
      this._level -= kFall * seconds * (1 + 2 * (1 - inFlight / limit));
    }
    this._level = Math.min(1, Math.max(0, this._level));
  }
}
