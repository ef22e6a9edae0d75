/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Collects the runs that may have made a call. */

import { Agreement } from './agreement.js';
import type { ParentMatch } from './parentMatch.js';
import type { TrackedRun } from './trackedRun.js';

/** Runs that a match names at most; a capped call may have been made by any of hundreds. */
const kMaxCandidates = 16;

export class CandidateList {
  private readonly _best: TrackedRun[] = [];
  private readonly _rank = new Agreement<number>();
  private readonly _idleRank = new Agreement<number>();
  private readonly _workspace = new Agreement<string>();
  private readonly _idleWorkspace = new Agreement<string>();

  /** @param _deadline deadline of the call, on the monotonic clock, in milliseconds */
  constructor(private readonly _deadline: number) {}

  add(run: TrackedRun): void {
    this._rank.add(run.rank);
    this._workspace.add(run.workspace);
    if (run.openCalls === 0) {
      this._idleRank.add(run.rank);
      this._idleWorkspace.add(run.workspace);
    }
    this._insert(run);
  }

  /** The match, or undefined without any candidate. */
  toMatch(): ParentMatch | undefined {
    if (this._best.length === 0) {
      return undefined;
    }
    return {
      kind: 'found',
      rank: (this._rank.differs ? this._idleRank : this._rank).value,
      workspace: (this._workspace.differs ? this._idleWorkspace : this._workspace).value,
      candidates: this._best,
    };
  }

  private _insert(run: TrackedRun): void {
    const position = this._best.findLastIndex((other) => !this._isLikelier(run, other)) + 1;
    if (position === kMaxCandidates) {
      return;
    }
    if (this._best.length === kMaxCandidates) {
      this._best.pop();
    }
    this._best.splice(position, 0, run);
  }

  private _isLikelier(run: TrackedRun, other: TrackedRun): boolean {
    const isIdle = run.openCalls === 0;
    if (isIdle !== (other.openCalls === 0)) {
      return isIdle;
    }
    if (run.callsStarted !== other.callsStarted) {
      return run.callsStarted < other.callsStarted;
    }
    return Math.abs(run.deadline - this._deadline) < Math.abs(other.deadline - this._deadline);
  }
}
