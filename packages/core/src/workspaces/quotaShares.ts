/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Divides the quota of a workspace into shares with one owner each. Every daemon computes the owners from the host records without
 * coordination. The shares never exceed the quota in total, regardless of which daemons are partitioned, paused or down.
 */

import type { QuotaSettings } from '@gentiandrum/protocol';
import { hashPair, hashText } from '../util/hashText.js';

/** Number of owners per workspace and zone: with one owner down, two thirds of the zone's share remain usable. */
const kOwnersPerZone = 3;
/** Maximum number of shares per quota. */
const kMaxShares = 12;
/** Proportions of the slack that go into capacity and reserve. The rest covers hosts that join and leave. */
const kCapacitySlack = 0.45;
const kReserveSlack = 0.45;
/**
 * Part of a window's limit that a share grants at once; also the part of a window for which a new owner has only its reserve. With 0.3, starts
 * refused 0.04 of the requests at the usual load in the first 30 s.
 */
const kBurstShare = 0.15;
/** Tolerance for sums of fractions that should be whole. */
const kRoundingError = 1e-6;
/** Proportion of the overage that goes into the reserve. */
const kReserveOverage = 0.5;

/** A host that can own shares. */
export interface QuotaHost {
  host: string;
  zone: string;
}

/** A host with the hash of its name, computed once for all workspaces. */
export interface HashedHost extends QuotaHost {
  hash: number;
}

/** Quota of a workspace; `burst` is in requests. */
export interface QuotaLimits {
  ratePerSecond: number;
  burst: number;
}

/** A share of a quota; `host` is its owner. */
export interface QuotaShare {
  host: string;
  zone: string;
  /** Fraction of the quota, above 0 and at most 1. */
  fraction: number;
  /** Sum of the fractions of the shares before it; 0 where absent. */
  offset?: number;
}

/** Limits of one share that is counted over a sliding window, in requests. */
export interface WindowLimits {
  perWindow: number;
  /** Grants at once; at least the capacity of a bucket for the same share. */
  burst: number;
  /** Grants in the first window of a share that starts with its reserve. */
  reserve: number;
}

/** Limits of one share, in requests. */
export interface ShareLimits {
  ratePerSecond: number;
  capacity: number;
  /** Initial tokens of a bucket that starts with its reserve. */
  reserve: number;
}

/** Limits of a share with the given fraction. Their total over all shares leaves a margin for hosts that join and leave. */
export function shareLimits({ ratePerSecond, burst }: QuotaLimits, fraction: number, settings: QuotaSettings): ShareLimits {
  const perWindow = ratePerSecond * settings.windowSeconds + burst;
  const capacity = fraction * (burst + kCapacitySlack * settings.slack);
  const reserve = fraction * (kReserveSlack * settings.slack + kReserveOverage * settings.overage * perWindow);
  return { ratePerSecond: ratePerSecond * fraction, capacity, reserve: Math.min(capacity, reserve) };
}

/**
 * Limits of a share counted over a sliding window, with the same total as {@link shareLimits} grants in a window. They are whole numbers
 * whose sum over all shares is that of the total, as a count does not accumulate fractions like a bucket.
 */
export function windowLimits({ ratePerSecond, burst }: QuotaLimits, share: QuotaShare, settings: QuotaSettings): WindowLimits {
  const total = ratePerSecond * settings.windowSeconds + burst;
  const perWindow = wholePart(total + kCapacitySlack * settings.slack, share);
  return {
    perWindow,
    burst: Math.max(1, kBurstShare * perWindow, share.fraction * (burst + kCapacitySlack * settings.slack)),
    reserve: wholePart(kReserveSlack * settings.slack + kReserveOverage * settings.overage * total, share),
  };
}

function wholePart(total: number, { fraction, offset = 0 }: QuotaShare): number {
  return Math.floor(total * (offset + fraction) + kRoundingError) - Math.floor(total * offset + kRoundingError);
}

/** Divides a workspace's quota over the known hosts by rendezvous hashing. */
export function divideQuota(workspace: string, hosts: readonly HashedHost[], limits: QuotaLimits, settings: QuotaSettings): QuotaShare[] {
  const ranked = rankHosts(workspace, hosts);
  const zones = new Map<string, QuotaHost[]>();
  for (const host of ranked) {
    const zone = zones.get(host.zone);
    if (zone) {
      zone.push(host);
    } else {
      zones.set(host.zone, [host]);
    }
  }
  const shareCount = maxShares(limits, settings);
  if (shareCount < zones.size) {
    return equalShares(ranked.slice(0, shareCount));
  }
  const sharesPerZone = Math.min(kOwnersPerZone, Math.floor(shareCount / zones.size));
  const shares = [...zones.values()].flatMap((members) => {
    const owners = members.slice(0, sharesPerZone);
    return owners.map(({ host, zone }) => ({ host, zone, fraction: members.length / hosts.length / owners.length }));
  });
  return withOffsets(shares);
}

/** Ranks hosts by descending weight. The result is not cached, as it would need memory for every pair of host and workspace. */
function rankHosts(workspace: string, hosts: readonly HashedHost[]): QuotaHost[] {
  const hash = hashText(workspace);
  const weighted = hosts.map((host) => ({ host, weight: hashPair(hash, host.hash) }));
  return weighted.sort((a, b) => b.weight - a.weight).map(({ host }) => host);
}

export function hashHosts(hosts: readonly QuotaHost[]): HashedHost[] {
  return hosts.map(({ host, zone }) => ({ host, zone, hash: hashText(host) }));
}

/** Maximum number of shares such that the capacity of each holds at least one request. */
function maxShares({ burst }: QuotaLimits, { slack }: QuotaSettings): number {
  return Math.max(1, Math.min(kMaxShares, Math.floor(burst + kCapacitySlack * slack)));
}

function equalShares(owners: readonly QuotaHost[]): QuotaShare[] {
  return withOffsets(owners.map(({ host, zone }) => ({ host, zone, fraction: 1 / owners.length })));
}

function withOffsets(shares: readonly QuotaShare[]): QuotaShare[] {
  let offset = 0;
  return shares.map((share) => {
    const placed = { ...share, offset };
    offset += share.fraction;
    return placed;
  });
}
