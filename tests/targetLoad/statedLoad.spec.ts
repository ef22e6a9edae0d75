/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { KneeDetector, StatedLoad } from '@gentiandrum/core';
import { describe, it } from '../support/describe.js';

function stated(slowness: number | undefined): { running: number; waiting: number; slots: number; slowness: number | undefined } {
  return { running: 1, waiting: 0, slots: 10, slowness };
}

/** Records `slowness` every 5 ms from `from` up to `to`, in milliseconds. */
function stateDuring(load: StatedLoad, slowness: number, from: number, to: number): void {
  for (let now = from; now <= to; now += 5) {
    load.record(stated(slowness), now);
  }
}

describe('the slowness that a target states', () => {
  // Guards against a gate that learns of a slow target late, or returns to full speed at the first fast statement.
  it('should be followed within 0.1 s when it rises, and within 1 s when it falls', (t) => {
    const load = new StatedLoad();
    stateDuring(load, 100, 0, 1_000);
    stateDuring(load, 800, 1_005, 1_105);
    const slow = load.slownessAt(1_105) ?? 0;
    t.true(slow > 750 && slow <= 800, `${slow}`);
    stateDuring(load, 100, 1_110, 1_210);
    t.true((load.slownessAt(1_210) ?? 0) > 300);
    stateDuring(load, 100, 1_215, 2_110);
    t.true((load.slownessAt(2_110) ?? 0) < 110);
  });

  // Guards against a machine that counts as slow forever because nothing is sent to it any more.
  it('should return to the usual one with a half-life of 1 s without statements, or with those of three figures', (t) => {
    const load = new StatedLoad();
    load.record(stated(500), 0);
    t.is(load.slownessAt(1_000), 300);
    load.record(stated(undefined), 1_500);
    t.is(load.slownessAt(2_000), 200);
    t.is(load.ageMs(2_000), 500);
    t.is(load.slownessAgeMs(2_000), 2_000);
  });

  // Guards against one wild figure that makes a gate refuse all waiting calls for seconds.
  it('should be outweighed by usual statements after one wild one', (t) => {
    const load = new StatedLoad();
    stateDuring(load, 100, 0, 500);
    load.record(stated(1_000_000), 505);
    t.true((load.slownessAt(505) ?? 0) < 300);
    stateDuring(load, 100, 510, 1_000);
    t.true((load.slownessAt(1_000) ?? 0) < 120);
  });

  it('should be unknown before the first statement and after the start of another incarnation', (t) => {
    const load = new StatedLoad();
    t.is(load.slownessAt(0), undefined);
    load.record(stated(500), 0);
    load.reset();
    t.deepEqual([load.slownessAt(0), load.latest, load.ageMs(0)], [undefined, undefined, Infinity]);
  });
});

describe('a knee in the durations of a target', () => {
  function record(knee: KneeDetector, share: number, durationMs: number, runs: number, now: number): void {
    for (let run = 0; run < runs; run++) {
      knee.record(share, durationMs, now);
    }
  }

  // Guards against slots that stay unused without evidence, or after the evidence is old.
  it('should lower the used share only with enough runs, and for a limited time', (t) => {
    const knee = new KneeDetector();
    record(knee, 0.7, 100, 500, 0);
    record(knee, 0.93, 116, 499, 0);
    t.is(knee.usedShare, 0.95);
    record(knee, 0.93, 116, 1, 0);
    t.is(knee.usedShare, 0.9);
    record(knee, 0.7, 100, 1, 30_000);
    t.is(knee.usedShare, 0.95);
  });

  it('should not be found in durations that differ by less than 15%', (t) => {
    const knee = new KneeDetector();
    record(knee, 0.7, 100, 2_000, 0);
    record(knee, 0.93, 114, 2_000, 0);
    t.is(knee.usedShare, 0.95);
  });
});
