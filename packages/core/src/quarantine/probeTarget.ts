/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Decides on which target, and when, a fingerprint is probed. */

import { RendezvousRank } from '../util/rendezvousRank.js';
import type { Verdict } from './suspicion.js';

/** Time since the last update after which a probe runs even with few targets left, as those may not come back, in milliseconds. */
const kRecoveryMs = 5_000;

/** Number of targets of a service, as known to one daemon. */
export interface ServiceTargets {
  ready: number;
  unreachable: number;
}

/**
 * Whether a service can afford to lose one more target to a probe: while targets are unreachable, at least half of all must remain. Without
 * this check, two fingerprints that crash targets at the same time could take down a small service completely.
 *
 * @param msSinceUpdate time since the suspicion last changed, in milliseconds
 */
export function mayProbe({ ready, unreachable }: ServiceTargets, msSinceUpdate: number): boolean {
  return unreachable === 0 || (ready - 1) * 2 >= ready + unreachable || msSinceUpdate > kRecoveryMs;
}

/** What decides whether a suspect may run. */
export interface SuspectState {
  verdict: Verdict;
  /** Host on whose target the fingerprint is in flight; undefined when it is not. */
  runningAt: string | undefined;
  /** Time since the suspicion last changed, in milliseconds. */
  msSinceUpdate: number;
}

/** Whether a suspect may be sent to a target now: to the one that runs its fingerprint already, or to any if the service can afford it. */
export function maySendSuspect(state: SuspectState, candidates: readonly { host: string }[], unreachable: number): boolean {
  const { verdict, runningAt, msSinceUpdate } = state;
  if (runningAt !== undefined) {
    return candidates.some(({ host }) => host === runningAt);
  }
  return verdict !== 'trial' || mayProbe({ ready: candidates.length, unreachable }, msSinceUpdate);
}

/**
 * The target of a suspect. Daemons that know the same targets choose the same one without communicating, and different fingerprints are
 * spread over the targets. While the fingerprint is in flight on a target, the choice stays there: a target that becomes ready meanwhile
 * would otherwise run it at the same time.
 */
export function chooseProbeTarget<T extends { host: string }>(
  fingerprint: string,
  candidates: readonly T[],
  excluded: ReadonlySet<string>,
  runningAt?: string,
): T | undefined {
  const allowed = candidates.filter(({ host }) => !excluded.has(host) && (runningAt === undefined || host === runningAt));
  const [first] = new RendezvousRank(fingerprint).order(allowed);
  return first;
}
