/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { EntryTime, RunTimings, seededRandom } from '@gentiandrum/core';
import { describe, itSerial } from '../support/describe.js';
import { VirtualTime } from '../support/virtualTime.js';

/** Records a run every `everyMs` from now on until `until` returns true or `maxMs` have passed; returns the elapsed time. */
function recordRuns(time: VirtualTime, everyMs: number, maxMs: number, record: () => unknown, until = (): boolean => false): number {
  const start = time.now;
  while (!until() && time.now - start < maxMs) {
    time.runUntil(time.now + everyMs);
    record();
  }
  return time.now - start;
}

function withTime(body: (time: VirtualTime) => void): void {
  const time = new VirtualTime();
  try {
    body(time);
  } finally {
    time.restore();
  }
}

describe('durations of runs', () => {
  itSerial('should stay near the time of undelayed runs when overload delays two of three, and follow a service that slows down', (t) => {
    for (const everyMs of [1, 20, 200]) {
      withTime((time) => {
        const timings = new RunTimings();
        const random = seededRandom(5);
        const need = (): number => timings.needMs('a') ?? -1;
        const maxMs = Math.max(10_000, 60 * everyMs);
        recordRuns(time, everyMs, maxMs, () => timings.recordRun('a', 110 + 20 * random() + (random() < 0.67 ? 400 * random() : 0)));
        t.true(need() > 110 && need() < 160, `${need()} ms with waits, a run every ${everyMs} ms`);
        recordRuns(time, everyMs, maxMs, () => timings.recordRun('a', 120));
        const slowerMs = recordRuns(
          time,
          everyMs,
          10_000,
          () => timings.recordRun('a', 240),
          () => need() > 230,
        );
        t.true(slowerMs >= 1_000 && slowerMs <= Math.max(2_500, 35 * everyMs), `${slowerMs} ms until slower`);
        recordRuns(time, everyMs, maxMs, () => timings.recordRun('a', 240));
        const fasterMs = recordRuns(
          time,
          everyMs,
          10_000,
          () => timings.recordRun('a', 120),
          () => need() < 130,
        );
        t.true(fasterMs < slowerMs / 2, `${fasterMs} ms until faster`);
      });
    }
  });

  itSerial('should use the nearest smaller call for one that is rare or beyond the sixteenth, and nothing before 20 runs', (t) => {
    const timings = new RunTimings();
    for (let i = 0; i < 20; i++) {
      t.is(timings.needMs('a'), undefined);
      t.is(timings.afterMs('a', 1), undefined);
      for (let ordinal = 1; ordinal <= 18; ordinal++) {
        t.true(timings.recordAfter('a', ordinal, 1_000 - 10 * ordinal));
      }
      t.true(i > 9 || timings.recordAfter('b', 2, 5));
      t.true(timings.recordAfter('b', 1, 70) && timings.recordRun('b', 90) && timings.recordRun('a', 2_000));
    }
    t.deepEqual(
      [1, 16, 17, 400].map((ordinal) => timings.afterMs('a', ordinal)),
      [990, 840, 840, 840],
    );
    t.deepEqual(
      [0, 1, 2].map((ordinal) => timings.afterMs('b', ordinal)),
      [undefined, 70, 70],
    );
  });

  itSerial('should ignore implausible values and report them', (t) => {
    const timings = new RunTimings();
    const entry = new EntryTime();
    for (const ms of [NaN, Infinity, -1, 3_600_001]) {
      t.false(timings.recordRun('a', ms) || timings.recordAfter('a', 1, ms) || entry.record('a', ms), String(ms));
    }
    t.false(timings.recordAfter('a', 0, 5) || timings.recordAfter('a', 1.5, 5));
  });
});

describe('durations of requests at their entry', () => {
  itSerial('should reject what cannot end in time, but not for ever after a slow phase that nobody could outlast', (t) => {
    withTime((time) => {
      const entry = new EntryTime();
      t.true(entry.canEndInTime('a', 1));
      recordRuns(time, 20, 3_000, () => entry.record('a', 850));
      t.false(entry.canEndInTime('a', 800));
      t.true(entry.canEndInTime('a', 850));
      // All callers have 800 ms, so that only admitted requests yield samples, now fast ones.
      const offer = (): boolean => entry.canEndInTime('a', 800) && entry.record('a', 100);
      const lockedMs = recordRuns(time, 20, 20_000, offer, () => (entry.needMs('a') ?? 0) <= 100);
      t.true(lockedMs < 5_000, `${lockedMs} ms`);
    });
  });
});
