/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Means of what gets old, by name. */

import { kSmoothingFactor } from './movingAverages.js';

/** A value, and when it was set on the monotonic clock, in milliseconds. */
interface TimedValue {
  value: number;
  updatedAt: number;
}

/** Means that near a resting value while nothing renews them: what they say gets old. */
export class DecayingAverages {
  private readonly _entries = new Map<string, TimedValue>();

  /** @param _halfLifeMs time in which the distance from the resting value is halved, in milliseconds */
  constructor(private readonly _halfLifeMs: number) {}

  /** Names that have a mean. */
  get names(): string[] {
    return [...this._entries.keys()];
  }

  /** The mean of a name as of now; the resting value before its first one. */
  valueAt(name: string, now: number, baseline = 0): number {
    const entry = this._entries.get(name);
    return entry === undefined ? baseline : baseline + (entry.value - baseline) * 0.5 ** ((now - entry.updatedAt) / this._halfLifeMs);
  }

  /** Takes a value; `first` is what the mean is taken for before any. */
  update(name: string, value: number, now: number, baseline = 0, initial = baseline): void {
    const previous = this._entries.has(name) ? this.valueAt(name, now, baseline) : initial;
    this._entries.set(name, { value: previous + (value - previous) * kSmoothingFactor, updatedAt: now });
  }
}
