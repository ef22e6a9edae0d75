/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Rank of a call under overload: one number, smaller is more important.
 *
 * The importance of the root request counts first. Within one importance the cohort decides, a hash of the root request:
 * every hop then sheds the same requests, and work is not wasted on requests that a later hop sheds.
 */

import type { Importance } from '@gentiandrum/protocol';
import { kImportances } from '@gentiandrum/protocol';

/** Cohorts within one importance. */
export const kCohorts = 128;
/** Level at which every rank is admitted. A call is admitted when its rank is below the level. */
export const kOpenLevel = kImportances.length * kCohorts;

/** Index of an importance, 0 for the most important. */
export function importanceIndex(importance: Importance): number {
  return kImportances.indexOf(importance);
}

/** Rank of a call. */
export function rankOf(call: { importance: number; cohort: number }): number {
  return call.importance * kCohorts + call.cohort;
}

/**
 * Ranks over the level up to which a call with work invested in it is admitted: it passed the level a moment ago, where
 * its request entered. The queue still starts the more important first.
 */
const kInvestedWorkSlack = kCohorts;

/** Whether a call passes a level; `depth` counts the calls made on the way to it. */
export function passesLevel(rank: number, depth: number, level: number): boolean {
  return rank < level + (depth > 0 ? kInvestedWorkSlack : 0);
}

/** Cohort of a root request, from a 32-bit hash of its id. */
export function cohortOf(hash: number): number {
  return (hash >>> 0) % kCohorts;
}
