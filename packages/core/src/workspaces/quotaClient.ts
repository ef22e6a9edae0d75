/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Takes quota tokens for the requests that enter on one daemon. Queries the owners of a quota's shares one after the other, those of the
 * local zone first, and skips owners that are known to be out of tokens or that did not respond.
 */

import type { QuotaSettings } from '@gentiandrum/protocol';
import { hashText } from '../util/hashText.js';
import type { GrantResult } from './quotaOwner.js';
import { divideQuota, type HashedHost, type QuotaHost, type QuotaLimits, type QuotaShare, hashHosts } from './quotaShares.js';

/** Time for which an owner that did not respond is skipped, in milliseconds; about the time to detect a lost link. */
const kExclusionMs = 1_000;
/** Number of unresponsive owners after which a request queries no further ones. */
const kMaxUnanswered = 2;
/** Time until a host that did not consider itself an owner is queried again, in milliseconds; host records propagate in that time. */
const kNotOwnerRetryMs = 200;
/** Minimum retry delay for callers, in milliseconds. */
const kMinRetryMs = 10;
/** Number of cached divisions at which the cache is cleared. */
const kMaxDivisions = 2_000;
/** Retry delay for callers while owners cannot be queried, in milliseconds. */
const kUnknownRetryMs = 300;

/** A request for a token to the owner of a share. */
export interface TokenRequest {
  workspace: string;
  share: QuotaShare;
}

export type TokenResponse = GrantResult | 'no_answer';

/** Result of taking a token. The token is returned to the owner of `share` when the request does not run. */
export type QuotaResult =
  | { kind: 'granted'; share: QuotaShare }
  | { kind: 'over_quota'; retryAfterMs: number }
  /** An owner could not be queried, so it is unknown whether the quota is exhausted. */
  | { kind: 'quota_unknown'; retryAfterMs: number };

/** Hosts that share quotas; `revision` changes whenever they do. */
export interface QuotaMembers {
  readonly revision: number;
  hosts(): readonly QuotaHost[];
}

interface QuotaDivision {
  burst: number;
  /** Shares in the order in which their owners are queried. */
  order: readonly QuotaShare[];
  /** Times at which owners without a token will have one again, by host. */
  emptyUntil: Map<string, number>;
}

/** Quota client of one daemon. Times are in milliseconds of the monotonic clock. */
export class QuotaClient {
  private readonly _divisions = new Map<string, QuotaDivision>();
  private _revision = -1;
  private _hosts: readonly HashedHost[] = [];
  private readonly _excludedUntil = new Map<string, number>();
  /** Offset at which this daemon starts among the owners, so that all owners get a similar load. */
  private readonly _rotation: number;

  constructor(
    private readonly _self: QuotaHost,
    private readonly _members: QuotaMembers,
    private readonly _settings: QuotaSettings,
    private readonly _now: () => number,
  ) {
    this._rotation = hashText(_self.host);
  }

  /** The share of a workspace's quota that a host owns; undefined when it owns none. */
  shareOf(workspace: string, limits: QuotaLimits, host: string): QuotaShare | undefined {
    return this._divide(workspace, limits).order.find((share) => share.host === host);
  }

  /** Takes one token. The caller sends each yielded request and resumes the generator with the response. */
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

  /** Records whether a host is reachable. */
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

  /** Clears the cache when the hosts changed or it is full, so that it holds workspaces in use. */
  private _evictStale(): void {
    if (this._revision !== this._members.revision || this._divisions.size >= kMaxDivisions) {
      this._revision = this._members.revision;
      this._hosts = hashHosts(this._members.hosts());
      this._divisions.clear();
    }
  }

  /** Orders shares: the local one first, as it needs no message, then those of the local zone, then others. */
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
