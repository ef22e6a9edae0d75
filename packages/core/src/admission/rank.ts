/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Rank of a call under overload; a smaller rank is more important.
 *
 * The rank orders calls by the importance of the root request, then by its cohort, a hash of the root request's id. Every
 * hop therefore sheds the same requests, and no work is wasted on requests that a later hop sheds.
 */

import type { Importance } from '@gentiandrum/protocol';
import { kImportances } from '@gentiandrum/protocol';

/** Number of cohorts within one importance. */
export const kCohorts = 128;
/** Level that admits every rank. A call is admitted when its rank is below the level. */
export const kOpenLevel = kImportances.length * kCohorts;

/** Index of an importance; 0 is the most important. */
export function importanceIndex(importance: Importance): number {
  return kImportances.indexOf(importance);
}

export function rankOf(call: { importance: number; cohort: number }): number {
  return call.importance * kCohorts + call.cohort;
}

/** Number of ranks above the level that are admitted for downstream calls, because their chains have already done work. */
const kInvestedWorkSlack = kCohorts;

/** Whether a call passes a level; `depth` is the number of upstream calls in its chain. */
export function passesLevel(rank: number, depth: number, level: number): boolean {
  return rank < level + (depth > 0 ? kInvestedWorkSlack : 0);
}

/** Cohort of a root request, from a 32-bit hash of its id. */
export function cohortOf(hash: number): number {
  return (hash >>> 0) % kCohorts;
}
