/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { type RankedRepeat, RankedRepeatBudget, RepeatBudget, seededRandom } from '@gentiandrum/core';
import fc from 'fast-check';
import { describe, itSerial } from '../support/describe.js';
import { VirtualTime } from '../support/virtualTime.js';

const kBound = { ratio: 0.2, extra: 95, windowSeconds: 10 };
const kTargets = 19;
const kCalmMs = 4_000;
const kRefusingMs = 8_500;
const kChainCalls = 4;
const kMaxAttempts = 3;

interface Model {
  budget: () => { earn(chainLength: number | undefined): void; spend(targets: number, repeat: RankedRepeat): boolean };
  /** Chains and external calls that start in each millisecond. */
  chainsPerMs: number;
  singlesPerMs: number;
  refusedShare: number;
}

type Served = Record<'urgent' | 'other' | 'single', number>;

function plainBudget(): ReturnType<Model['budget']> {
  const budget = new RepeatBudget(kBound);
  return {
    earn: (chainLength) => {
      budget.earn(chainLength);
    },
    spend: (targets, { internal }) => budget.spend(targets, internal),
  };
}

/** Runs the model; returns the served shares of what starts while targets refuse, and the most repeats beyond the ratio in a window. */
function runModel(model: Model): { served: Served; maxExtra: number; refusedRepeats: number } {
  const time = new VirtualTime();
  const random = seededRandom(7);
  const budgets = Array.from({ length: kTargets }, model.budget);
  const arrivals: { at: number; repeat: boolean }[] = [];
  const started = { urgent: 0, other: 0, single: 0 };
  const succeeded = { urgent: 0, other: 0, single: 0 };
  let refusedRepeats = 0;
  const call = (kind: keyof Served, left: number, attempt: number, counted: boolean): void => {
    const target = budgets[Math.floor(random() * kTargets)];
    const rank = { urgent: 1_000, other: 3_000, single: 3_000 }[kind];
    const gatesAfter = kind === 'single' ? undefined : left - 1;
    if (attempt === 1) {
      target?.earn(0);
    } else if (target?.spend(kTargets, { rank, gatesAfter, internal: kind !== 'single' }) !== true) {
      refusedRepeats++;
      return;
    }
    arrivals.push({ at: time.now, repeat: attempt > 1 });
    if (time.now >= kCalmMs && random() < model.refusedShare) {
      if (attempt < kMaxAttempts) {
        call(kind, left, attempt + 1, counted);
      }
    } else if (left > 1) {
      time.after(30, () => {
        call(kind, left - 1, 1, counted);
      });
    } else if (counted) {
      succeeded[kind]++;
    }
  };
  const start = (kind: keyof Served, calls: number): void => {
    const counted = time.now >= kCalmMs && time.now < kCalmMs + kRefusingMs;
    started[kind] += counted ? 1 : 0;
    call(kind, calls, 1, counted);
  };
  try {
    for (let ms = 0; ms < kCalmMs + kRefusingMs; ms++) {
      time.runUntil(ms);
      // Chains of both classes come in bursts of 8 ms.
      for (let load = ms % 8 === 0 ? model.chainsPerMs * 8 : 0; load > random(); load--) {
        start(random() < 0.25 ? 'urgent' : 'other', kChainCalls);
      }
      if (random() < model.singlesPerMs) {
        start('single', 1);
      }
    }
    time.runUntil(kCalmMs + kRefusingMs + 1_000);
  } finally {
    time.restore();
  }
  const shareOf = (kind: keyof Served): number => succeeded[kind] / started[kind];
  const served = { urgent: shareOf('urgent'), other: shareOf('other'), single: shareOf('single') };
  return { served, maxExtra: maxExtraOf(arrivals), refusedRepeats };
}

/** Most repeats beyond the ratio of the first arrivals in any interval of up to one window, which is stricter than in full windows. */
function maxExtraOf(arrivals: readonly { at: number; repeat: boolean }[]): number {
  let extra = 0;
  let max = 0;
  for (const { repeat } of arrivals) {
    extra = Math.max(0, extra + (repeat ? 1 : -kBound.ratio));
    max = Math.max(max, extra);
  }
  return max;
}

/** Sends 50 first arrivals per second to one target, and repeats at regular intervals, with the ranks in turn. */
function runRegular(
  ranks: (number | undefined)[],
  intervalMs: number,
  targets = kTargets,
): { tokens: number; refused: number; refusedUrgent: number } {
  const time = new VirtualTime();
  const budget = new RankedRepeatBudget(kBound);
  const counts = { tokens: 0, refused: 0, refusedUrgent: 0 };
  for (let ms = 0; ms < 20_000; ms += 10) {
    time.runUntil(ms);
    if (ms % 20 === 0) {
      budget.earn(0);
    }
    const rank = ranks[(ms / intervalMs) % ranks.length];
    if (ms >= kCalmMs && ms % intervalMs === 0) {
      const granted = budget.spend(targets, { rank, gatesAfter: 2, internal: true });
      counts.tokens += granted ? 1 : 0;
      counts.refused += granted ? 0 : 1;
      counts.refusedUrgent += !granted && rank === ranks[0] ? 1 : 0;
    }
  }
  time.restore();
  return counts;
}

describe('ranked repeat budget', () => {
  itSerial('should serve urgent chains first while targets refuse most calls, which first come, first served fails all alike', (t) => {
    const load = { chainsPerMs: 0.5, singlesPerMs: 0.3, refusedShare: 0.55 };
    const plain = runModel({ ...load, budget: plainBudget });
    const ranked = runModel({ ...load, budget: () => new RankedRepeatBudget(kBound) });
    t.log({ plain, ranked });
    t.true(ranked.served.urgent >= ranked.served.other - 0.05);
    t.true(ranked.served.urgent >= 2 * plain.served.urgent);
    t.true(ranked.maxExtra <= kBound.extra);
  });

  itSerial('should refuse no more than first come, first served while the supply exceeds the demand', (t) => {
    const load = { chainsPerMs: 0.5, singlesPerMs: 0.3, refusedShare: 0.04 };
    const plain = runModel({ ...load, budget: plainBudget });
    const ranked = runModel({ ...load, budget: () => new RankedRepeatBudget(kBound) });
    t.log({ plain, ranked });
    t.true(ranked.refusedRepeats <= plain.refusedRepeats);
  });

  itSerial('should refuse nobody whose demand is regular and below the supply', (t) => {
    const { tokens, refused } = runRegular([1_000, 3_000, undefined], 150);
    t.is(refused, 0);
    t.true(tokens > 0);
  });

  itSerial('should refuse unknown and implausible ranks first, but not all of them, also in a service of 30 targets', (t) => {
    for (const rank of [undefined, Number.NaN, -1]) {
      const { tokens, refused, refusedUrgent } = runRegular([1_000, rank, rank, rank], 70, 30);
      t.log({ rank, tokens, refused, refusedUrgent });
      t.true(refusedUrgent <= 0.1 * refused, `${rank}: ${refusedUrgent} of ${refused}`);
    }
  });

  itSerial('should leave a quarter of the extra to the calls of repeated runs when all targets hold all they can', (t) => {
    const time = new VirtualTime();
    const budgets = Array.from({ length: kTargets }, () => new RankedRepeatBudget(kBound));
    const arrivals: { at: number; repeat: boolean }[] = [];
    for (let ms = 0; ms < 30_000; ms += 100) {
      time.runUntil(ms);
      for (const budget of budgets) {
        budget.earn(0);
        arrivals.push({ at: ms, repeat: false });
        for (let i = 0; i < 10 && ms >= 15_000; i++) {
          arrivals.push(...(budget.spend(kTargets, { rank: 1, gatesAfter: 0, internal: true }) ? [{ at: ms, repeat: true }] : []));
        }
      }
    }
    time.restore();
    t.true(maxExtraOf(arrivals.filter(({ at }) => at < 25_000)) <= 0.75 * kBound.extra);
  });

  itSerial('should keep the bound at any moment after a start, a calm time and bursts, also with implausible figures', (t) => {
    fc.assert(
      fc.property(fc.array(fc.record({ ms: fc.nat(3_000), calls: fc.nat(60), tries: fc.nat(60), wild: fc.boolean() })), (steps) => {
        const time = new VirtualTime();
        const budgets = Array.from({ length: kTargets }, () => new RankedRepeatBudget(kBound));
        const arrivals: { at: number; repeat: boolean }[] = [];
        for (const { ms, calls, tries, wild } of steps) {
          time.runUntil(time.now + ms);
          for (let i = 0; i < calls + tries; i++) {
            const budget = budgets[i % kTargets];
            const figure = wild ? [Number.NaN, -7, Infinity][i % 3] : i % 5;
            if (i < calls) {
              budget?.earn(wild ? figure : 0);
              arrivals.push({ at: time.now, repeat: false });
            } else if (budget?.spend(wild ? Number.NaN : kTargets, { rank: figure, gatesAfter: figure, internal: true }) === true) {
              arrivals.push({ at: time.now, repeat: true });
            }
          }
        }
        time.restore();
        return arrivals.every((from, index) => maxExtraOf(arrivals.slice(index).filter(({ at }) => at < from.at + 10_000)) <= kBound.extra);
      }),
      { numRuns: 60, seed: 1 },
    );
    t.pass();
  });
});
