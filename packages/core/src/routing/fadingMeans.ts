/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Means of what gets old, by name. */

import { kNewestWeight } from './means.js';

/** A value, and when it was set on the monotonic clock, in milliseconds. */
interface Dated {
  value: number;
  at: number;
}

/** Means that near a resting value while nothing renews them: what they say gets old. */
export class FadingMeans {
  private readonly _means = new Map<string, Dated>();

  /** @param _halfLifeMs time in which the distance from the resting value is halved, in milliseconds */
  constructor(private readonly _halfLifeMs: number) {}

  /** Names that have a mean. */
  get names(): string[] {
    return [...this._means.keys()];
  }

  /** The mean of a name as of now; the resting value before its first one. */
  at(name: string, now: number, rest = 0): number {
    const known = this._means.get(name);
    return known === undefined ? rest : rest + (known.value - rest) * 0.5 ** ((now - known.at) / this._halfLifeMs);
  }

  /** Takes a value; `first` is what the mean is taken for before any. */
  renew(name: string, value: number, now: number, rest = 0, first = rest): void {
    const before = this._means.has(name) ? this.at(name, now, rest) : first;
    this._means.set(name, { value: before + (value - before) * kNewestWeight, at: now });
  }
}
