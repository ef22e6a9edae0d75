/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Rendezvous hashing: all daemons compute the same ranking of hosts for a key, and a host that joins or leaves does not change the relative
 * order of the others.
 */

import { hashText } from './hashText.js';

/** Ranks hosts for one key, with a cache of their weights. */
export class RendezvousRank {
  private readonly _weights = new Map<string, number>();

  constructor(private readonly _key: string) {}

  /** Returns the items by descending weight of their hosts. */
  order<T extends { host: string }>(items: readonly T[]): T[] {
    return items
      .map((item) => ({ item, weight: this._weightOf(item.host) }))
      .sort((a, b) => b.weight - a.weight)
      .map(({ item }) => item);
  }

  private _weightOf(host: string): number {
    let weight = this._weights.get(host);
    if (weight === undefined) {
      weight = hashText(`${this._key}\0${host}`);
      this._weights.set(host, weight);
    }
    return weight;
  }
}
