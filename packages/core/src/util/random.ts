/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Seeded random numbers for reproducible runs. */

import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Source of numbers in [0, 1). */
export type Random = () => number;

const kRange = 0x7fffffff;

/** Returns a source that yields the same sequence for the same seed. */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, kRange - 1) / kRange;
}
