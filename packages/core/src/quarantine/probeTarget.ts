/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Decides on which target, and when, a suspect runs. */

import { RendezvousRank } from '../util/rendezvousRank.js';
import type { Verdict } from './suspicion.js';

/** Time since the last update after which a probe runs even with few targets left, as those may not come back, in milliseconds. */
const kRecoveryMs = 5_000;

/** Number of targets of a service, as known to one daemon. */
interface ServiceTargets {
  ready: number;
  unreachable: number;
}

/**
 * Whether a service can afford to lose one more target to a probe: while targets are unreachable, at least half of all must remain. Without
 * this check, two fingerprints that crash targets at the same time could take down a small service completely.
 *
 * @param msSinceUpdate time since the suspicion last changed, in milliseconds
 */
function mayProbe({ ready, unreachable }: ServiceTargets, msSinceUpdate: number): boolean {
  return unreachable === 0 || (ready - 1) * 2 >= ready + unreachable || msSinceUpdate > kRecoveryMs;
}

/** What decides whether and where a suspect may run. */
export interface SuspectState {
  verdict: Verdict;
  /** Host on whose target the fingerprint is in flight; undefined when it is not. */
  runningAt: string | undefined;
  /** Time since the suspicion last changed, in milliseconds. */
  msSinceUpdate: number;
}

/**
 * Host on which a suspect has to run because its fingerprint is in flight there; undefined when any may be chosen. A host that is not ready
 * binds only probes: a common request that was in flight at one crash must not wait for a host that has left.
 */
export function bindingHost(
  { verdict, runningAt }: Pick<SuspectState, 'verdict' | 'runningAt'>,
  isReady: (host: string) => boolean,
): string | undefined {
  return runningAt !== undefined && (verdict === 'trial' || isReady(runningAt)) ? runningAt : undefined;
}

/** The targets that a suspect may be sent to now; none if it has to wait. */
export function targetsForSuspect<T extends { host: string }>(
  state: SuspectState,
  candidates: readonly T[],
  unreachable: number,
): readonly T[] {
  const bound = bindingHost(state, (ready) => candidates.some(({ host }) => host === ready));
  if (bound !== undefined) {
    return candidates.filter(({ host }) => host === bound);
  }
  const mayRun = state.verdict !== 'trial' || mayProbe({ ready: candidates.length, unreachable }, state.msSinceUpdate);
  return mayRun ? candidates : [];
}

/**
 * The target of a suspect. Daemons that know the same targets choose the same one without communicating, and different fingerprints are
 * spread over the targets.
 */
export function chooseProbeTarget<T extends { host: string }>(
  fingerprint: string,
  candidates: readonly T[],
  excluded: ReadonlySet<string>,
): T | undefined {
  const [first] = new RendezvousRank(fingerprint).order(candidates.filter(({ host }) => !excluded.has(host)));
  return first;
}
