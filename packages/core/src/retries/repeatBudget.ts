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
const kShareOfLowest = 0.45;
const kSharePerLevel = 0.5;
/** Share while it isn't known how deep the chains below are. */
const kShareUnknown = 0.05;
/** Share of the repeats beyond the ratio. */
const kExtraShare = 0.2;
/** Part of the repeats in stock that calls of targets leave to people's requests. */
const kKeptForPeople = 0.6;

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
  private _filledAt = monotonicMs();

  constructor(private readonly _bound: RepeatBound) {}

  /** Notes the first arrival of a request; `height` is the length of the chain of calls below it, if that is known. */
  earn(height: number | undefined): void {
    const share = height === undefined ? kShareUnknown : kShareOfLowest * kSharePerLevel ** height;
    this._tokens += this._bound.ratio * share;
  }

  /**
   * Takes the right to one repeat; `targets` is the number of targets of the service. A call of a target leaves the last part
   * to people's requests: when most calls fail, a chain of many is lost anyway, and a single request can still be saved.
   */
  spend(targets: number, inner: boolean): boolean {
    const most = this._fill(Math.max(1, targets));
    if (this._tokens < 1 + (inner ? (most - 1) * kKeptForPeople : 0)) {
      return false;
    }
    this._tokens--;
    return true;
  }

  /** Tokens grow with time by this target's share of the extra repeats; at most one window's share is kept for later. */
  private _fill(targets: number): number {
    const now = monotonicMs();
    const share = (this._bound.extra * kExtraShare) / targets;
    const windowMs = this._bound.windowSeconds * 1_000;
    const elapsed = Math.min(now - this._filledAt, windowMs);
    this._filledAt = now;
    const most = Math.max(share, 1);
    this._tokens = Math.min(most, this._tokens + (share * elapsed) / windowMs);
    return most;
  }
}
