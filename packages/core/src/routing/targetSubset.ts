/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Selects the targets of a service that one ingress uses. The subset is small and stable, which keeps statistics fresh and links few;
 * rendezvous hashing spreads the ingresses evenly over the targets.
 */

import type { TargetRecord } from '../membership/targetRecord.js';
import type { RendezvousRank } from '../util/rendezvousRank.js';

/**
 * Primary targets besides the one on the local host. With 8 of 20 in a zone of 40 hosts, each target is used by 16 ingresses on average,
 * and by half of them only in one case of a thousand.
 */
const kSubsetSize = 8;
/** Maximum number of targets of a service at which all of them are primary. */
const kMaxAllPrimarySize = 12;

/** Targets of a service, divided for one ingress. */
export interface TargetSubset {
  /** Targets that are compared for each call. */
  primary: readonly TargetRecord[];
  /** Targets to use when the primary ones are full or unreachable: those of the local zone first, then the others, both by rank. */
  fallback: readonly TargetRecord[];
}

/** Divides the candidates of a service for the ingress on `host`, by their rendezvous rank for that host. */
export function subsetFor(host: string, zone: string, candidates: readonly TargetRecord[], rank: RendezvousRank): TargetSubset {
  if (candidates.length <= kMaxAllPrimarySize) {
    return { primary: candidates, fallback: [] };
  }
  const ranked = rank.order(candidates);
  const inZone = ranked.filter((target) => target.zone === zone);
  const ordered = [...inZone, ...ranked.filter((target) => target.zone !== zone)];
  const local = ordered.filter((target) => target.host === host);
  const others = ordered.filter((target) => target.host !== host);
  return { primary: [...local, ...others.slice(0, kSubsetSize)], fallback: others.slice(kSubsetSize) };
}
