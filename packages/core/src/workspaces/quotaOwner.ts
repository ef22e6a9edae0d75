/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** The parts of quotas that one daemon owns: grants tokens to the daemons where requests enter. State is held for workspaces in use. */

import type { QuotaSettings } from '@gentiandrum/protocol';
import { QuotaBucket, type TokenResult } from './quotaBucket.js';
import { shareLimits, type ShareLimits, type QuotaLimits, type QuotaShare } from './quotaShares.js';

/** Time without use after which a bucket is dropped, in windows; it would be as full as one that begins anew. */
const kIdleWindows = 12;

/** Answer of an owner; `not_owner` when this daemon has no part in the quota, as far as it knows. */
export type GrantResult = TokenResult | 'not_owner';

interface OwnedShare {
  bucket: QuotaBucket;
  version: number;
  share: QuotaShare;
}

/** The owned parts of one daemon. */
export class QuotaOwner {
  private readonly _owned = new Map<string, OwnedShare>();
  private _initialFill: 'nothing' | 'reserve' | 'capacity' = 'nothing';
  private _membersSince: number;
  private _evictedAt: number;

  constructor(
    private readonly _settings: QuotaSettings,
    now: number,
  ) {
    this._membersSince = now;
    this._evictedAt = now;
  }

  /** Workspaces that a bucket is held for. */
  get size(): number {
    return this._owned.size;
  }

  /**
   * The daemon's predecessor on this host did not start within the last window, or there was none: parts begin with their reserve, which
   * is there for one start of all daemons in a window. Until this is known they begin with nothing.
   */
  startWithReserve(): void {
    this._initialFill = 'reserve';
  }

  /** The whole deployment starts for the first time: nobody has used anything yet. */
  startFull(): void {
    this._initialFill = 'capacity';
  }

  /** Hosts joined or left: parts that this daemon has not used since may have been another's until now. */
  membersChanged(now: number): void {
    this._membersSince = now;
  }

  /** Takes a token of a workspace's part; `limits` are those of configuration `version`. */
  take(workspace: string, share: QuotaShare | undefined, limits: QuotaLimits, version: number, now: number): GrantResult {
    if (!share) {
      this._owned.delete(workspace);
      return 'not_owner';
    }
    this._evictIdle(now);
    return this._bucketOf(workspace, share, limits, version, now).take(now);
  }

  /** Takes back tokens of requests that have not run. */
  returnTokens(workspace: string, count: number, now: number): void {
    this._owned.get(workspace)?.bucket.returnTokens(count, now);
  }

  private _bucketOf(workspace: string, share: QuotaShare, limits: QuotaLimits, version: number, now: number): QuotaBucket {
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

  /** Filled since it can have been nobody else's. */
  private _createBucket(limits: ShareLimits): QuotaBucket {
    return new QuotaBucket(limits, this._initialTokens(limits), this._membersSince);
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
