/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Takes tokens of workspaces' quotas for the requests that enter at one daemon: asks the owners of the parts one after the other, those of
 * the own zone first, and leaves out those that said when they will have one, or that did not answer.
 */

import type { QuotaSettings } from '@gentiandrum/protocol';
import { hashText } from '../util/hashText.js';
import type { GrantResult } from './quotaOwner.js';
import { divideQuota, type HashedHost, type QuotaHost, type QuotaLimits, type QuotaShare, hashHosts } from './quotaShares.js';

/** Time for which an owner that did not answer is left out, in milliseconds: as long as a lost link takes to be noticed. */
const kExclusionMs = 1_000;
/** Owners without an answer that one request waits for. */
const kMaxUnanswered = 2;
/** Time after which an owner that knows of no part of its own is asked again, in milliseconds: records get around in that time. */
const kNotOwnerRetryMs = 200;
/** Shortest time after which a caller may come back, in milliseconds: a whole one of those that headers tell, and some. */
const kMinRetryMs = 10;
/** Workspaces whose division is held; beyond them all begin anew, at 0.2 ms each with 490 hosts. */
const kMaxDivisions = 2_000;
/** Time after which a caller may come back when owners could not be asked, in milliseconds. */
const kUnknownRetryMs = 300;

/** One question to the owner of a part. */
export interface TokenRequest {
  workspace: string;
  share: QuotaShare;
}

/** How an owner answered. */
export type TokenResponse = GrantResult | 'no_answer';

/** What became of a request's token. `part` is where it goes back to when the request does not run. */
export type QuotaResult =
  | { kind: 'granted'; share: QuotaShare }
  | { kind: 'over_quota'; retryAfterMs: number }
  /** Some owner could not be asked, so it isn't known whether the quota is used up. */
  | { kind: 'quota_unknown'; retryAfterMs: number };

/** Hosts that quotas are divided over, and a number that changes with them. */
export interface QuotaMembers {
  readonly revision: number;
  hosts(): readonly QuotaHost[];
}

interface QuotaDivision {
  burst: number;
  /** In the order in which they are asked. */
  order: readonly QuotaShare[];
  /** When owners without a token will have one again, by host. */
  emptyUntil: Map<string, number>;
}

/** Asker of one daemon. Times are on the monotonic clock, in milliseconds. */
export class QuotaClient {
  private readonly _divisions = new Map<string, QuotaDivision>();
  private _revision = -1;
  private _hosts: readonly HashedHost[] = [];
  private readonly _excludedUntil = new Map<string, number>();
  /** Where this daemon begins among the owners of its zone, so that they get equal shares of the demand. */
  private readonly _rotation: number;

  constructor(
    private readonly _self: QuotaHost,
    private readonly _members: QuotaMembers,
    private readonly _settings: QuotaSettings,
    private readonly _now: () => number,
  ) {
    this._rotation = hashText(_self.host);
  }

  /** The part of a workspace's quota that a host owns. */
  shareOf(workspace: string, limits: QuotaLimits, host: string): QuotaShare | undefined {
    return this._divide(workspace, limits).order.find((share) => share.host === host);
  }

  /** Takes one token; driven with the owners' answers. */
  *take(workspace: string, limits: QuotaLimits): Generator<TokenRequest, QuotaResult, TokenResponse> {
    const { order, emptyUntil } = this._divide(workspace, limits);
    let unanswered = 0;
    for (const share of order) {
      const now = this._now();
      const excluded = (this._excludedUntil.get(share.host) ?? 0) > now;
      if (excluded || unanswered >= kMaxUnanswered) {
        unanswered++;
        continue;
      }
      if ((emptyUntil.get(share.host) ?? 0) > now) {
        continue;
      }
      const response = yield { workspace, share };
      if (response === 'no_answer') {
        unanswered++;
        this._excludedUntil.set(share.host, this._now() + kExclusionMs);
      } else if (response === 'not_owner') {
        emptyUntil.set(share.host, this._now() + kNotOwnerRetryMs);
      } else if (response.granted) {
        return { kind: 'granted', share };
      } else {
        emptyUntil.set(share.host, this._now() + response.waitMs);
      }
    }
    const retryAfterMs = this._nextTokenMs(order, emptyUntil);
    return unanswered > 0
      ? { kind: 'quota_unknown', retryAfterMs: Math.min(kUnknownRetryMs, retryAfterMs) }
      : { kind: 'over_quota', retryAfterMs };
  }

  /** An owner can be reached again, or can't. */
  setReachable(host: string, reachable: boolean): void {
    if (reachable) {
      this._excludedUntil.delete(host);
    } else {
      this._excludedUntil.set(host, this._now() + kExclusionMs);
    }
  }

  private _nextTokenMs(order: readonly QuotaShare[], emptyUntil: ReadonlyMap<string, number>): number {
    const now = this._now();
    const waits = order.map(({ host }) => (emptyUntil.get(host) ?? Infinity) - now).filter((wait) => wait > 0 && wait < Infinity);
    return waits.length > 0 ? Math.max(kMinRetryMs, Math.min(...waits)) : kUnknownRetryMs;
  }

  private _divide(workspace: string, limits: QuotaLimits): QuotaDivision {
    this._evictStale();
    const known = this._divisions.get(workspace);
    if (known?.burst === limits.burst) {
      return known;
    }
    const shares = divideQuota(workspace, this._hosts, limits, this._settings);
    const division: QuotaDivision = { burst: limits.burst, order: this._order(shares), emptyUntil: new Map() };
    this._divisions.set(workspace, division);
    return division;
  }

  /** State is held for workspaces in use. */
  private _evictStale(): void {
    if (this._revision !== this._members.revision || this._divisions.size >= kMaxDivisions) {
      this._revision = this._members.revision;
      this._hosts = hashHosts(this._members.hosts());
      this._divisions.clear();
    }
  }

  /** The own part first, as it needs no message, then those of the zone, then others. */
  private _order(shares: readonly QuotaShare[]): QuotaShare[] {
    const sameZone = shares.filter(({ zone }) => zone === this._self.zone);
    const otherZones = shares.filter(({ zone }) => zone !== this._self.zone);
    const rotated = [...rotate(sameZone, this._rotation), ...rotate(otherZones, this._rotation)];
    return rotated.sort((a, b) => Number(b.host === this._self.host) - Number(a.host === this._self.host));
  }
}

function rotate<T>(items: readonly T[], by: number): T[] {
  const from = items.length > 0 ? by % items.length : 0;
  return [...items.slice(from), ...items.slice(0, from)];
}
