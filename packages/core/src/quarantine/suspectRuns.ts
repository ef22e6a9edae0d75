/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Runs of suspects that may be in flight. Daemons exchange them, so that a fingerprint runs on one target at a time even when the set of
 * ready targets, and with it the choice of the target, changes during a run.
 */

import { monotonicMs, wallMs } from '../util/clock.js';

/** Maximum number of runs that are kept per fingerprint. */
const kMaxRuns = 8;
/** Time for which a run is kept after it ended, in milliseconds: an older copy that arrives late must not start it again. */
const kRetentionMs = 5_000;
/** Smallest reduction of the remaining time that is passed on, in milliseconds; smaller ones are transfer times. */
const kMinReductionMs = 100;

/** A run of a suspect on one target, as daemons exchange it. */
export interface SuspectRun {
  /** Host of the target. */
  host: string;
  /** Start in milliseconds of the wall clock of that host, later than that of its earlier runs; with the host, it identifies the run. */
  startedAt: number;
  /** Time for which it may still be in flight, in milliseconds; 0 when it is over. */
  remainingMs: number;
}

interface KnownRun {
  host: string;
  startedAt: number;
  /** Monotonic time from which it is not in flight. */
  endsAt: number;
  /** Monotonic time at which it is removed. */
  removedAt: number;
}

/** The runs that one daemon knows, by fingerprint. */
export class SuspectRuns {
  private readonly _runs = new Map<string, KnownRun[]>();
  private _lastStartedAt = 0;

  /** Starts a run on the target of a host. */
  start(fingerprint: string, host: string, remainingMs: number): SuspectRun {
    // The next run may start in the same millisecond in which one ends.
    this._lastStartedAt = Math.max(wallMs(), this._lastStartedAt + 1);
    const run = { host, startedAt: this._lastStartedAt, remainingMs };
    this.merge(fingerprint, [run]);
    return run;
  }

  /** Merges runs that another daemon sent; returns whether any is new or ends earlier than known. */
  merge(fingerprint: string, received: readonly SuspectRun[]): boolean {
    const changes = received.map((run) => this._mergeRun(fingerprint, run));
    return changes.includes(true);
  }

  /** Runs that may be in flight. */
  active(fingerprint: string): SuspectRun[] {
    const now = monotonicMs();
    return this._knownRuns(fingerprint)
      .filter(({ endsAt }) => endsAt > now)
      .map(({ host, startedAt, endsAt }) => ({ host, startedAt, remainingMs: endsAt - now }));
  }

  /** Host on which the fingerprint may be in flight; the earliest run if there are several. */
  runningAt(fingerprint: string): string | undefined {
    const [first] = this.active(fingerprint).sort((a, b) => a.startedAt - b.startedAt);
    return first?.host;
  }

  /** Removes runs that ended some time ago; called periodically. */
  prune(): void {
    const now = monotonicMs();
    for (const [fingerprint, runs] of this._runs) {
      const kept = runs.filter(({ removedAt }) => removedAt > now);
      if (kept.length > 0) {
        this._runs.set(fingerprint, kept);
      } else {
        this._runs.delete(fingerprint);
      }
    }
  }

  private _knownRuns(fingerprint: string): readonly KnownRun[] {
    return this._runs.get(fingerprint) ?? [];
  }

  private _mergeRun(fingerprint: string, { host, startedAt, remainingMs }: SuspectRun): boolean {
    const endsAt = monotonicMs() + remainingMs;
    const runs = this._knownRuns(fingerprint);
    const known = runs.find((run) => run.host === host && run.startedAt === startedAt);
    if (known) {
      const reduced = known.endsAt - endsAt >= kMinReductionMs || (remainingMs === 0 && known.endsAt > endsAt);
      known.endsAt = Math.min(known.endsAt, endsAt);
      return reduced;
    }
    const run = { host, startedAt, endsAt, removedAt: endsAt + kRetentionMs };
    const latest = [...runs, run].sort((a, b) => a.endsAt - b.endsAt).slice(-kMaxRuns);
    this._runs.set(fingerprint, latest);
    return true;
  }
}
