/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Means over the latest values, by name. */

/** Weight of the newest value. */
export const kNewestWeight = 0.1;

/** Means that stay as they are until they are renewed. */
export class Means {
  private readonly _means = new Map<string, number>();

  /** The mean of a name; undefined before its first value. */
  of(name: string): number | undefined {
    return this._means.get(name);
  }

  /** Takes a value. */
  renew(name: string, value: number): void {
    const before = this._means.get(name) ?? value;
    this._means.set(name, before + (value - before) * kNewestWeight);
  }
}
