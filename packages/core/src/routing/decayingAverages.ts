/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Named moving averages that decay towards a baseline. */

import { kSmoothingFactor } from './movingAverages.js';

interface TimedValue {
  value: number;
  /** Monotonic time, in milliseconds. */
  updatedAt: number;
}

/** Exponential moving averages that decay towards a baseline while they receive no new values. */
export class DecayingAverages {
  private readonly _entries = new Map<string, TimedValue>();

  /** @param _halfLifeMs time in which the distance from the baseline is halved, in milliseconds */
  constructor(private readonly _halfLifeMs: number) {}

  get names(): string[] {
    return [...this._entries.keys()];
  }

  /** Returns the average at time `now`, or `baseline` before the first value. */
  valueAt(name: string, now: number, baseline = 0): number {
    const entry = this._entries.get(name);
    return entry === undefined ? baseline : baseline + (entry.value - baseline) * 0.5 ** ((now - entry.updatedAt) / this._halfLifeMs);
  }

  /** Adds a value; `initial` is the average before the first one. */
  update(name: string, value: number, now: number, baseline = 0, initial = baseline): void {
    const previous = this._entries.has(name) ? this.valueAt(name, now, baseline) : initial;
    this._entries.set(name, { value: previous + (value - previous) * kSmoothingFactor, updatedAt: now });
  }
}
