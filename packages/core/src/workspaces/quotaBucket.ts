/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Bucket of one part of a quota: filled at its rate up to its capacity, a whole token for each request. */

import type { ShareLimits } from './quotaShares.js';

const kMsPerSecond = 1_000;
/** Share of the capacity up to which future tokens are named to refused askers. */
const kPromisedShare = 0.5;
/** Longest wait that a bucket without a rate names, in milliseconds. */
const kMaxWaitMs = 60_000;

/** Answer to a request for a token: granted, or when there will be one. */
export type TokenResult = { granted: true } | { granted: false; waitMs: number };

/** One bucket. Times are on the monotonic clock, in milliseconds. */
export class QuotaBucket {
  private _tokens: number;
  /** When the token comes that was named to the last refused asker. */
  private _promisedAt = -Infinity;

  /** @param start tokens to begin with */
  constructor(
    private _limits: ShareLimits,
    start: number,
    private _refilledAt: number,
  ) {
    this._tokens = Math.min(start, _limits.capacity);
  }

  /** When it was last used. */
  get lastUsedAt(): number {
    return this._refilledAt;
  }

  /** Follows new limits at once: what is above a lower capacity is gone. */
  setLimits(limits: ShareLimits, now: number): void {
    this._refill(now);
    this._limits = limits;
    this._tokens = Math.min(this._tokens, limits.capacity);
  }

  /** Takes one token. */
  take(now: number): TokenResult {
    this._refill(now);
    if (this._tokens >= 1) {
      this._tokens--;
      return { granted: true };
    }
    return { granted: false, waitMs: this._nextWaitMs(now) };
  }

  /** Takes back tokens of requests that have not run. */
  returnTokens(count: number, now: number): void {
    this._refill(now);
    this._tokens = Math.min(this._limits.capacity, this._tokens + count);
  }

  /**
   * Each refused asker is told the next free token, so that those of a workspace far beyond its quota don't all ask again for the same
   * one: 1.5 questions a request in place of 6.7 at 7.5 times the usual (`tests/workspaces`). Never for longer than half the bucket
   * takes to fill, or tokens would be lost.
   */
  private _nextWaitMs(now: number): number {
    const { ratePerSecond, capacity } = this._limits;
    if (ratePerSecond <= 0) {
      return kMaxWaitMs;
    }
    const tokenMs = kMsPerSecond / ratePerSecond;
    const firstAt = now + (1 - this._tokens) * tokenMs;
    const latestAt = Math.max(firstAt, now + kPromisedShare * capacity * tokenMs);
    this._promisedAt = Math.min(latestAt, Math.max(firstAt, this._promisedAt + tokenMs));
    return Math.min(kMaxWaitMs, this._promisedAt - now);
  }

  private _refill(now: number): void {
    const refill = (this._limits.ratePerSecond * Math.max(0, now - this._refilledAt)) / kMsPerSecond;
    this._tokens = Math.min(this._limits.capacity, this._tokens + refill);
    this._refilledAt = now;
  }
}
