/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Means over the latest values, by name. */

/** Weight of the newest value. */
export const kSmoothingFactor = 0.1;

/** Means that stay as they are until they are renewed. */
export class MovingAverages {
  private readonly _averages = new Map<string, number>();

  /** The mean of a name; undefined before its first value. */
  get(name: string): number | undefined {
    return this._averages.get(name);
  }

  /** Takes a value. */
  update(name: string, value: number): void {
    const previous = this._averages.get(name) ?? value;
    this._averages.set(name, previous + (value - previous) * kSmoothingFactor);
  }
}
