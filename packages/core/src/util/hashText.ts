/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Non-cryptographic hashes that are equal in all daemons, for rankings and digests. Avoids the crypto module, which would slow down the
 * start of a daemon.
 */

import murmurhash from 'murmurhash';

/** Returns the hash of a text as an unsigned 32-bit integer. */
export function hashText(text: string, seed?: number): number {
  return murmurhash.v3(text, seed);
}

/** Returns the hash of bytes as an unsigned 32-bit integer. */
export function hashBytes(bytes: Uint8Array, seed: number): number {
  return murmurhash.v3(bytes, seed);
}

/** Combines two hashes into an unsigned 32-bit integer; cheaper than hashing both texts for each pair. */
export function hashPair(a: number, b: number): number {
  let hash = a ^ Math.imul(b, 0x9e3779b1);
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
