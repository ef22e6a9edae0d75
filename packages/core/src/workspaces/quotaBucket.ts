/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Token bucket for one share of a quota: refilled at its rate up to its capacity; each request takes one token. */

import type { ShareLimits } from './quotaShares.js';

const kMsPerSecond = 1_000;
/** Share of the capacity up to which future tokens are promised to refused clients. */
const kPromisedShare = 0.5;
/** Maximum retry delay sent to a refused client, in milliseconds. */
const kMaxWaitMs = 60_000;

/** Result of a request for a token: granted, or the time until the client should retry. */
export type TokenResult = { granted: true } | { granted: false; waitMs: number };

/** Token bucket. Times are in milliseconds of the monotonic clock. */
export class QuotaBucket {
  private _tokens: number;
  /** Time of the token that was promised to the last refused client. */
  private _promisedAt = -Infinity;

  /** @param start initial number of tokens */
  constructor(
    private _limits: ShareLimits,
    start: number,
    private _refilledAt: number,
  ) {
    this._tokens = Math.min(start, _limits.capacity);
  }

  /** Time of the last operation on the bucket. */
  get lastUsedAt(): number {
    return this._refilledAt;
  }

  /** Applies new limits at once; tokens above a lower capacity are lost. */
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

  /** Returns the tokens of requests that did not run, up to the capacity. */
  returnTokens(count: number, now: number): void {
    this._refill(now);
    this._tokens = Math.min(this._limits.capacity, this._tokens + count);
  }

  /**
   * Promises each refused client the next free token, so that clients of a workspace far above its quota do not all retry for the same one.
   * Promises reach at most half of the time to fill the bucket into the future; beyond that, tokens could remain unused.
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
