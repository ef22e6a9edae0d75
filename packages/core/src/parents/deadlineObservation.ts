/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** How one call relates to the deadlines of the runs at the local target. */

export interface DeadlineObservation {
  /** Time for which the call's sender waits, in milliseconds. */
  remainingMs: number;
  /** Whether the deadline of a run lies within the tolerance of the call's. */
  matched: boolean;
  /** Fraction of nearby deadlines that would have matched as well; the probability of an accidental match. */
  chance: number;
}

/** Fractions of matched calls, and of those that would have matched by accident. */
export interface MatchShares {
  matched: number;
  chance: number;
}

export function matchShares(observations: readonly DeadlineObservation[]): MatchShares {
  let matched = 0;
  let chance = 0;
  for (const observation of observations) {
    matched += observation.matched ? 1 : 0;
    chance += observation.chance;
  }
  const count = Math.max(1, observations.length);
  return { matched: matched / count, chance: chance / count };
}

/** Whether more than `share` of the calls inherit deadlines, when the matches that are expected by accident are discounted. */
export function exceedsChance({ matched, chance }: MatchShares, share: number): boolean {
  return matched > chance + share * (1 - chance);
}
