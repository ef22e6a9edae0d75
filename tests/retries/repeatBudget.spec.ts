/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { RepeatBudget } from '@gentiandrum/core';
import fc from 'fast-check';
import { describe, itSerial } from '../support/describe.js';
import { VirtualTime } from '../support/virtualTime.js';

const kBound = { ratio: 0.2, extra: 47, windowSeconds: 10 };
const kWindowMs = 10_000;

/** Returns the most repeats in any window beyond the ratio of the first arrivals in or shortly before that window. */
function maxExtraRepeats(repeats: readonly number[], arrivals: readonly number[]): number {
  const countWithin = (times: readonly number[], from: number): number => times.filter((at) => at >= from && at < from + kWindowMs).length;
  return Math.max(
    0,
    ...repeats.map((from) => {
      const requests = Math.max(
        countWithin(arrivals, from),
        countWithin(arrivals, from - kWindowMs),
        countWithin(arrivals, from - kWindowMs / 2),
      );
      return countWithin(repeats, from) - kBound.ratio * requests;
    }),
  );
}

describe('repeat budget', () => {
  itSerial('should keep the sum over all targets within the bound of the service under any load', (t) => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 6 }),
        fc.array(
          fc.record({
            ms: fc.integer({ min: 0, max: 400 }),
            calls: fc.integer({ min: 0, max: 40 }),
            tries: fc.integer({ min: 0, max: 40 }),
          }),
          {
            maxLength: 80,
          },
        ),
        (targets, steps) => {
          const time = new VirtualTime();
          try {
            const budgets = Array.from({ length: targets }, () => new RepeatBudget(kBound));
            const arrivals: number[] = [];
            const repeats: number[] = [];
            for (const { ms, calls, tries } of steps) {
              time.runUntil(time.now + ms);
              for (let i = 0; i < calls; i++) {
                budgets[i % targets]?.earn(0);
                arrivals.push(time.now);
              }
              for (let i = 0; i < tries; i++) {
                if (budgets[i % targets]?.spend(targets, i % 2 === 0) === true) {
                  repeats.push(time.now);
                }
              }
            }
            return maxExtraRepeats(repeats, arrivals) <= kBound.extra;
          } finally {
            time.restore();
          }
        },
      ),
      { numRuns: 60, seed: 1 },
    );
    t.pass();
  });

  itSerial('should return the token of a repeat that was not sent', (t) => {
    const time = new VirtualTime();
    try {
      const budget = new RepeatBudget(kBound);
      time.runUntil(kWindowMs);
      let granted = 0;
      while (budget.spend(1, false)) {
        granted++;
      }
      t.true(granted > 0);
      budget.refund();
      t.true(budget.spend(1, false));
      t.false(budget.spend(1, false));
    } finally {
      time.restore();
    }
  });

  itSerial('should start empty, so that a restart grants no repeats', (t) => {
    const time = new VirtualTime();
    t.false(new RepeatBudget(kBound).spend(1, false));
    time.restore();
  });
});
