/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Grants tokens of the quota shares that one daemon owns to the daemons where requests enter. Keeps state only for workspaces in use. */

import type { QuotaSettings } from '@gentiandrum/protocol';
import { TokenBucket, type TokenResult } from '../util/tokenBucket.js';
import { type QuotaLimits, type QuotaShare, shareLimits, windowLimits } from './quotaShares.js';
import { SlidingWindow } from './slidingWindow.js';

const kMsPerSecond = 1_000;
/** Idle time after which a bucket is evicted, in windows; it is as full as a new one by then. */
const kIdleWindows = 12;

/** Response of an owner; `not_owner` when this daemon has no share of the quota according to its known hosts. */
export type GrantResult = TokenResult | 'not_owner';

/** How an owner counts what it grants: a bucket that refills at the rate, or the grants of the last window. */
export type QuotaCounting = 'bucket' | 'window';

interface OwnedShare {
  counter: TokenBucket | SlidingWindow;
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
    private readonly _counting: QuotaCounting = 'bucket',
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
    return this._counterOf(workspace, share, limits, version, now).take(now);
  }

  /** Returns the tokens of requests that did not run; `ageMs` is the time since the earliest request of them, if known. */
  returnTokens(workspace: string, count: number, now: number, ageMs?: number): void {
    const counter = this._owned.get(workspace)?.counter;
    if (counter instanceof SlidingWindow) {
      counter.returnTokens(count, now, ageMs);
    } else {
      counter?.returnTokens(count, now);
    }
  }

  private _counterOf(workspace: string, share: QuotaShare, limits: QuotaLimits, version: number, now: number): TokenBucket | SlidingWindow {
    const known = this._owned.get(workspace);
    if (known?.version === version && known.share.fraction === share.fraction && known.share.offset === share.offset) {
      return known.counter;
    }
    const counter = known?.counter ?? this._createCounter(limits, share, now);
    if (known) {
      this._setLimits(known.counter, limits, share, now);
    }
    this._owned.set(workspace, { counter, version, share });
    return counter;
  }

  private _setLimits(counter: TokenBucket | SlidingWindow, limits: QuotaLimits, share: QuotaShare, now: number): void {
    if (counter instanceof TokenBucket) {
      counter.setLimits(shareLimits(limits, share.fraction, this._settings), now);
    } else {
      counter.setLimits(windowLimits(limits, share, this._settings), now);
    }
  }

  /** Creates a counter that starts at the last change of hosts, as another daemon may have owned the share before it. */
  private _createCounter(limits: QuotaLimits, share: QuotaShare, now: number): TokenBucket | SlidingWindow {
    switch (this._counting) {
      case 'bucket': {
        const { ratePerSecond, capacity, reserve } = shareLimits(limits, share.fraction, this._settings);
        return new TokenBucket({ ratePerSecond, capacity }, this._initialTokens(capacity, reserve), this._membersChangedAt);
      }
      case 'window': {
        const ownLimits = windowLimits(limits, share, this._settings);
        const { perWindow, reserve } = ownLimits;
        const assumed = { count: perWindow, reserve: this._initialTokens(perWindow, reserve), at: this._membersChangedAt };
        return new SlidingWindow(this._settings.windowSeconds * kMsPerSecond, ownLimits, assumed, now);
      }
    }
  }

  private _initialTokens(full: number, reserve: number): number {
    switch (this._initialFill) {
      case 'nothing':
        return 0;
      case 'reserve':
        return Math.min(full, reserve);
      case 'capacity':
        return full;
    }
  }

  private _evictIdle(now: number): void {
    const idleMs = kIdleWindows * this._settings.windowSeconds * 1_000;
    if (now - this._evictedAt < idleMs) {
      return;
    }
    this._evictedAt = now;
    for (const [workspace, { counter }] of this._owned) {
      if (now - counter.lastUsedAt > idleMs) {
        this._owned.delete(workspace);
      }
    }
  }
}
