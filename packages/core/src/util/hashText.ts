/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * A hash that is the same in every daemon, for ranks and comparisons; no protection against forgery. The runtime's cryptographic hashes
 * would load 36 of its modules, 20 ms of processor time at each start.
 */

import murmurhash from 'murmurhash';

/** Hash of a text, from 0 to 2^32 - 1. */
export function hashText(text: string, seed?: number): number {
  return murmurhash.v3(text, seed);
}

/** Hash of bytes, from 0 to 2^32 - 1; some 5 ms a MiB. */
export function hashBytes(bytes: Uint8Array, seed: number): number {
  return murmurhash.v3(bytes, seed);
}

/** A hash of two hashes, from 0 to 2^32 - 1: for ranks of many pairs, at a hundredth of the time that hashing their texts takes. */
export function hashPair(a: number, b: number): number {
  let hash = a ^ Math.imul(b, 0x9e3779b1);
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
