/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against more requests to a target than the rate limit that it states, in seeded histories of one gate. */

import { GateLevel, seededRandom, TargetRateLimiter } from '@gentiandrum/core';
import type { ExecutionContext } from 'ava';
import { withFakeClock } from '../support/fakeClock.js';
import { describe, it, itSerial } from '../support/describe.js';
import { VirtualTime } from '../support/virtualTime.js';
import { type LimitChange, RateLimitedTarget } from './rateLimitedTarget.js';

const kHistories = 200;
const kHistoryMs = 15_000;
const kWindowMs = 4_000;
const kMsPerSecond = 1_000;
/** Requests above the stated rate that a window may have: one, and those of this time, in seconds. */
const kBurstSeconds = 0.25;
/** Rate at which a target is tried that takes no requests, in requests per second. */
const kTrialRate = 0.1;
const kRates = [0, 0.3, 2, 8, 25, 120, 700];
const kMinUsedShare = 0.85;

interface Disturbances {
  offersPerSecond: number;
  /** Offers that arrive at once. */
  burst?: number;
  freezes?: boolean;
  restarts?: boolean;
  changes: LimitChange[];
}

function runHistory(seed: number, { offersPerSecond, burst = 1, freezes, restarts, changes }: Disturbances): RateLimitedTarget {
  const time = new VirtualTime();
  const random = seededRandom(seed);
  try {
    const target = new RateLimitedTarget(time, random, changes);
    const scheduleOffers = (): void => {
      time.after(-Math.log(1 - random()) * ((burst * kMsPerSecond) / offersPerSecond), () => {
        for (let i = 0; i < burst; i++) {
          target.offer();
        }
        scheduleOffers();
      });
    };
    scheduleOffers();
    for (let at = 2_000; at < kHistoryMs; at += 1_000 + random() * 4_000) {
      if (restarts === true && random() < 0.5) {
        time.after(at, () => {
          target.restart();
        });
      }
      if (freezes === true && random() < 0.5) {
        time.after(at, () => {
          target.freeze(random() * 3_000);
        });
      }
    }
    time.runUntil(kHistoryMs);
    return target;
  } finally {
    time.restore();
  }
}

/** Changes of the limit at random times: it rises, falls, ends and comes back. */
function randomChanges(seed: number): LimitChange[] {
  const random = seededRandom(seed + 1_000);
  const changes: LimitChange[] = [];
  for (let at = random() * 2_000; at < kHistoryMs; at += 500 + random() * 6_000) {
    changes.push({ at, limit: random() < 0.2 ? undefined : kRates[Math.floor(random() * kRates.length)] });
  }
  return changes;
}

/** Rates that the gate may use, by the time from which each applies: the target's, or the one last stated to the gate if it is higher. */
function allowedRates(target: RateLimitedTarget, changes: readonly LimitChange[]): { at: number; rate: number }[] {
  const steps = [...changes, ...target.statements.map(({ at, limit }) => ({ at, limit, received: true }))].sort((a, b) => a.at - b.at);
  const rates: { at: number; rate: number }[] = [];
  let stated = Infinity;
  let received = 0;
  for (const step of steps) {
    if ('received' in step) {
      received = step.limit ?? 0;
    } else {
      stated = step.limit ?? Infinity;
    }
    const rate = Math.max(stated, received, kTrialRate);
    if (rate !== rates.at(-1)?.rate) {
      rates.push({ at: step.at, rate });
    }
  }
  return rates;
}

/** Requests that the rates allow in a window, with the burst. */
function allowedIn(rates: readonly { at: number; rate: number }[], from: number, to: number): number {
  let allowed = 0;
  let highest = 0;
  for (const [i, { at, rate }] of rates.entries()) {
    const ms = Math.min(to, rates[i + 1]?.at ?? to) - Math.max(from, at);
    if (ms > 0) {
      allowed += (rate * ms) / kMsPerSecond;
      highest = Math.max(highest, rate);
    }
  }
  return allowed + 1 + highest * kBurstSeconds;
}

/** Whether the target states a limit from `from` to `to`, and the gate had a statement of it by `from`. */
function isLimited(target: RateLimitedTarget, changes: readonly LimitChange[], from: number, to: number): boolean {
  const since = changes.findLast(({ at, limit }) => at <= from && limit === undefined)?.at ?? 0;
  const limitedAt = changes.find(({ at, limit }) => at >= since && limit !== undefined)?.at ?? Infinity;
  const heard = target.statements.find(({ at }) => at >= limitedAt)?.at ?? Infinity;
  return heard <= from && changes.every(({ at, limit }) => at < from || at > to || limit !== undefined);
}

function checkWindows(t: ExecutionContext, seed: number, target: RateLimitedTarget, changes: readonly LimitChange[]): void {
  const { sends } = target;
  const rates = allowedRates(target, changes);
  let end = 0;
  for (const [first, from] of sends.entries()) {
    const to = from + kWindowMs;
    while ((sends[end] ?? Infinity) < to) {
      end++;
    }
    const sent = end - first;
    const allowed = isLimited(target, changes, from, to) ? allowedIn(rates, from, to) : Infinity;
    if (sent > allowed) {
      t.fail(`seed ${seed}: expected at most ${allowed} requests in ${kWindowMs} ms from ${from}, got ${sent}`);
      return;
    }
  }
  t.pass();
}

describe('a gate whose target states a rate limit', () => {
  const variants: [string, Omit<Disturbances, 'changes'>][] = [
    ['changes its limit', { offersPerSecond: 100 }],
    ['changes its limit while calls arrive in bursts', { offersPerSecond: 100, burst: 50 }],
    ['changes its limit while the gate is frozen', { offersPerSecond: 100, freezes: true }],
    ['changes its limit while the gate is restarted', { offersPerSecond: 100, restarts: true }],
    ['changes its limit amid bursts, freezes and restarts', { offersPerSecond: 200, burst: 20, freezes: true, restarts: true }],
  ];
  for (const [title, disturbances] of variants) {
    itSerial(`should never send more than the limit allows when it ${title}`, (t) => {
      for (let seed = 0; seed < kHistories; seed++) {
        const changes = randomChanges(seed);
        checkWindows(t, seed, runHistory(seed, { ...disturbances, changes }), changes);
      }
    });
  }

  for (const rate of [0.5, 8, 100]) {
    itSerial(`should use most of a limit of ${rate} requests a second when there are more calls`, (t) => {
      for (let seed = 0; seed < 5; seed++) {
        const changes = [{ at: 0, limit: rate }];
        const { sends } = runHistory(seed, { offersPerSecond: rate * 4 + 20, changes });
        const used = sends.filter((at) => at > kWindowMs).length;
        const allowed = (rate * (kHistoryMs - kWindowMs)) / kMsPerSecond;
        t.true(used >= Math.floor(allowed * kMinUsedShare), `seed ${seed}: expected 85% of ${allowed} requests, got ${used}`);
      }
    });
  }

  itSerial('should name the rate limit as the reason of refusals', (t) => {
    const { refusals } = runHistory(1, { offersPerSecond: 100, changes: [{ at: 0, limit: 8 }] });
    t.deepEqual([...refusals.keys()], ['rate_limited']);
  });
});

describe('rate limiter of a target', () => {
  it('should allow everything until a limit is stated', (t) => {
    const limiter = new TargetRateLimiter();
    t.true(Array.from({ length: 1_000 }, () => limiter.tryTake(0)).every(Boolean));
    t.false(limiter.active);
  });

  it('should start without tokens', (t) => {
    const limiter = new TargetRateLimiter();
    limiter.state(10, 0);
    t.false(limiter.tryTake(50));
    t.true(limiter.tryTake(100));
  });

  it('should keep the limit when a response to an earlier request states none', (t) => {
    const limiter = new TargetRateLimiter();
    limiter.state(10, 1_000);
    t.false(limiter.recordUnlimited(999, 1_500));
    t.is(limiter.statedRate, 10);
    t.true(limiter.recordUnlimited(1_001, 1_500));
    t.is(limiter.statedRate, undefined);
  });

  it('should increase the rate gradually after the limit ends', (t) => {
    const limiter = new TargetRateLimiter();
    limiter.state(8, 0);
    limiter.recordUnlimited(1, 10);
    let sent = 0;
    const sentBy = [500, 1_000, 3_100].map((until) => {
      for (let now = until - 500; now < until; now++) {
        sent += limiter.tryTake(now) ? 1 : 0;
      }
      return sent;
    });
    t.true((sentBy[0] ?? 0) < 20, `expected fewer than 20 requests in half a second, got ${sentBy[0]}`);
    t.true((sentBy[1] ?? 0) > (sentBy[0] ?? 0) * 2);
    t.false(limiter.active);
  });

  it('should enforce a limit again that is stated while the rate increases', (t) => {
    const limiter = new TargetRateLimiter();
    limiter.state(8, 0);
    limiter.recordUnlimited(1, 10);
    limiter.state(8, 1_000);
    t.is(limiter.intervalMs(2_000), 125);
  });

  it('should try a target that takes no requests once in ten seconds', (t) => {
    const limiter = new TargetRateLimiter();
    limiter.state(0, 0);
    t.false(limiter.tryTake(9_999));
    t.true(limiter.tryTake(10_000));
    t.false(limiter.tryTake(10_001));
  });

  it('should return the token of a request that was not sent', (t) => {
    const limiter = new TargetRateLimiter();
    limiter.state(1, 0);
    t.true(limiter.tryTake(1_000));
    limiter.returnToken(1_000);
    t.true(limiter.tryTake(1_000));
  });

  it('should ask refused callers to retry when there is a token', (t) => {
    const limiter = new TargetRateLimiter();
    limiter.state(2, 0);
    t.true(limiter.retryAfterMs(100) >= 400);
  });

  it('should report the arrivals relative to the limit', (t) => {
    const limiter = new TargetRateLimiter();
    limiter.state(8, 0);
    for (let now = 0; now < 5_000; now += 62.5) {
      limiter.recordArrival(now);
    }
    t.true(Math.abs((limiter.loadAt(5_000) ?? 0) - 2) < 0.2);
    t.true((limiter.loadAt(8_000) ?? Infinity) < 0.2);
  });
});

describe('level of a gate with a rate limit', () => {
  itSerial('should rise when more calls arrive than the limit allows, though the slots are idle, and fall with its end', (t) => {
    withFakeClock(() => {
      const level = new GateLevel();
      const intervalMs = 125;
      for (let step = 0; step < 50; step++) {
        level.recordWork(intervalMs);
        level.recordRateLimited(intervalMs);
        level.step(0, 100, intervalMs);
      }
      t.true(level.current > 0.5, `expected a level above 0.5, got ${level.current}`);
      level.step(0, 100, intervalMs / 32);
      t.is(level.current, 0);
    });
  });
});
