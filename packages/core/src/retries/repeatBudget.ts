/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Limits the repeats that run at one target, so that the sum over all targets of a service stays within the service's bound
 * without communication between daemons.
 */

import { monotonicMs } from '../util/clock.js';

/**
 * Share of the bound's ratio for routes without downstream calls, and its factor for each level of downstream calls. The
 * downstream calls of a repeated run are repeats too, so each level adds half as many as the level below, and the sum stays
 * within the bound.
 */
const kLeafShare = 0.45;
export const kShareFactorPerLevel = 0.5;
/** Share while the length of the downstream call chain is unknown. */
export const kUnknownChainShare = 0.05;
/** Share of the bound's extra repeats that the targets of the service divide among themselves. */
const kExtraShare = 0.2;
/** Share of the token capacity that calls of targets leave to external requests. */
const kReservedForExternalShare = 0.6;

/** Bound on the repeats of a whole service. */
export interface RepeatBound {
  /** Repeats per first arrival of a request. */
  ratio: number;
  /** Additional repeats per window. */
  extra: number;
  /** Length of a window, in seconds. */
  windowSeconds: number;
}

/** Repeat budget of one target. It starts empty, because an earlier process may have spent tokens in the same window. */
export class RepeatBudget {
  private _tokens = 0;
  private _refilledAt = monotonicMs();

  constructor(private readonly _bound: RepeatBound) {}

  /** Adds tokens for the first arrival of a request. `chainLength` is its longest downstream call chain, if known. */
  earn(chainLength: number | undefined): void {
    const share = chainLength === undefined ? kUnknownChainShare : kLeafShare * kShareFactorPerLevel ** chainLength;
    this._tokens += this._bound.ratio * share;
  }

  /**
   * Takes a token for one repeat; false when there is none. `targets` is the number of targets of the service. An internal call
   * leaves some tokens to external requests: when most calls fail, a long chain fails even with repeats, but a single request may succeed.
   */
  spend(targets: number, internal: boolean): boolean {
    const capacity = this._refill(Math.max(1, targets));
    if (this._tokens < 1 + (internal ? (capacity - 1) * kReservedForExternalShare : 0)) {
      return false;
    }
    this._tokens--;
    return true;
  }

  /** Returns the token of a repeat that was not sent to the target. */
  refund(): void {
    this._tokens++;
  }

  /** Adds this target's share of the extra repeats for the elapsed time, and returns the capacity: one window's share, at least 1. */
  private _refill(targets: number): number {
    const now = monotonicMs();
    const share = (this._bound.extra * kExtraShare) / targets;
    const windowMs = this._bound.windowSeconds * 1_000;
    const elapsed = Math.min(now - this._refilledAt, windowMs);
    this._refilledAt = now;
    const capacity = Math.max(share, 1);
    this._tokens = Math.min(capacity, this._tokens + (share * elapsed) / windowMs);
    return capacity;
  }
}
