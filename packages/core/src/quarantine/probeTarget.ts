/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Where, and when, one kind of request is tried. */

import { RendezvousRank } from '../util/rendezvous.js';

/** Time after which a kind is tried also where few targets are left, in milliseconds: those that are down may be so for good. */
const kRecoveryMs = 5_000;

/** Targets of a service, as one daemon knows them. */
export interface ServiceTargets {
  ready: number;
  unreachable: number;
}

/**
 * Whether a trial may cost a service one more target: half of them should be left then. Two kinds that each end three targets within
 * a tenth of a second leave nothing of a service with six.
 *
 * @param msSinceUpdate time since something was last learned of the kind, in milliseconds
 */
export function mayProbe({ ready, unreachable }: ServiceTargets, msSinceUpdate: number): boolean {
  return unreachable === 0 || (ready - 1) * 2 >= ready + unreachable || msSinceUpdate > kRecoveryMs;
}

/**
 * The target where all daemons try a kind: the same for all that know the same targets, without a message; another kind has another one,
 * so that suspects are spread.
 */
export function chooseProbeTarget<T extends { host: string }>(
  fingerprint: string,
  candidates: readonly T[],
  excluded: ReadonlySet<string>,
): T | undefined {
  const [first] = new RendezvousRank(fingerprint).order(candidates.filter(({ host }) => !excluded.has(host)));
  return first;
}
