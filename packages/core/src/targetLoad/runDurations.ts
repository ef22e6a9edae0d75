/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Mean duration of the runs at one target, corrected by the slowness that the target states. */

import { monotonicMs } from '../util/clock.js';
import { KneeDetector } from './kneeDetector.js';
import { kUsualSlowness } from './statedLoad.js';

/** Weight of the latest run in the mean duration. */
const kMeanWeight = 0.05;

/** State at the start of a run. */
export interface RunStart {
  slowness: number | undefined;
  /** Number of runs at the target, including this one. */
  inUse: number;
}

const kUnstatedStart: RunStart = { slowness: undefined, inUse: 0 };

/** Durations of the runs at one target. */
export class RunDurations {
  private _meanMs = 0;
  /** Mean slowness, in percent, with the same weights as the mean duration. */
  private _meanSlowness = kUsualSlowness;
  private readonly _knee = new KneeDetector();

  /** @param _slowness returns the current slowness in percent; undefined when the target states none */
  constructor(private readonly _slowness: () => number | undefined) {}

  /** Mean duration of a run, in milliseconds; 0 before the first run ends. */
  get meanMs(): number {
    return this._meanMs;
  }

  /** Mean duration of a run at the current slowness, in milliseconds. */
  get expectedMs(): number {
    return this._meanMs * ((this._slowness() ?? kUsualSlowness) / this._meanSlowness);
  }

  /** Share of the slots that may be used. */
  get usedSlotShare(): number {
    return this._knee.usedShare;
  }

  /** Returns the state at the start of a run. */
  started(inUse: number): RunStart {
    const slowness = this._slowness();
    return slowness === undefined ? kUnstatedStart : { slowness, inUse };
  }

  /** Records a run that ended while `inUse` runs, including it, were at the target. */
  ended(start: RunStart, ranMs: number, inUse: number, slots: number): void {
    const slowness = this._slowness();
    // The slowness may have changed during the run; if it changes once, at any time, the mean of both ends is its expected mean.
    const runSlowness = ((start.slowness ?? kUsualSlowness) + (slowness ?? kUsualSlowness)) / 2;
    const weight = this._meanMs === 0 ? 1 : kMeanWeight;
    this._meanMs += (ranMs - this._meanMs) * weight;
    this._meanSlowness += (runSlowness - this._meanSlowness) * weight;
    // Without statements, runs that are slow because of other work on the machine cannot be told from a knee.
    if (start.slowness !== undefined && slowness !== undefined) {
      this._knee.record((start.inUse + inUse) / 2 / slots, (ranMs * kUsualSlowness) / runSlowness, monotonicMs());
    }
  }
}
