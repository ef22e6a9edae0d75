/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Finds the run at the local target that made a call. Calls of a target do not identify their run, but they expire at the
 * run's deadline.
 *
 * A match may be wrong; only the order and the waiting time of calls may depend on it.
 */

import { CandidateList } from './candidateList.js';
import { DeadlineIndex } from './deadlineIndex.js';
import { InheritedDeadlines } from './inheritedDeadlines.js';
import type { ParentMatch } from './parentMatch.js';
import { type StartedRun, TrackedRun } from './trackedRun.js';

/** Difference between the deadlines of a run and its call; 99 in 100 calls of a run were measured within it. */
const kToleranceMs = 2;
/** Distances from a call's deadline at which accidental matches are sampled, in milliseconds; near, but without its own run. */
const kChanceOffsetsMs = [-20, -10, 10, 20];
/** Time for which ended runs are kept, in milliseconds, and their number. */
const kKeepEndedMs = 1_000;
const kMaxEnded = 512;
/** Longest plausible time left of a call, in milliseconds. */
const kMaxRemainingMs = 3_600_000;

const kUnknown: ParentMatch = { kind: 'unknown' };
const kEnded: ParentMatch = { kind: 'ended' };

export class RunRegistry {
  private readonly _running = new DeadlineIndex();
  private readonly _ended = new DeadlineIndex();
  /** Ended runs, in the order of their ends. */
  private readonly _endedOrder: TrackedRun[] = [];

  /**
   * @param inherited whether calls inherit deadlines, learned from the calls that are matched
   * @param _preferredToleranceMs difference of deadlines within which runs are preferred to all others, in milliseconds; by default no
   *   run within the tolerance is
   */
  constructor(
    readonly inherited = new InheritedDeadlines(),
    private readonly _preferredToleranceMs = kToleranceMs,
  ) {}

  get running(): number {
    return this._running.size;
  }

  /** Records the start of a run. A run without a valid deadline is returned, but matches no call. */
  start(run: StartedRun, now: number): TrackedRun {
    const tracked = new TrackedRun(run, now);
    if (!Number.isNaN(run.deadline)) {
      this._running.add(tracked);
    }
    return tracked;
  }

  end(run: TrackedRun, now: number): void {
    if (!run.end(now) || Number.isNaN(run.deadline)) {
      return;
    }
    this._running.remove(run);
    this._ended.add(run);
    this._endedOrder.push(run);
    this._removeOldEnded(now);
  }

  /** Records the start of a call of a run and returns the call's ordinal in the run, from 1. */
  callStarted(run: TrackedRun): number {
    return run.startCall();
  }

  callEnded(run: TrackedRun, ordinal: number, now: number): void {
    run.endCall(ordinal, now);
  }

  /** Finds the run that made a call to a route, `remainingMs` before the call's deadline, and records whether there is one. */
  match(route: string, remainingMs: number, now: number): ParentMatch {
    if (!(remainingMs > 0 && remainingMs <= kMaxRemainingMs)) {
      return kUnknown;
    }
    this._removeOldEnded(now);
    const deadline = now + remainingMs;
    this.inherited.record(route, { remainingMs, matched: this._hasRunNear(deadline), chance: this._chanceNear(deadline) });
    if (!this.inherited.inherits(route)) {
      return kUnknown;
    }
    const isCapped = this.inherited.isCapped(route, remainingMs);
    const found = isCapped ? this._runsBetween(deadline - kToleranceMs, Infinity, deadline) : this._runsNear(deadline);
    if (found !== undefined || isCapped) {
      return found ?? kUnknown;
    }
    return this._ended.hasWithin(deadline - kToleranceMs, deadline + kToleranceMs) ? kEnded : kUnknown;
  }

  private _runsNear(deadline: number): ParentMatch | undefined {
    const preferred = this._runsBetween(deadline - this._preferredToleranceMs, deadline + this._preferredToleranceMs, deadline);
    return preferred ?? this._runsBetween(deadline - kToleranceMs, deadline + kToleranceMs, deadline);
  }

  private _runsBetween(earliest: number, latest: number, deadline: number): ParentMatch | undefined {
    const candidates = new CandidateList(deadline);
    for (let i = this._running.firstAtOrAfter(earliest); ; i++) {
      const run = this._running.at(i);
      if (!run || run.deadline > latest) {
        return candidates.toMatch();
      }
      candidates.add(run);
    }
  }

  private _hasRunNear(deadline: number): boolean {
    const from = deadline - kToleranceMs;
    const to = deadline + kToleranceMs;
    return this._running.hasWithin(from, to) || this._ended.hasWithin(from, to);
  }

  /** Fraction of the deadlines around a call's that match a run. */
  private _chanceNear(deadline: number): number {
    let matched = 0;
    for (const offset of kChanceOffsetsMs) {
      matched += this._hasRunNear(deadline + offset) ? 1 : 0;
    }
    return matched / kChanceOffsetsMs.length;
  }

  private _removeOldEnded(now: number): void {
    for (;;) {
      const oldest = this._endedOrder[0];
      const isOld = this._endedOrder.length > kMaxEnded || (oldest?.endedAt ?? Infinity) < now - kKeepEndedMs;
      if (!oldest || !isOld) {
        return;
      }
      this._endedOrder.shift();
      this._ended.remove(oldest);
    }
  }
}
