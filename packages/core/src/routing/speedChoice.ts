/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Chooses a target by expected completion. Many ingresses receive the same figures late; if each chose the best target, all would choose
 * the same one until the next figures arrive. So the best target decides only whether a call leaves its zone; there, two targets are picked
 * at random, and the call goes to the better one, or to either by its capacity if they are nearly equal.
 */

import type { TargetRecord } from '../membership/targetRecord.js';
import type { HostStats } from './hostStats.js';
import { addCharges, chargedFailures, type ComparisonContext, kFailureChargeFactor, type ScoredTarget } from './targetScore.js';

/** Difference up to which two scores are nearly equal: a share of the lower one, or milliseconds, whichever is more. */
const kNearBestShare = 0.1;
const kNearBestMs = 10;
/**
 * Share of the expected duration that is charged for a load of one, so that fast targets are not filled before slower ones receive calls.
 * With 0.5, the busiest target of 30 was at 1.28 times the mean rather than 1.24 where 60 ingresses had figures 0.05 to 0.5 s old.
 */
const kLoadFactor = 1;

/** Scores a target by the expected completion of a call at the present speed of the target, plus charges. */
export function scoreBySpeed(target: TargetRecord, stats: HostStats, context: ComparisonContext): ScoredTarget {
  const { route, usualMs, usualLoad, now } = context;
  const load = stats.load(target, now, usualLoad);
  const expectedMs = stats.expectedMs(route.name, usualMs, now);
  const completionMs = expectedMs + Math.max(0, load - 1) * expectedMs;
  const weightedMs = completionMs * Math.min(1, completionMs / route.latencyTargetMs);
  const failures = chargedFailures(stats, now);
  const timeScore = weightedMs + expectedMs * (load * kLoadFactor + failures * kFailureChargeFactor);
  const capacity = stats.limit(target) / Math.max(1, expectedMs);
  // The queue is part of the completion, so the charge for a busy target would count it twice.
  return addCharges(target, stats, context, { timeScore, load, capacity, busyWeight: 0, failing: failures > 0 });
}

/** Chooses between two random targets on the same side of the zone's border as `best`, the one with the lowest score. */
export function drawLike(best: ScoredTarget, scored: readonly ScoredTarget[], zone: string, random: () => number): ScoredTarget {
  const inZone = best.target.zone === zone;
  const withImpaired = isImpaired(best);
  const eligible: ScoredTarget[] = [];
  for (const candidate of scored) {
    if ((candidate.target.zone === zone) === inZone && (withImpaired || !isImpaired(candidate))) {
      eligible.push(candidate);
    }
  }
  const first = Math.floor(random() * eligible.length);
  const shift = 1 + Math.floor(random() * (eligible.length - 1));
  const a = eligible[first] ?? best;
  const b = eligible[(first + shift) % eligible.length] ?? best;
  return a.score <= b.score ? drawNearBest(a, b, random) : drawNearBest(b, a, random);
}

/** Returns the better target, or either of them, weighted by capacity, if their scores are nearly equal. */
function drawNearBest(better: ScoredTarget, worse: ScoredTarget, random: () => number): ScoredTarget {
  const bound = better.score + Math.max(kNearBestMs, better.score * kNearBestShare);
  return worse.score <= bound && random() * (better.capacity + worse.capacity) >= better.capacity ? worse : better;
}

function isImpaired({ unreachable, failing }: ScoredTarget): boolean {
  return unreachable || failing;
}
