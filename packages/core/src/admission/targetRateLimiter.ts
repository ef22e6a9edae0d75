/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Enforces the rate limit that a target states in its responses: a token bucket, from which each request to the target takes a token. All
 * requests to a target pass the gate on its host, so one limiter is exact.
 */

import { TokenBucket, type BucketLimits } from '../util/tokenBucket.js';
import { RateLoad } from './rateLoad.js';

const kMsPerSecond = 1_000;
/** Burst: one request, plus those of this time, in seconds. It lets calls that arrive together use what was left before. */
const kBurstSeconds = 0.25;
/** Lowest enforced rate, in requests per second. Without any request, a target could not state that its limit has ended. */
const kMinRatePerSecond = 0.1;
/** Time in which the enforced rate doubles after the target stops stating a limit, in milliseconds. */
const kRampDoublingMs = 250;
/** Rate at which the increase starts at least, in requests per second. */
const kMinRampRatePerSecond = 1;
/** Time after which the increase ends and no limit is enforced, in milliseconds. */
const kRampMs = 3_000;

/** What a target has stated: a limit, in requests per second, since a time on the monotonic clock. */
interface Statement {
  ratePerSecond: number;
  statedAt: number;
  /** Time at which the target stopped stating it; the enforced rate increases from then on. */
  endedAt?: number;
}

/** Rate limiter of one target. Times are in milliseconds of the monotonic clock. */
export class TargetRateLimiter {
  private _statement: Statement | undefined;
  private _bucket = new TokenBucket(limitsOf(kMinRatePerSecond), 0, 0);
  private _load = new RateLoad();

  /** Limit that the target states, in requests per second; undefined while it states none. */
  get statedRate(): number | undefined {
    return this._statement?.endedAt === undefined ? this._statement?.ratePerSecond : undefined;
  }

  /** Whether a limit is enforced. */
  get active(): boolean {
    return this._statement !== undefined;
  }

  /** Enforces the limit that the target stated at `now`. */
  state(ratePerSecond: number, now: number): void {
    if (this._statement) {
      this._bucket.setLimits(limitsOf(ratePerSecond), now);
    } else {
      this._bucket = new TokenBucket(limitsOf(ratePerSecond), 0, now);
      this._load = new RateLoad();
    }
    this._statement = { ratePerSecond, statedAt: now };
  }

  /**
   * Records a response without a limit to a request that was sent at `sentAt`; returns whether it ends the limit. Responses on different
   * connections may overtake each other, so only a request sent after the latest statement shows that the target has changed.
   */
  recordUnlimited(sentAt: number, now: number): boolean {
    const statement = this._statement;
    if (!statement || statement.endedAt !== undefined || sentAt <= statement.statedAt) {
      return false;
    }
    statement.endedAt = now;
    return true;
  }

  /** Enforces no limit, because another incarnation of the target has started. */
  reset(): void {
    this._statement = undefined;
  }

  /** Records the arrival of a call, including one that is refused. */
  recordArrival(now: number): void {
    const rate = this._update(now);
    if (rate !== undefined) {
      this._load.add(rate, now);
    }
  }

  /** Takes the token of one request; false when it may not be sent yet. */
  tryTake(now: number): boolean {
    return this._update(now) === undefined || this._bucket.tryTake(now);
  }

  /** Returns the token of a request that was not sent. */
  returnToken(now: number): void {
    if (this._update(now) !== undefined) {
      this._bucket.returnTokens(1, now);
    }
  }

  /** Time until `count` more requests may have been sent, in milliseconds. */
  msUntil(count: number, now: number): number {
    return this._update(now) === undefined ? 0 : this._bucket.msUntil(count, now);
  }

  /** Time after which a refused caller should retry, in milliseconds; differs between callers, so that they do not all retry at once. */
  retryAfterMs(now: number): number {
    return this._update(now) === undefined ? 0 : this._bucket.promiseMs(now);
  }

  /** Interval between requests at the enforced rate, in milliseconds; 0 without a limit. */
  intervalMs(now: number): number {
    const rate = this._update(now);
    return rate === undefined ? 0 : kMsPerSecond / rate;
  }

  /** Arrivals relative to the enforced rate; 0 without a limit. */
  loadAt(now: number): number {
    return this._update(now) === undefined ? 0 : this._load.valueAt(now);
  }

  /** Number of requests that may be sent now; undefined without a limit. */
  tokens(now: number): number | undefined {
    return this._update(now) === undefined ? undefined : this._bucket.tokens(now);
  }

  /** Returns the enforced rate, in requests per second; undefined without a limit. */
  private _update(now: number): number | undefined {
    const statement = this._statement;
    if (statement?.endedAt === undefined) {
      return statement && enforcedRate(statement.ratePerSecond);
    }
    const rampedMs = now - statement.endedAt;
    if (rampedMs >= kRampMs) {
      this._statement = undefined;
      return undefined;
    }
    const rate = Math.max(kMinRampRatePerSecond, statement.ratePerSecond) * 2 ** (rampedMs / kRampDoublingMs);
    this._bucket.setLimits(limitsOf(rate), now);
    return rate;
  }
}

function enforcedRate(ratePerSecond: number): number {
  return Math.max(kMinRatePerSecond, ratePerSecond);
}

function limitsOf(ratePerSecond: number): BucketLimits {
  const enforced = enforcedRate(ratePerSecond);
  return { ratePerSecond: enforced, capacity: 1 + enforced * kBurstSeconds };
}
