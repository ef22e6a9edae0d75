/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Repeat budget of the target on this host: earns tokens for first arrivals, and spends them on repeats. */

import { type RankedRepeatCounts, RankedRepeatBudget, type RepeatBound, RepeatBudget } from '@gentiandrum/core';
import type { GateLoadDeps } from './gateLoad.js';
import type { OfferedCall } from './offeredCall.js';

/** Daemon services that the budget depends on. */
export interface GateRepeatsDeps extends Pick<GateLoadDeps, 'chains' | 'load' | 'metrics'> {
  bound: RepeatBound;
  /** Number of targets of the service, including this one. */
  targets(service: string): number;
}

/** Repeats at one gate. */
export class GateRepeats {
  private readonly _plain: RepeatBudget;
  /** Replaces the plain budget; undefined if repeats are not ranked. */
  private readonly _ranked: RankedRepeatBudget | undefined;

  constructor(private readonly _deps: GateRepeatsDeps) {
    this._plain = new RepeatBudget(_deps.bound);
    this._ranked = _deps.load.rankedRepeats ? new RankedRepeatBudget(_deps.bound) : undefined;
  }

  /** Tokens spent and refused, for metrics; undefined if repeats are not ranked. */
  get counts(): RankedRepeatCounts | undefined {
    return this._ranked?.counts;
  }

  /** Records a first arrival, or spends a token on a repeat; false if there is none for it. */
  admit(offered: OfferedCall): boolean {
    const { call } = offered;
    if (!call.repeat) {
      (this._ranked ?? this._plain).earn(this._longestChainOf(call.route));
      return true;
    }
    const targets = this._deps.targets(call.service);
    const repeat = { rank: call.rank, gatesAfter: call.chain?.gatesAfter, internal: call.inner };
    if (!(this._ranked?.spend(targets, repeat) ?? this._plain.spend(targets, call.inner))) {
      return false;
    }
    offered.repeatSpent = true;
    this._deps.metrics.repeated();
    return true;
  }

  /** A repeat that did not reach the target costs nothing. */
  refund(offered: OfferedCall): void {
    if (offered.repeatSpent) {
      offered.repeatSpent = false;
      (this._ranked ?? this._plain).refund();
    }
  }

  private _longestChainOf(route: string): number | undefined {
    const { chains } = this._deps;
    return chains.isEstimated(route) ? chains.report(route, 0).height : undefined;
  }
}
