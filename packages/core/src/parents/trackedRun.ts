/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** A run at the local target and the calls that were matched to it. */

import type { ChainNeed } from '../chainTime/chainNeed.js';

/** Calls of a run whose end is kept, by their ordinal; later calls only count as started and open. */
const kMaxTimedCalls = 16;

/** Description of a run at its start. */
export interface StartedRun {
  route: string;
  /** Rank of the root request; undefined if it is not known. */
  rank: number | undefined;
  workspace: string | undefined;
  /** Monotonic time at which the time limit of the run ends, as the target received it, in milliseconds. */
  deadline: number;
  need: ChainNeed;
}

/** Time for which a run went on after the response to one of its calls. */
export interface AfterCall {
  /** Position of the call in its run, from 1. */
  ordinal: number;
  ms: number;
}

export class TrackedRun implements StartedRun {
  readonly route: string;
  readonly rank: number | undefined;
  readonly workspace: string | undefined;
  readonly deadline: number;
  readonly need: ChainNeed;
  private readonly _openOrdinals: number[] = [];
  private readonly _callEnds: (number | undefined)[] = [];
  private _callsStarted = 0;
  private _endedAt: number | undefined;

  /** @param startedAt monotonic time of the start, in milliseconds */
  constructor(
    run: StartedRun,
    readonly startedAt: number,
  ) {
    this.route = run.route;
    this.rank = run.rank;
    this.workspace = run.workspace;
    this.deadline = run.deadline;
    this.need = run.need;
  }

  get openCalls(): number {
    return this._openOrdinals.length;
  }

  get callsStarted(): number {
    return this._callsStarted;
  }

  /** Monotonic time of the end, in milliseconds; undefined while the run is in flight. */
  get endedAt(): number | undefined {
    return this._endedAt;
  }

  /** Records the end of the run; returns false if it had ended before. */
  end(now: number): boolean {
    if (this._endedAt !== undefined) {
      return false;
    }
    this._endedAt = now;
    return true;
  }

  /** Records the start of a call and returns its ordinal, from 1. */
  startCall(): number {
    this._callsStarted++;
    this._openOrdinals.push(this._callsStarted);
    return this._callsStarted;
  }

  /** Records the end of an open call; any other ordinal is ignored. */
  endCall(ordinal: number, now: number): void {
    const at = this._openOrdinals.indexOf(ordinal);
    if (at < 0) {
      return;
    }
    this._openOrdinals.splice(at, 1);
    if (ordinal <= kMaxTimedCalls) {
      this._callEnds[ordinal - 1] = now;
    }
  }

  /** Time between the end of each call and `endedAt`, for the first calls of the run that had ended by then. */
  afterEachCall(endedAt: number): AfterCall[] {
    const after: AfterCall[] = [];
    for (const [i, callEndedAt] of this._callEnds.entries()) {
      if (callEndedAt !== undefined && callEndedAt <= endedAt) {
        after.push({ ordinal: i + 1, ms: endedAt - callEndedAt });
      }
    }
    return after;
  }
}
