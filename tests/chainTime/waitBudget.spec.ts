/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { kNoChainNeed, seededRandom, waitBudget } from '@gentiandrum/core';
import { describe, it } from '../support/describe.js';

const kLimitMs = 800;
const kCallMs = 30;
const kCalls = 8;

/** Runs eight sequential calls, each of which waits a share of its budget, and returns the waits and the time of the chain. */
function runChain(shareOfBudget: () => number, gates: number | undefined): { waitsMs: number; endMs: number } {
  let waitsMs = 0;
  let endMs = 0;
  for (let left = kCalls - 1; left >= 0; left--) {
    const after = { afterMs: left * kCallMs, gatesAfter: gates === undefined ? 0 : left };
    const budget = waitBudget({ remainingMs: kLimitMs - endMs, runMs: kCallMs, gates, after });
    const waitMs = budget.kind === 'fits' ? budget.waitMs * shareOfBudget() : Infinity;
    waitsMs += waitMs;
    endMs += waitMs + kCallMs;
  }
  return { waitsMs, endMs };
}

describe('wait budget', () => {
  it('should never grant eight sequential calls more than the slack of their chain, or a chain runs for nothing', (t) => {
    const random = seededRandom(9);
    const slackMs = kLimitMs - kCalls * kCallMs;
    for (const share of [(): number => 1, random]) {
      for (const gates of [1, undefined]) {
        const { waitsMs, endMs } = runChain(share, gates);
        t.true(waitsMs <= slackMs + 1e-6 && endMs <= kLimitMs + 1e-6, `${waitsMs} ms`);
      }
    }
  });

  it('should leave the last of eight gates as much time as the first when all are full', (t) => {
    const first = waitBudget({ remainingMs: kLimitMs, runMs: kCallMs, gates: 1, after: { afterMs: 210, gatesAfter: 7 } });
    t.deepEqual(first, { kind: 'fits', waitMs: 70, slackMs: 560 });
    const last = waitBudget({ remainingMs: kLimitMs - 7 * (70 + kCallMs), runMs: kCallMs, gates: 1, after: kNoChainNeed });
    t.deepEqual(last, { kind: 'fits', waitMs: 70, slackMs: 70 });
  });

  it('should call a chain too late as soon as its work alone takes longer, and grant the time left where nothing is known', (t) => {
    const after = { afterMs: 100, gatesAfter: 3 };
    t.deepEqual(waitBudget({ remainingMs: 120, runMs: 30, gates: 1, after }), { kind: 'too_late', shortMs: 10 });
    t.deepEqual(waitBudget({ remainingMs: 130, runMs: 30, gates: 1, after }), { kind: 'fits', waitMs: 0, slackMs: 0 });
    const unknown = waitBudget({ remainingMs: 500, runMs: undefined, gates: undefined, after: kNoChainNeed });
    t.deepEqual(unknown, { kind: 'fits', waitMs: 500, slackMs: 500 });
  });
});
