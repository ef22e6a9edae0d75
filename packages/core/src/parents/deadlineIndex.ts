/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Runs sorted by their deadline, for searches by a range of deadlines. */

import type { TrackedRun } from './trackedRun.js';

export class DeadlineIndex {
  private readonly _runs: TrackedRun[] = [];

  get size(): number {
    return this._runs.length;
  }

  add(run: TrackedRun): void {
    this._runs.splice(this.firstAtOrAfter(run.deadline), 0, run);
  }

  /** Removes a run; does nothing if the index does not contain it. */
  remove(run: TrackedRun): void {
    for (let i = this.firstAtOrAfter(run.deadline); this._runs[i]?.deadline === run.deadline; i++) {
      if (this._runs[i] === run) {
        this._runs.splice(i, 1);
        return;
      }
    }
  }

  /** Run at a position; undefined after the last one. */
  at(position: number): TrackedRun | undefined {
    return this._runs[position];
  }

  /** Whether a deadline lies in a closed range. */
  hasWithin(from: number, to: number): boolean {
    const run = this._runs[this.firstAtOrAfter(from)];
    return run !== undefined && run.deadline <= to;
  }

  /** Position of the first run whose deadline is not before `deadline`. */
  firstAtOrAfter(deadline: number): number {
    let low = 0;
    let high = this._runs.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this._runs[middle]?.deadline ?? Infinity) < deadline) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
