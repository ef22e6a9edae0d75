/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Explains why a ready target of the local zone receives no calls. */

import type { TargetRecord } from '../membership/targetRecord.js';
import type { HostStats } from './hostStats.js';

/**
 * Consecutive comparisons without being chosen after which a target of the local zone is reported. Of some eight primary targets an
 * ordinary one is chosen once in eight, so only targets with a disadvantage are reported.
 */
export const kUnchosenComparisons = 100;

/** A target of the local zone that is compared repeatedly but never chosen, with the values that decide its score. */
export interface UnchosenTarget {
  host: string;
  comparisons: number;
  /** Mean call durations by route, in milliseconds, of this host and over all hosts. */
  meanMs: Record<string, number>;
  usualMs: Record<string, number>;
  /** Failure rate of its calls. */
  failures: number;
  /** Remaining time for which it is deprioritized as unreachable, in milliseconds. */
  avoidedMs: number;
  /** Calls at the target and in transit to it, divided by the number that it runs concurrently. */
  load: number;
  /** Slowness that it states, in percent, aged to the present; absent when it states none. */
  slowness?: number;
}

/** Returns the values that decide the score of a target; `usualMs` is the mean duration of a route over all hosts. */
export function explainUnchosen(target: TargetRecord, stats: HostStats, usualMs: (route: string) => number, now: number): UnchosenTarget {
  const { routes } = stats;
  const slowness = stats.slowness(now);
  return {
    host: target.host,
    comparisons: stats.comparisonsSinceChosen,
    meanMs: Object.fromEntries(routes.map((route) => [route, Math.round(stats.meanMs(route, usualMs(route), now))])),
    usualMs: Object.fromEntries(routes.map((route) => [route, Math.round(usualMs(route))])),
    failures: stats.failureRate(now),
    avoidedMs: Math.round(stats.remainingBackoffMs(now)),
    load: stats.load(target, now),
    ...(slowness !== undefined ? { slowness: Math.round(slowness) } : {}),
  };
}
