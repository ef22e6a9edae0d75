/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Grants tokens of the quota shares that one daemon owns to the daemons where requests enter. Keeps state only for workspaces in use. */

import type { QuotaSettings } from '@gentiandrum/protocol';
import { TokenBucket, type TokenResult } from '../util/tokenBucket.js';
import { shareLimits, type ShareLimits, type QuotaLimits, type QuotaShare } from './quotaShares.js';

/** Idle time after which a bucket is evicted, in windows; it is as full as a new one by then. */
const kIdleWindows = 12;

/** Response of an owner; `not_owner` when this daemon has no share of the quota according to its known hosts. */
export type GrantResult = TokenResult | 'not_owner';

interface OwnedShare {
  bucket: TokenBucket;
  version: number;
  share: QuotaShare;
}

/** The quota shares owned by one daemon. */
export class QuotaOwner {
  private readonly _owned = new Map<string, OwnedShare>();
  private _initialFill: 'nothing' | 'reserve' | 'capacity' = 'nothing';
  private _membersChangedAt: number;
  private _evictedAt: number;

  constructor(
    private readonly _settings: QuotaSettings,
    now: number,
  ) {
    this._membersChangedAt = now;
    this._evictedAt = now;
  }

  /** Number of workspaces with a bucket. */
  get size(): number {
    return this._owned.size;
  }

  /**
   * Fills new buckets with their reserve, which covers one start of all daemons per window. Called when no earlier daemon on this host
   * started within the last window; until then new buckets are empty.
   */
  startWithReserve(): void {
    this._initialFill = 'reserve';
  }

  /** Fills new buckets to their capacity. Called on the initial start of the deployment, when no tokens have been used. */
  startFull(): void {
    this._initialFill = 'capacity';
  }

  /** Records that hosts joined or left: another daemon may have owned the shares of buckets created after this, up to `now`. */
  membersChanged(now: number): void {
    this._membersChangedAt = now;
  }

  /** Takes a token of a workspace's share; `limits` are those of configuration `version`. */
  take(workspace: string, share: QuotaShare | undefined, limits: QuotaLimits, version: number, now: number): GrantResult {
    if (!share) {
      this._owned.delete(workspace);
      return 'not_owner';
    }
    this._evictIdle(now);
    return this._bucketOf(workspace, share, limits, version, now).take(now);
  }

  /** Returns the tokens of requests that did not run. */
  returnTokens(workspace: string, count: number, now: number): void {
    this._owned.get(workspace)?.bucket.returnTokens(count, now);
  }

  private _bucketOf(workspace: string, share: QuotaShare, limits: QuotaLimits, version: number, now: number): TokenBucket {
    const known = this._owned.get(workspace);
    if (known?.version === version && known.share.fraction === share.fraction) {
      return known.bucket;
    }
    const ownLimits = shareLimits(limits, share.fraction, this._settings);
    known?.bucket.setLimits(ownLimits, now);
    const bucket = known?.bucket ?? this._createBucket(ownLimits);
    this._owned.set(workspace, { bucket, version, share });
    return bucket;
  }

  /** Creates a bucket that refills from the last change of hosts, as another daemon may have owned the share before it. */
  private _createBucket(limits: ShareLimits): TokenBucket {
    return new TokenBucket(limits, this._initialTokens(limits), this._membersChangedAt);
  }

  private _initialTokens({ capacity, reserve }: ShareLimits): number {
    switch (this._initialFill) {
      case 'nothing':
        return 0;
      case 'reserve':
        return reserve;
      case 'capacity':
        return capacity;
    }
  }

  private _evictIdle(now: number): void {
    const idleMs = kIdleWindows * this._settings.windowSeconds * 1_000;
    if (now - this._evictedAt < idleMs) {
      return;
    }
    this._evictedAt = now;
    for (const [workspace, { bucket }] of this._owned) {
      if (now - bucket.lastUsedAt > idleMs) {
        this._owned.delete(workspace);
      }
    }
  }
}
