/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Limits how deeply JSON values from the network are nested, because code that recurses over them overflows the stack. */

import * as z from 'zod';

/** Largest number of levels of objects and arrays in a value; no valid configuration or verdict has more than a few. */
const kMaxLevels = 32;

/** Any JSON value of a limited depth. */
export const shallowValueSchema = z.unknown().refine((value) => hasAtMostLevels(value, kMaxLevels), {
  error: `expected at most ${kMaxLevels} levels of objects and arrays`,
  abort: true,
});

function hasAtMostLevels(value: unknown, levels: number): boolean {
  if (typeof value !== 'object' || value === null) {
    return true;
  }
  return levels > 0 && Object.values(value).every((inner) => hasAtMostLevels(inner, levels - 1));
}
