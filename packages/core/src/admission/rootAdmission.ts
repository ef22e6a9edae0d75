/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Decides where a person's request enters whether it is let in, given the level met on its chain. */

/** Lets in the more urgent first, and within one priority an even share. */
export function admitsRoot(priority: number, lowestPriority: number, level: number, draw: number): boolean {
  const place = (priority + draw) / (lowestPriority + 1);
  return place < 1 - level || level <= 0;
}
