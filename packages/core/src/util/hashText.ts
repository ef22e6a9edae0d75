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
export function hashText(text: string): number {
  return murmurhash.v3(text);
}
