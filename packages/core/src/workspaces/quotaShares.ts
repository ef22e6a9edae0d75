/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Divides the quota of a workspace into parts with one owner each. Every daemon works the owners out by itself from the hosts' records,
 * so nothing has to be agreed on, and the parts sum to no more than the whole whoever is cut off, frozen or dead.
 */

import type { QuotaSettings } from '@gentiandrum/protocol';
import { hashPair, hashText } from '../util/hashText.js';

/** Owners of a workspace in one zone: with one owner lost, two thirds of the zone's part stay of use. */
const kOwnersPerZone = 3;
/** Most parts in all: each should hold more than one whole request of the smallest workspaces. */
const kMaxShares = 12;
/** Shares of the slack that the parts' capacity takes, and what parts begin with. The rest is for hosts that join and leave. */
const kCapacitySlack = 0.45;
const kReserveSlack = 0.45;
/** Share of the overage that parts begin with. */
const kReserveOverage = 0.5;

/** A host that can own parts. */
export interface QuotaHost {
  host: string;
  zone: string;
}

/** The same, with the hash of its name: worked out once for all workspaces. */
export interface HashedHost extends QuotaHost {
  hash: number;
}

/** Limits of a workspace. */
export interface QuotaLimits {
  ratePerSecond: number;
  burst: number;
}

/** One part of a quota. */
export interface QuotaShare {
  host: string;
  zone: string;
  /** Share of the whole. */
  fraction: number;
}

/** Limits of one part, in requests. */
export interface ShareLimits {
  ratePerSecond: number;
  capacity: number;
  /** What it begins with. */
  reserve: number;
}

/** Limits of a part with a share of the whole; their sum over all parts is the bound less what is kept for joins and leavings. */
export function shareLimits({ ratePerSecond, burst }: QuotaLimits, fraction: number, settings: QuotaSettings): ShareLimits {
  const perWindow = ratePerSecond * settings.windowSeconds + burst;
  const capacity = fraction * (burst + kCapacitySlack * settings.slack);
  const reserve = fraction * (kReserveSlack * settings.slack + kReserveOverage * settings.overage * perWindow);
  return { ratePerSecond: ratePerSecond * fraction, capacity, reserve: Math.min(capacity, reserve) };
}

/** The parts of a workspace's quota, by rendezvous over the hosts known, in the order of their owners' rank. */
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
  return [...zones.values()].flatMap((members) => {
    const owners = members.slice(0, sharesPerZone);
    return owners.map(({ host, zone }) => ({ host, zone, fraction: members.length / hosts.length / owners.length }));
  });
}

/** By falling weight. Nothing of it is held: weights of 490 hosts for 5,000 workspaces would take more memory than a daemon has. */
function rankHosts(workspace: string, hosts: readonly HashedHost[]): QuotaHost[] {
  const hash = hashText(workspace);
  const weighted = hosts.map((host) => ({ host, weight: hashPair(hash, host.hash) }));
  return weighted.sort((a, b) => b.weight - a.weight).map(({ host }) => host);
}

/** Hosts with the hashes of their names. */
export function hashHosts(hosts: readonly QuotaHost[]): HashedHost[] {
  return hosts.map(({ host, zone }) => ({ host, zone, hash: hashText(host) }));
}

/** Each part should hold a whole request. */
function maxShares({ burst }: QuotaLimits, { slack }: QuotaSettings): number {
  return Math.max(1, Math.min(kMaxShares, Math.floor(burst + kCapacitySlack * slack)));
}

function equalShares(owners: readonly QuotaHost[]): QuotaShare[] {
  return owners.map(({ host, zone }) => ({ host, zone, fraction: 1 / owners.length }));
}
