/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { AdaptiveLimit, RootFilter, kOpenLevel } from '@gentiandrum/core';
import { describe, it } from '../support/describe.js';

const kWarm = -Infinity;
const kSlots = 20;

/** Records completions at a target whose self time depends on the number of running calls. Returns the end time. */
function feedCompletions(limit: AdaptiveLimit, startMs: number, seconds: number, selfMs: (running: number) => number): number {
  let now = startMs;
  for (; now < startMs + seconds * 1_000; now += 10) {
    const running = limit.current(now);
    limit.recordCompletion(selfMs(running), running, now);
  }
  return now;
}

describe('an adaptive limit', () => {
  it('should start from the announced slots', (t) => {
    t.is(new AdaptiveLimit(kSlots, kWarm, 0).current(0), kSlots);
  });

  it('should narrow when self time grows with concurrency', (t) => {
    const limit = new AdaptiveLimit(kSlots * 4, kWarm, 0);
    const end = feedCompletions(limit, 0, 5, () => 40);
    feedCompletions(limit, end, 20, (running) => 40 * Math.max(1, running / kSlots) ** 2);
    t.true(limit.current(30_000) < kSlots * 3, String(limit.current(30_000)));
  });

  it('should not narrow for long when self time grows independently of concurrency', (t) => {
    const limit = new AdaptiveLimit(kSlots, kWarm, 0);
    const end = feedCompletions(limit, 0, 5, () => 40);
    const last = feedCompletions(limit, end, 10, () => 400);
    t.true(limit.current(last) >= kSlots * 0.8, String(limit.current(last)));
  });

  it('should widen for a cold target while its self time does not grow', (t) => {
    const limit = new AdaptiveLimit(kSlots, 0, 0);
    t.is(limit.current(0), kSlots * 0.3);
    feedCompletions(limit, 0, 1, () => 40);
    t.true(limit.current(1_000) >= kSlots);
  });

  it('should narrow when the target sheds a call', (t) => {
    const limit = new AdaptiveLimit(kSlots, kWarm, 0);
    limit.recordTargetShed(10);
    t.true(limit.current(0) < 10);
  });

  it('should reset when the announced slots change', (t) => {
    const limit = new AdaptiveLimit(kSlots, kWarm, 0);
    limit.announce(7);
    t.is(limit.current(0), 7);
  });
});

describe('a root filter', () => {
  it('should refuse requests at the root that a downstream service would shed', (t) => {
    const filter = new RootFilter(() => 'goodput');
    filter.update('report', { level: 100, service: 'hazards' }, 0);
    t.false(filter.admits('report', 200, 10));
    t.true(filter.admits('report', 50, 10));
    t.true(filter.admits('other', 200, 10));
  });

  it('should reopen a class that is refused entirely by the responses to other classes', (t) => {
    const filter = new RootFilter(() => 'goodput');
    filter.update('report', { level: 100, service: 'hazards' }, 0);
    for (let now = 0; now < 300; now += 10) {
      filter.update('lookup', { level: kOpenLevel, service: 'hazards' }, now);
    }
    t.true(filter.admits('report', 400, 300));
  });

  it('should reopen without responses, and sooner when recovery is favoured', (t) => {
    const opens = (favour: 'goodput' | 'recovery'): number => {
      const filter = new RootFilter(() => favour);
      filter.update('report', { level: 1, service: 'hazards' }, 0);
      let now = 0;
      while (!filter.admits('report', 400, now)) {
        now += 100;
      }
      return now;
    };
    t.true(opens('recovery') < opens('goodput'));
    t.true(opens('goodput') < 6_000);
  });
});
