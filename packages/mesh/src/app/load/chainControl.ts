/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Applies the time budget of chains: matches calls of the local target to its runs, tells gates what the chain above a call still needs,
 * and limits the time that a call waits at the gate of this host.
 */

import {
  type ChainModel,
  type ChainNeed,
  EntryTime,
  InheritedDeadlines,
  kNoChainNeed,
  monotonicMs,
  RunRegistry,
  RunTimings,
  type TrackedRun,
  waitBudget,
} from '@gentiandrum/core';
import type { LoadSettings } from '@gentiandrum/protocol';
import type { PeerCall } from '../../client/callCodec.js';
import type { OfferedCall } from '../calls/offeredCall.js';
import type { ChainCounts } from '../meshMetrics.js';
import { ChainShapes } from './chainShapes.js';

/** Services that the control depends on. */
export interface ChainControlDeps {
  load: LoadSettings;
  chains: ChainModel;
}

/** What is known about the chain of a call of the local target. */
export type CallChain =
  /** The call belongs to no known run. */
  | { kind: 'unknown' }
  /** The run that made the call has ended, so nobody waits for its response. */
  | { kind: 'ended' }
  | { kind: 'known'; rank: number | undefined; need: ChainNeed | undefined; ended: () => void };

/**
 * Difference of deadlines within which runs are preferred as the parents of a call, in milliseconds. With 150 runs in flight and calls capped
 * at 700 ms, it raises the share of calls with the right rank from 93% to 97%.
 */
const kPreferredToleranceMs = 1;

/**
 * Share of its wait budget that a call of a known chain may use. The budget is computed from low estimates of the durations of runs, so that
 * three of four runs take longer. With the whole budget, calls that had waited for long ended too late: in chains of 4 and 8 calls at 1.2 and
 * 1.6 times the capacity, 3% to 9% of the top-level runs were wasted instead of 3%.
 */
const kUsedBudgetShare = 0.5;

const kUnknownChain: CallChain = { kind: 'unknown' };

/** Decision of the gate on the time of a call. */
export type ChainTime =
  | { kind: 'too_late' }
  /** The call may wait `waitMs`; `slackMs` is what its chain as a whole may lose, undefined while the chain is unknown. */
  | { kind: 'fits'; waitMs: number; slackMs?: number };

/** Time budgets and parents of the calls at one daemon. */
export class ChainControl {
  readonly counts: ChainCounts = { known: 0, unknown: 0, ended: 0, tooLateAtGate: 0, tooLateAtEntry: 0 };
  private readonly _runs = new RunRegistry(new InheritedDeadlines(), kPreferredToleranceMs);
  private readonly _timings = new RunTimings();
  private readonly _entryTime = new EntryTime();

  private readonly _shapes: ChainShapes;

  constructor(private readonly _deps: ChainControlDeps) {
    this._shapes = new ChainShapes(_deps.chains);
  }

  /** Matches a call of the local target to the run that made it; `remainingMs` is the time until its deadline. */
  chainOf(route: string, remainingMs: number): CallChain {
    if (!this._deps.load.callParents || this._deps.chains.isInternal(route) !== true) {
      return kUnknownChain;
    }
    const match = this._runs.match(route, remainingMs, monotonicMs());
    switch (match.kind) {
      case 'unknown':
        this.counts.unknown++;
        return kUnknownChain;
      case 'ended':
        this.counts.ended++;
        return match;
      case 'found':
        this.counts.known++;
        return this._chainFrom(match.candidates, match.rank, monotonicMs() + remainingMs);
    }
  }

  /** Limits the wait of a call that is offered to the gate of this host. */
  timeOf(call: PeerCall): ChainTime {
    if (!this._deps.load.chainTime || call.suspicion !== undefined) {
      return { kind: 'fits', waitMs: call.waitMs };
    }
    const runMs = this._timings.needMs(call.route);
    const after = call.chain ?? kNoChainNeed;
    const budget = waitBudget({ remainingMs: call.remainingMs, runMs, gates: this._shapes.of(call.route).gates, after });
    if (budget.kind === 'too_late') {
      this.counts.tooLateAtGate++;
      return budget;
    }
    // Without a known chain, the time that the runs above need is unknown, so the budget does not bound the wait of an internal call.
    if (call.chain) {
      return { kind: 'fits', waitMs: Math.min(call.waitMs, budget.waitMs * kUsedBudgetShare), slackMs: budget.slackMs };
    }
    return { kind: 'fits', waitMs: call.inner ? call.waitMs : Math.min(call.waitMs, budget.waitMs) };
  }

  /** Whether an external request can end in time according to earlier requests on its route. */
  canEndInTime(route: string, remainingMs: number): boolean {
    const fits = !this._deps.load.chainTime || this._entryTime.canEndInTime(route, remainingMs);
    this.counts.tooLateAtEntry += fits ? 0 : 1;
    return fits;
  }

  /** Records the duration of a successful external request that entered at this host. */
  recordSuccess(route: string, ms: number): void {
    if (this._deps.load.chainTime) {
      this._entryTime.record(route, ms);
    }
  }

  /** Registers a call that starts at the local target, which gets `remainingMs` for it. */
  runStarted({ call }: OfferedCall, remainingMs: number): TrackedRun | undefined {
    const { chainTime, callParents } = this._deps.load;
    if (!chainTime && !callParents) {
      return undefined;
    }
    const now = monotonicMs();
    const deadline = now + Math.max(1, Math.floor(remainingMs));
    const run = { route: call.route, rank: call.rank, workspace: call.workspace?.name, deadline, need: call.chain ?? kNoChainNeed };
    return this._runs.start(run, now);
  }

  /** Records the end of a run; only successful ones show how long runs take. */
  runEnded(run: TrackedRun | undefined, succeeded: boolean): void {
    if (!run) {
      return;
    }
    const now = monotonicMs();
    this._runs.end(run, now);
    if (succeeded) {
      this._timings.recordRun(run.route, now - run.startedAt);
      this._deps.chains.recordCompletedRun(run.route, run.callsStarted);
      for (const { ordinal, ms } of run.afterEachCall(now)) {
        this._timings.recordAfter(run.route, ordinal, ms);
      }
    }
  }

  private _chainFrom(candidates: readonly TrackedRun[], rank: number | undefined, deadline: number): CallChain {
    const [likely] = candidates;
    if (!likely) {
      return kUnknownChain;
    }
    const ordinal = this._runs.callStarted(likely);
    const needs = candidates.map((run) => this._needAfter(run, run === likely ? ordinal : run.callsStarted + 1, deadline));
    return {
      kind: 'known',
      rank,
      need: leastNeed(needs),
      ended: () => {
        this._runs.callEnded(likely, ordinal, monotonicMs());
      },
    };
  }

  /**
   * What the chain needs after the call with this ordinal of a run, within the deadline of the call; undefined while the run's route is not
   * known well enough. While its calls are known but no time is, the time counts as 0: a daemon that started under overload would otherwise
   * leave waits unbounded, so that no run succeeded and no time was learned for up to 12 s. A call whose own limit ends before the run's
   * deadline leaves the time between the two to the run.
   */
  private _needAfter({ route, need, deadline: runDeadline }: TrackedRun, ordinal: number, deadline: number): ChainNeed | undefined {
    const { calls, gates, estimated } = this._shapes.of(route);
    const afterMs = this._timings.afterMs(route, ordinal) ?? (estimated ? 0 : undefined);
    if (afterMs === undefined) {
      return undefined;
    }
    const remainingShare = calls > 0 ? Math.max(0, calls - ordinal) / calls : 0;
    const neededMs = afterMs + need.afterMs - Math.max(0, runDeadline - deadline);
    return { afterMs: Math.max(0, neededMs), gatesAfter: (gates - 1) * remainingShare + need.gatesAfter };
  }
}

/** Need of the candidate that leaves the call the most time: a wrong guess must not refuse a call that could succeed. */
function leastNeed(needs: readonly (ChainNeed | undefined)[]): ChainNeed | undefined {
  let least: ChainNeed | undefined;
  for (const need of needs) {
    if (!need) {
      return undefined;
    }
    least = least === undefined || need.afterMs < least.afterMs ? need : least;
  }
  return least;
}
