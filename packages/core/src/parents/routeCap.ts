/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Learns the time limit of a called route, which caps the time left that calls to it state: the largest value that occurs many times
 * within 1 ms.
 *
 * Runs that make a call immediately after they start also state nearly the same value each time. These calls match the
 * deadlines of runs, and calls at a cap match them only by accident, so that the two can be told apart.
 */

import { type DeadlineObservation, exceedsChance, type MatchShares, matchShares } from './deadlineObservation.js';

/** Recent calls in which a cap is searched. */
const kWindowCalls = 128;
/** Calls between searches, which sort the window. */
const kCallsPerSearch = 16;
/** Width of the values that count as equal, in milliseconds. */
const kCapWidthMs = 1;
/** Calls of the window at the cap; with fewer, calls with arbitrary deadlines could be mistaken for capped ones. */
const kMinCallsAtCap = 10;
/** Fraction of the window that may be above the cap, such as calls before a change of the limit. */
const kMaxShareAbove = 0.05;
/** Range below the cap, in milliseconds, in which values must be rarer by the factor than at the cap. */
const kRangeBelowMs = 8;
const kMinDensityFactor = 4;
/** Fraction of calls with inherited deadlines above which a value is not learned as a cap, and above which a cap is discarded. */
const kMaxInheritedToLearn = 0.5;
const kMaxInheritedToKeep = 0.8;
/**
 * Weight of a call in the shares at a learned cap. Calls in close succession match the same runs, so that the shares of a
 * window vary too much to keep a cap by them.
 */
const kShareWeight = 1 / 256;

export class RouteCap {
  private readonly _recent: DeadlineObservation[] = [];
  private _next = 0;
  private _untilSearch = kCallsPerSearch;
  private _capMs: number | undefined;
  /** Smoothed shares of the calls at the cap. */
  private _sharesAtCap: MatchShares = { matched: 0, chance: 0 };

  /** The learned limit, in milliseconds; undefined if there is none. */
  get capMs(): number | undefined {
    return this._capMs;
  }

  /** Whether a value is at the cap. */
  isCapped(remainingMs: number): boolean {
    return this._capMs !== undefined && isNear(remainingMs, this._capMs);
  }

  /** Records a call; returns whether the cap has changed. */
  record(observation: DeadlineObservation): boolean {
    this._recent[this._next] = observation;
    this._next = (this._next + 1) % kWindowCalls;
    if (this.isCapped(observation.remainingMs)) {
      const { matched, chance } = this._sharesAtCap;
      this._sharesAtCap = {
        matched: matched + (Number(observation.matched) - matched) * kShareWeight,
        chance: chance + (observation.chance - chance) * kShareWeight,
      };
    }
    if (--this._untilSearch > 0) {
      return false;
    }
    this._untilSearch = kCallsPerSearch;
    return this._update();
  }

  /** Keeps a cap that has no calls at present: calls below it are not affected. */
  private _update(): boolean {
    const sorted = Float64Array.from(this._recent, ({ remainingMs }) => remainingMs).sort();
    const maxAbove = Math.floor(sorted.length * kMaxShareAbove);
    const previous = this._capMs;
    if (previous !== undefined && this._isRefuted(previous, sorted, maxAbove)) {
      this._capMs = undefined;
    }
    for (let i = sorted.length - 1; i >= sorted.length - 1 - maxAbove; i--) {
      const value = sorted[i] ?? 0;
      if (this.isCapped(value)) {
        break;
      }
      if (isPeak(sorted, i) && this._learn(value)) {
        break;
      }
    }
    return this._capMs !== previous;
  }

  private _isRefuted(capMs: number, sorted: Float64Array, maxAbove: number): boolean {
    const highest = sorted[sorted.length - 1 - maxAbove] ?? 0;
    return highest > capMs + kCapWidthMs || exceedsChance(this._sharesAtCap, kMaxInheritedToKeep);
  }

  /** Learns a value as the cap unless the calls that state it inherit deadlines. */
  private _learn(value: number): boolean {
    const shares = matchShares(this._recent.filter(({ remainingMs }) => isNear(remainingMs, value)));
    if (exceedsChance(shares, kMaxInheritedToLearn)) {
      return false;
    }
    this._capMs = value;
    this._sharesAtCap = shares;
    return true;
  }
}

function isNear(remainingMs: number, capMs: number): boolean {
  return Math.abs(remainingMs - capMs) <= kCapWidthMs;
}

/** Whether many values lie closely below the one at `last`, and few in the range below them. */
function isPeak(sorted: Float64Array, last: number): boolean {
  const value = sorted[last] ?? 0;
  let first = last;
  while ((sorted[first - 1] ?? -Infinity) >= value - kCapWidthMs) {
    first--;
  }
  const atCap = last - first + 1;
  let below = first;
  while ((sorted[below - 1] ?? -Infinity) >= value - kCapWidthMs - kRangeBelowMs) {
    below--;
  }
  return atCap >= kMinCallsAtCap && atCap / kCapWidthMs >= (kMinDensityFactor * (first - below)) / kRangeBelowMs;
}
