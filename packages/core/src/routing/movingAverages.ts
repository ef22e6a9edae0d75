/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Named exponential moving averages. */

/** Weight of the newest value. */
export const kSmoothingFactor = 0.1;

/** Exponential moving averages that keep their value until the next update. */
export class MovingAverages {
  private readonly _averages = new Map<string, number>();

  /** Returns the average, or undefined before the first value. */
  get(name: string): number | undefined {
    return this._averages.get(name);
  }

  update(name: string, value: number): void {
    const previous = this._averages.get(name) ?? value;
    this._averages.set(name, previous + (value - previous) * kSmoothingFactor);
  }
}
