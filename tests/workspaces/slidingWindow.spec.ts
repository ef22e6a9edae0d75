/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against more runs than the limit in any window across hand-overs, changes of the limit and returned tokens. */

import { seededRandom, SlidingWindow, type WindowLimits } from '@gentiandrum/core';
import { describe, it } from '../support/describe.js';

const kWindowMs = 5_000;
const kLimit = 40;
const kNothing = { count: 0, reserve: 0, at: 0 };

function limitsOf(perWindow: number): WindowLimits {
  return { perWindow, burst: perWindow * 0.15, reserve: 0 };
}

function fullest(runs: readonly number[]): number {
  const sorted = [...runs].sort((a, b) => a - b);
  return Math.max(...sorted.map((at, i) => sorted.slice(0, i + 1).filter((other) => other >= at - kWindowMs).length));
}

/** Takes tokens in random waves from `from` to `until`; a share of them is returned within 2 s. */
function take(
  window: SlidingWindow,
  random: () => number,
  { from, until, returned }: { from: number; until: number; returned: number },
): number[] {
  const runs: number[] = [];
  const returns: number[] = [];
  for (let now = from; now < until; now += random() < 0.005 ? random() * 4_000 : random() * 20) {
    const due = returns.filter((at) => at <= now).length;
    returns.sort((a, b) => a - b).splice(0, due);
    window.returnTokens(due, now);
    if (!window.take(now).granted) {
      continue;
    }
    if (random() < returned) {
      returns.push(now + random() * 2_000);
    } else {
      runs.push(now);
    }
  }
  return runs;
}

describe('a sliding window', () => {
  it('should never grant more than its limit in a window, also when tokens are returned', (t) => {
    for (let seed = 1; seed <= 50; seed++) {
      const window = new SlidingWindow(kWindowMs, limitsOf(kLimit), kNothing, 0);
      const most = fullest(take(window, seededRandom(seed), { from: 0, until: 40_000, returned: seed % 2 === 0 ? 0.4 : 0 }));
      t.true(most <= kLimit, `seed ${seed}: ${most}`);
    }
  });

  it('should grant the whole limit in each window under steady demand, also while a third of the tokens is returned soon', (t) => {
    for (const returned of [0, 1 / 3]) {
      const window = new SlidingWindow(kWindowMs, limitsOf(kLimit), kNothing, 0);
      const runs: number[] = [];
      for (let i = 0, granted = 0; i < 6_000; i++) {
        if (window.take(i * 10).granted) {
          const isReturned = returned > 0 && granted++ % 3 === 0;
          if (isReturned) {
            window.returnTokens(1, i * 10 + 5, 5);
          } else {
            runs.push(i * 10);
          }
        }
      }
      t.log(`${runs.length / 12} of ${kLimit} for each window`);
      t.true(runs.length >= 0.93 * kLimit * 12, `${runs.length}`);
    }
  });

  it('should grant no more than the limit and the reserve in a window that includes a former owner', (t) => {
    for (let seed = 1; seed <= 200; seed++) {
      const random = seededRandom(seed);
      const endsAt = 10_000 + random() * 10_000;
      const before = take(new SlidingWindow(kWindowMs, limitsOf(kLimit), kNothing, 0), random, { from: 0, until: endsAt, returned: 0 });
      const next = new SlidingWindow(kWindowMs, limitsOf(kLimit), { count: kLimit, reserve: 5, at: endsAt }, endsAt);
      const after = take(next, random, { from: endsAt, until: endsAt + 15_000, returned: 0 });
      t.true(fullest([...before, ...after]) <= kLimit + 5, `seed ${seed}: ${fullest([...before, ...after])}`);
    }
  });

  it('should raise its limit only as the grants of the owner that lowered its own leave the window', (t) => {
    for (let seed = 1; seed <= 200; seed++) {
      const random = seededRandom(seed);
      const [a, b] = [new SlidingWindow(kWindowMs, limitsOf(30), kNothing, 0), new SlidingWindow(kWindowMs, limitsOf(10), kNothing, 0)];
      const runs: number[] = [];
      for (let from = 0, large = true; from < 40_000; large = !large) {
        const until = from + 2_000 + random() * 8_000;
        a.setLimits(limitsOf(large ? 30 : 10), from);
        b.setLimits(limitsOf(large ? 10 : 30), from);
        runs.push(...take(a, random, { from, until, returned: 0 }), ...take(b, random, { from, until, returned: 0 }));
        from = until;
      }
      t.true(fullest(runs) <= kLimit, `seed ${seed}: ${fullest(runs)}`);
    }
  });

  it('should promise refused clients different tokens', (t) => {
    const window = new SlidingWindow(kWindowMs, limitsOf(kLimit), kNothing, 0);
    while (window.take(0).granted);
    const waits = new Set(Array.from({ length: 5 }, () => window.take(0)).map((result) => (result.granted ? 0 : result.waitMs)));
    t.true(waits.size >= 4, [...waits].join(' '));
  });
});
