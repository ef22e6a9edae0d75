/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Limits the repeats that run at one target like RepeatBudget, with the same bound for the service, and gives scarce tokens to the most
 * urgent calls.
 *
 * Ratio: a repeated run at one level makes repeats of its calls at all levels below, so a service receives at most the sum of the shares
 * of its own level and of those above: 0.7 + 0.1 x (1 + 1/2 + 1/4 + ...) = 0.9 of the ratio.
 *
 * Extra: in any window, the targets of a service without downstream calls spend at most the tokens that they hold at its start and what
 * they earn in it. That is 0.55 + 0.2 = 0.75 of the extra besides the ratio, while the service has at most 0.55 x extra targets: 52 with
 * an extra of 95; 19 targets hold 2.75 tokens each. Targets with downstream calls get half the trickle and hold no more than with
 * RepeatBudget, because each of their repeats may make several repeats below.
 */

import { monotonicMs } from '../util/clock.js';
import { type DemandPosition, RankedDemand } from './rankedDemand.js';
import { kShareFactorPerLevel, kUnknownChainShare, type RepeatBound } from './repeatBudget.js';

/** Share of the bound's ratio for routes without downstream calls, and for those directly above them. */
const kLeafShare = 0.7;
const kCallerShare = 0.1;
/** Shares of the bound's extra repeats that all targets of a service earn in a window, and that they hold at most. */
const kLeafLimits = { trickle: 0.2, capacity: 0.55 };
const kCallerLimits = { trickle: 0.1, capacity: 0.2 };
/** Half-life of the rate of supply, in milliseconds; that of the demand. */
const kHalfLifeMs = 2_000;
/** Maximum credit of a band, in tokens. */
const kMaxCredit = 2;
/** Maximum number of lost tokens that are remembered, so that a calm time does not suspend the ranking for longer than a few repeats. */
const kMaxLost = 2;
/** Share of the demand that counts as urgent in the metrics. */
const kUrgentShare = 0.25;

/** What determines the urgency of a repeat. */
export interface RankedRepeat {
  /** Rank of the root request, 0 being the most urgent; undefined if unknown. */
  rank: number | undefined;
  /** Gates that the chain passes after this call; undefined for external requests, and for calls whose parent is unknown. */
  gatesAfter: number | undefined;
  /** Whether the call is made by a target. */
  internal: boolean;
}

/** Tokens spent and refused since the start, by whether less than a quarter of the demand was more urgent. */
export interface RankedRepeatCounts {
  urgent: number;
  other: number;
  refusedUrgent: number;
  refusedOther: number;
}

/** Repeat budget of one target by rank. It starts empty, because an earlier process may have spent tokens in the same window. */
export class RankedRepeatBudget {
  readonly counts: RankedRepeatCounts = { urgent: 0, other: 0, refusedUrgent: 0, refusedOther: 0 };
  private readonly _createdAt = monotonicMs();
  private readonly _demand = new RankedDemand();
  private _tokens = 0;
  /** Tokens lost to the capacity, and not yet replaced by a grant out of turn. */
  private _lost = 0;
  private _refilledAt = this._createdAt;
  /** Time of the last arrival on a route with downstream calls. */
  private _callerAt = -Infinity;
  private _leafAt = -Infinity;
  /** Tokens earned since the last refill, and their rate per second before it. */
  private _earned = 0;
  private _earnedRate = 0;

  constructor(private readonly _bound: RepeatBound) {}

  /** Adds tokens for the first arrival of a request. `chainLength` is its longest downstream call chain, if known. */
  earn(chainLength: number | undefined): void {
    const known = chainLength !== undefined && Number.isFinite(chainLength) && chainLength >= 0;
    let share = kUnknownChainShare;
    if (known && chainLength > 0) {
      share = kCallerShare * kShareFactorPerLevel ** (Math.max(1, chainLength) - 1);
      this._callerAt = monotonicMs();
    } else if (known) {
      share = kLeafShare;
      this._leafAt = monotonicMs();
    }
    this._tokens += this._bound.ratio * share;
    this._earned += this._bound.ratio * share;
  }

  /** Takes a token for one repeat; false when there is none for its urgency. `targets` is the number of targets of the service. */
  spend(targets: number, { rank, gatesAfter, internal }: RankedRepeat): boolean {
    const now = monotonicMs();
    const { capacity, supply } = this._refill(Number.isFinite(targets) ? Math.max(1, targets) : Infinity, now);
    const position = this._demand.record(rank, gatesAfter ?? (internal ? undefined : 0), now);
    const granted = this._isEntitled(position, capacity, supply);
    if (granted) {
      this._tokens--;
      position.band.credit = Math.max(0, position.band.credit - 1);
    }
    const urgent = position.above < kUrgentShare * position.total;
    if (granted) {
      this.counts[urgent ? 'urgent' : 'other']++;
    } else {
      this.counts[urgent ? 'refusedUrgent' : 'refusedOther']++;
    }
    return granted;
  }

  /** Returns the token of a repeat that was not sent to the target. */
  refund(): void {
    this._tokens++;
  }

  /**
   * Whether the more urgent calls leave a token to a call. It leaves tokens to them by their part of the supply, and the calls that share a
   * remainder take turns by their credit. What has been lost to the capacity shows that the more urgent calls do not need all tokens.
   */
  private _isEntitled({ above, own, band }: DemandPosition, capacity: number, supply: number): boolean {
    const share = Math.min(1, Math.max(0, supply - above) / own);
    band.credit = Math.min(kMaxCredit, band.credit + share);
    if (share > 0 && (share === 1 || band.credit >= 1) && this._tokens >= 1 + (capacity - 1) * (above / supply) ** 2) {
      return true;
    }
    if (this._lost < 1 || this._tokens < 1) {
      return false;
    }
    this._lost--;
    return true;
  }

  /**
   * Adds this target's share of the extra repeats for the elapsed time; returns the capacity, at least 1, and the present rate of supply
   * per second.
   */
  private _refill(targets: number, now: number): { capacity: number; supply: number } {
    const windowMs = this._bound.windowSeconds * 1_000;
    const { trickle, capacity: capacityShare } = this._limits(now - windowMs);
    const elapsed = Math.max(0, now - this._refilledAt);
    this._refilledAt = now;
    const perWindow = (this._bound.extra * trickle) / targets;
    const capacity = Math.max((this._bound.extra * capacityShare) / targets, 1);
    const filled = this._tokens + (perWindow * Math.min(elapsed, windowMs)) / windowMs;
    this._tokens = Math.min(capacity, filled);
    this._lost = Math.min(kMaxLost, this._lost + filled - this._tokens);
    if (elapsed > 0) {
      const weight = Math.max(1 - 0.5 ** (elapsed / kHalfLifeMs), elapsed / (now - this._createdAt));
      this._earnedRate += weight * ((this._earned * 1_000) / elapsed - this._earnedRate);
      this._earned = 0;
    }
    return { capacity, supply: this._earnedRate + perWindow / this._bound.windowSeconds };
  }

  /** Limits of a target that has had only known routes without downstream calls since `since`, or those of any other target. */
  private _limits(since: number): { trickle: number; capacity: number } {
    return this._leafAt >= since && this._callerAt < since ? kLeafLimits : kCallerLimits;
  }
}
