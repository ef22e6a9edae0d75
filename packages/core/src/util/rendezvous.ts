/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Rendezvous hashing: all daemons rank the same hosts alike for a key without a message, and a host that joins or leaves changes
 * no other host's rank.
 */

import { hashText } from './hashText.js';

/** Ranks hosts for one key; keeps their weights, as hashing takes ten times as long as comparing. */
export class RendezvousRank {
  private readonly _weights = new Map<string, number>();

  constructor(private readonly _key: string) {}

  /** The items by falling weight of their hosts. */
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
