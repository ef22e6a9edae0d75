/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Scores a candidate by its mean call duration plus charges, in milliseconds; the lowest score wins. */

import type { TargetRecord } from '../membership/targetRecord.js';
import type { HostStats } from './hostStats.js';

/**
 * Loads between which the charge for a busy target grows linearly, and its maximum as a multiple of the charge for another zone. A full
 * target loses to one with free capacity, but not to one that is nearly as full.
 */
export const kBusyLoad = 0.85;
const kFullLoad = 1.15;
const kFullLoadChargeFactor = 1.5;
/** Weight of the charge for downstream calls in another zone: a call chain moves there only if it costs clearly less. */
const kOtherZoneChainWeight = 2;
/**
 * Failure rate that is not charged, as calls also fail because of downstream targets, and the charge for the rate above it, as a multiple
 * of the mean call duration.
 */
const kToleratedFailureRate = 0.1;
export const kFailureChargeFactor = 20;
/** Share of the mean call duration that is charged for a load of one, so that the less loaded of two equal targets wins. */
const kLoadTieBreakFactor = 0.5;
/** Charge for an unreachable target, in milliseconds; larger than any other charge. */
const kUnreachableChargeMs = 1e6;

/** The route data that a choice needs. */
export interface PlacedRoute {
  name: string;
  latencyTargetMs: number;
  /** Time that the chain above leaves to the call; undefined when it is unknown. */
  chain?: ChainTimeLeft | undefined;
}

/** Time that a chain leaves to one of its calls. */
export interface ChainTimeLeft {
  /** Time until the deadline of the call, less what the runs above need after it, in milliseconds. */
  budgetMs: number;
  /** Expected number of gates that the chain passes after the call. */
  gatesAfter: number;
}

/**
 * Time within which a call should end, in milliseconds: the latency target of its route, or less if its chain leaves less. A chain of eight
 * calls with a latency target of 300 ms each under a limit of 800 ms fails long before one of them misses its target, so that the charge
 * for another zone, which is a share of the target, would keep calls at crowded targets of their own zone.
 */
export function desiredMs({ latencyTargetMs, chain }: PlacedRoute, usualMs: number): number {
  if (!chain) {
    return latencyTargetMs;
  }
  const slackMs = Math.max(0, chain.budgetMs - usualMs) / (1 + chain.gatesAfter);
  return Math.min(latencyTargetMs, usualMs + slackMs);
}

/** Inputs that are the same for all candidates of one choice. */
export interface ComparisonContext {
  route: PlacedRoute;
  excluded: ReadonlySet<string>;
  now: number;
  zoneChargeMs: number;
  chainWeight: number;
  /** Zone of the ingress. */
  zone: string;
  /** Mean duration of the route over all hosts, in milliseconds. */
  usualMs: number;
  /** Mean load that the targets of the route report. */
  usualLoad: number;
  random: () => number;
}

/** A candidate and its score; the lowest score wins. */
export interface ScoredTarget {
  target: TargetRecord;
  score: number;
  chargeMs: number;
  load: number;
  /** Capacity to weight a draw by; the effective one, in calls per millisecond, where the score is by speed. */
  capacity: number;
  unreachable: boolean;
  /** Whether its failure rate is charged. */
  failing: boolean;
}

/** The part of a score that depends on the strategy. */
interface TimeScore {
  timeScore: number;
  load: number;
  capacity: number;
  /** Weight of the charge for a busy target in the score; the charge that is reported upstream always contains it. */
  busyWeight: number;
  failing: boolean;
}

/** Scores a target by the mean call duration of its host, weighted by its share of the latency target. */
export function scoreByMean(target: TargetRecord, stats: HostStats, context: ComparisonContext): ScoredTarget {
  const { route, usualMs, now } = context;
  const load = stats.load(target, now);
  const mean = stats.meanMs(route.name, usualMs, now);
  const weightedMean = mean * Math.min(1, mean / route.latencyTargetMs);
  const failures = chargedFailures(stats, now);
  const timeScore = weightedMean + mean * (load * kLoadTieBreakFactor + failures * kFailureChargeFactor);
  const scored = addCharges(target, stats, context, {
    timeScore,
    load,
    capacity: stats.limit(target),
    busyWeight: 1,
    failing: failures > 0,
  });
  // Spreads calls over targets with equal scores.
  scored.score += context.random();
  return scored;
}

/** Adds the charges for another zone, a busy target, downstream calls and an unreachable host. */
export function addCharges(
  target: TargetRecord,
  stats: HostStats,
  { route, now, zone, zoneChargeMs, chainWeight }: ComparisonContext,
  { timeScore, load, capacity, busyWeight, failing }: TimeScore,
): ScoredTarget {
  const chainMs = stats.chargeMs(route.name, now);
  const inOtherZone = target.zone !== zone;
  const otherZoneMs = inOtherZone ? zoneChargeMs : 0;
  const busyMs = congestionOf(load) * kFullLoadChargeFactor * zoneChargeMs;
  const chainChargeMs = chainMs * chainWeight * (inOtherZone ? kOtherZoneChainWeight : 1);
  const unreachable = stats.remainingBackoffMs(now) > 0;
  const score = timeScore + (otherZoneMs + busyMs * busyWeight) + chainChargeMs + (unreachable ? kUnreachableChargeMs : 0);
  return { target, score, chargeMs: otherZoneMs + busyMs + chainMs, load, unreachable, capacity, failing };
}

/** Returns the target with the lowest score. */
export function lowestScore(scored: readonly ScoredTarget[]): ScoredTarget | undefined {
  let best: ScoredTarget | undefined;
  for (const candidate of scored) {
    best = best === undefined || candidate.score < best.score ? candidate : best;
  }
  return best;
}

/** Failure rate of a host above the tolerated one. */
export function chargedFailures(stats: HostStats, now: number): number {
  return stats.failureRateAbove(kToleratedFailureRate, now);
}

/** Maps a load to a value from 0 (up to kBusyLoad) to 1 (from kFullLoad). */
function congestionOf(load: number): number {
  return Math.min(1, Math.max(0, (load - kBusyLoad) / (kFullLoad - kBusyLoad)));
}
