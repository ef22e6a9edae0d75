/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Bounds the repeats that one target gets, so that the sum over all targets of a service stays within the service's bound
 * without any daemon asking another.
 */

import { monotonicMs } from '../util/clock.js';

/**
 * Shares of the service's bound that its targets use up themselves. The calls of a run that was a repeat are repeats too, one
 * level down, so each level may add half of what the level below it may, and all together stay within the bound.
 */
const kLeafShare = 0.45;
const kShareFactorPerLevel = 0.5;
/** Share while it isn't known how deep the chains below are. */
const kUnknownChainShare = 0.05;
/** Share of the repeats beyond the ratio. */
const kExtraShare = 0.2;
/** Part of the repeats in stock that calls of targets leave to people's requests. */
const kReservedForExternalShare = 0.6;

/** Bound on repeats of a whole service. */
export interface RepeatBound {
  /** Repeats per first arrival. */
  ratio: number;
  /** Repeats beyond that in one window. */
  extra: number;
  /** Length of a window, in seconds. */
  windowSeconds: number;
}

/** Repeat budget of one target. A new one starts empty: what its predecessor spent in the same window is not known. */
export class RepeatBudget {
  private _tokens = 0;
  private _refilledAt = monotonicMs();

  constructor(private readonly _bound: RepeatBound) {}

  /** Notes the first arrival of a request; `height` is the length of the chain of calls below it, if that is known. */
  earn(chainLength: number | undefined): void {
    const share = chainLength === undefined ? kUnknownChainShare : kLeafShare * kShareFactorPerLevel ** chainLength;
    this._tokens += this._bound.ratio * share;
  }

  /**
   * Takes the right to one repeat; `targets` is the number of targets of the service. A call of a target leaves the last part
   * to people's requests: when most calls fail, a chain of many is lost anyway, and a single request can still be saved.
   */
  spend(targets: number, internal: boolean): boolean {
    const capacity = this._refill(Math.max(1, targets));
    if (this._tokens < 1 + (internal ? (capacity - 1) * kReservedForExternalShare : 0)) {
      return false;
    }
    this._tokens--;
    return true;
  }

  /** Tokens grow with time by this target's share of the extra repeats; at most one window's share is kept for later. */
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
