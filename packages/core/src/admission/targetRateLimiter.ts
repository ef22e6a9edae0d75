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

/** A limit that a target has stated, in requests per second, and its state. */
interface StatedLimit {
  ratePerSecond: number;
  /** Time of the latest response that stated it. */
  statedAt: number;
  /** Time of the response that ended it, from which the enforced rate increases; undefined before. */
  endedAt: number | undefined;
  bucket: TokenBucket;
  load: RateLoad;
}

/** Rate limiter of one target. Times are in milliseconds of the monotonic clock. */
export class TargetRateLimiter {
  private _limit: StatedLimit | undefined;

  /** Limit that the target states, in requests per second; undefined while it states none. */
  get statedRate(): number | undefined {
    return this._limit?.endedAt === undefined ? this._limit?.ratePerSecond : undefined;
  }

  /** Whether a limit is enforced. */
  get active(): boolean {
    return this._limit !== undefined;
  }

  /** Enforces the limit that the target stated at `now`. */
  state(ratePerSecond: number, now: number): void {
    const bucketLimits = bucketLimitsOf(ratePerSecond);
    const { bucket, load } = this._limit ?? { bucket: new TokenBucket(bucketLimits, 0, now), load: new RateLoad() };
    bucket.setLimits(bucketLimits, now);
    this._limit = { ratePerSecond, statedAt: now, endedAt: undefined, bucket, load };
  }

  /**
   * Records a response without a limit to a request that was sent at `sentAt`; returns whether it ends the limit. Responses on different
   * connections may overtake each other, so only a request sent after the latest statement shows that the target has changed.
   */
  recordUnlimited(sentAt: number, now: number): boolean {
    const limit = this._limit;
    if (!limit || limit.endedAt !== undefined || sentAt <= limit.statedAt) {
      return false;
    }
    limit.endedAt = now;
    return true;
  }

  /** Enforces no limit, because another incarnation of the target has started. */
  reset(): void {
    this._limit = undefined;
  }

  /** Records the arrival of a call, including one that is refused. */
  recordArrival(now: number): void {
    const limit = this._update(now);
    limit?.load.add(enforcedRate(limit, now), now);
  }

  /** Takes the token of one request; false when it may not be sent yet. */
  tryTake(now: number): boolean {
    return this._update(now)?.bucket.tryTake(now) ?? true;
  }

  /** Returns the token of a request that was not sent. */
  returnToken(now: number): void {
    this._update(now)?.bucket.returnTokens(1, now);
  }

  /** Time until `count` more requests may have been sent, in milliseconds. */
  msUntil(count: number, now: number): number {
    return this._update(now)?.bucket.msUntil(count, now) ?? 0;
  }

  /** Time after which a refused caller should retry, in milliseconds; differs between callers, so that they do not all retry at once. */
  retryAfterMs(now: number): number {
    return this._update(now)?.bucket.promiseMs(now) ?? 0;
  }

  /** Interval between requests at the enforced rate, in milliseconds; 0 without a limit. */
  intervalMs(now: number): number {
    const limit = this._update(now);
    return limit ? kMsPerSecond / enforcedRate(limit, now) : 0;
  }

  /** Arrivals relative to the enforced rate; undefined without a limit. */
  loadAt(now: number): number | undefined {
    return this._update(now)?.load.valueAt(now);
  }

  /** Number of requests that may be sent now; undefined without a limit. */
  tokens(now: number): number | undefined {
    return this._update(now)?.bucket.tokens(now);
  }

  /** Applies the increase of the rate after the end of a limit; returns the limit, or undefined when none is enforced. */
  private _update(now: number): StatedLimit | undefined {
    const limit = this._limit;
    if (limit?.endedAt === undefined) {
      return limit;
    }
    if (now - limit.endedAt >= kRampMs) {
      this._limit = undefined;
      return undefined;
    }
    limit.bucket.setLimits(bucketLimitsOf(enforcedRate(limit, now)), now);
    return limit;
  }
}

/** Rate that is enforced now, in requests per second. */
function enforcedRate({ ratePerSecond, endedAt }: StatedLimit, now: number): number {
  if (endedAt === undefined) {
    return Math.max(kMinRatePerSecond, ratePerSecond);
  }
  return Math.max(kMinRampRatePerSecond, ratePerSecond) * 2 ** ((now - endedAt) / kRampDoublingMs);
}

function bucketLimitsOf(ratePerSecond: number): BucketLimits {
  const enforced = Math.max(kMinRatePerSecond, ratePerSecond);
  return { ratePerSecond: enforced, capacity: 1 + enforced * kBurstSeconds };
}
