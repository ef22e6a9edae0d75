/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Decides on which target, and when, a fingerprint is probed. */

import { RendezvousRank } from '../util/rendezvousRank.js';

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

/**
 * The target that probes a fingerprint. Daemons that know the same targets choose the same one without communicating, and different
 * fingerprints are spread over the targets.
 */
export function chooseProbeTarget<T extends { host: string }>(
  fingerprint: string,
  candidates: readonly T[],
  excluded: ReadonlySet<string>,
): T | undefined {
  const [first] = new RendezvousRank(fingerprint).order(candidates.filter(({ host }) => !excluded.has(host)));
  return first;
}
