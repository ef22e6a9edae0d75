/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Which targets of a service one ingress uses by itself. Few and stable, so that it has fresh evidence of each and keeps few links;
 * ranked by rendezvous hashing, so that each target is used by about as many ingresses as any other.
 */

import type { TargetRecord } from '../membership/targetRecord.js';
import type { RendezvousRank } from '../util/rendezvous.js';

/**
 * Targets that are compared for each call: with 8 of 20 in a zone of 40 hosts a target is used by 16 ingresses, and loses half of
 * them only by a chance of one in a thousand.
 */
const kSubsetSize = 8;
/** Services up to this size are used whole: to compare a dozen targets takes no more than to hand on the call. */
const kMaxWholeSize = 12;

/** The targets of a service as one ingress uses them. */
export interface TargetSubset {
  /** Compared for each call. */
  primary: readonly TargetRecord[];
  /** The others, taken when the usual ones are full or can't be reached: own zone first, each by rank. */
  fallback: readonly TargetRecord[];
}

/** Divides the candidates of a service for the ingress on a host, by the rank that they have for that host. */
export function subsetFor(host: string, zone: string, candidates: readonly TargetRecord[], rank: RendezvousRank): TargetSubset {
  if (candidates.length <= kMaxWholeSize) {
    return { primary: candidates, fallback: [] };
  }
  const ranked = rank.order(candidates);
  const inZone = ranked.filter((target) => target.zone === zone);
  const ordered = [...inZone, ...ranked.filter((target) => target.zone !== zone)];
  const local = ordered.filter((target) => target.host === host);
  const others = ordered.filter((target) => target.host !== host);
  return { primary: [...local, ...others.slice(0, kSubsetSize)], fallback: others.slice(kSubsetSize) };
}
