/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { TargetRateLimiter, type TargetRecord } from '@gentiandrum/core';
import { ConditionTracker, EventLog } from '@gentiandrum/mesh';
import { describe, itSerial } from '../support/describe.js';
import { VirtualTime } from '../support/virtualTime.js';

interface Fixture {
  time: VirtualTime;
  limiter: TargetRateLimiter;
  tracker: ConditionTracker;
  /** Limits in the order in which they were published. */
  published: (number | undefined)[];
  current: { instance: string; born: number };
  /** Ids of the requests whose responses stated that the target is leaving. */
  leaving: string[];
}

function withTracker(body: (fixture: Fixture) => void): void {
  const time = new VirtualTime();
  const limiter = new TargetRateLimiter();
  const published: (number | undefined)[] = [];
  const current = { instance: 'i-1', born: 5 };
  const leaving: string[] = [];
  const tracker: ConditionTracker = new ConditionTracker({
    limiter,
    incarnation: () => current,
    onPublish: () => {
      published.push(tracker.published);
    },
    onLeaving: (requestId) => leaving.push(requestId),
    events: new EventLog('h', 0, 0),
  });
  try {
    body({ time, limiter, tracker, published, current, leaving });
  } finally {
    time.restore();
  }
}

function recordOf(instance: string, born: number, rateLimit: number): TargetRecord {
  return { host: 'h', zone: 'z', peers: '', service: 's', instance, born, state: 'ready', slots: 1, rateLimit, epoch: 1, revision: 1 };
}

function stateLimit({ tracker }: Fixture, ratePerSecond: number): void {
  tracker.record({ rate: { kind: 'limit', ratePerSecond }, leaving: false }, 'r');
}

describe('condition tracker', () => {
  itSerial('should publish a limit at once, and its changes once a second if they exceed a tenth', (t) => {
    withTracker((fixture) => {
      const { time, tracker, published, limiter } = fixture;
      stateLimit(fixture, 8);
      t.deepEqual(published, [8]);
      for (let i = 0; i < 50; i++) {
        time.runUntil(time.now + 100);
        stateLimit(fixture, i % 2 === 0 ? 8.5 : 7.5);
        tracker.publish();
      }
      t.deepEqual(published, [8]);
      stateLimit(fixture, 4);
      stateLimit(fixture, 2);
      t.is(limiter.statedRate, 2);
      t.deepEqual(published, [8, 4]);
      time.runUntil(time.now + 1_000);
      tracker.publish();
      t.deepEqual(published, [8, 4, 2]);
    });
  });

  itSerial('should publish the end of a limit', (t) => {
    withTracker((fixture) => {
      const { time, tracker, published } = fixture;
      stateLimit(fixture, 8);
      time.runUntil(2_000);
      tracker.recordNoRateLimit('r', 1_000);
      t.deepEqual(published, [8, undefined]);
    });
  });

  itSerial('should restore and publish the limit in the record of an earlier daemon for the same instance only', (t) => {
    withTracker(({ tracker, limiter, published, current }) => {
      tracker.restore(recordOf('i-0', 5, 3));
      tracker.restore(recordOf('i-1', 4, 3));
      t.false(limiter.active);
      tracker.restore(recordOf('i-2', 6, 8));
      t.false(limiter.active);
      Object.assign(current, { instance: 'i-2', born: 6 });
      tracker.applyRestored();
      t.is(limiter.statedRate, 8);
      t.deepEqual(published, [8]);
    });
  });

  itSerial('should prefer what the target states to what an earlier daemon published', (t) => {
    withTracker((fixture) => {
      const { tracker, limiter } = fixture;
      stateLimit(fixture, 2);
      tracker.restore(recordOf('i-1', 5, 50));
      t.is(limiter.statedRate, 2);
    });
  });

  itSerial('should keep the limit when the head of a response states another condition alone', (t) => {
    withTracker((fixture) => {
      const { tracker, limiter } = fixture;
      stateLimit(fixture, 8);
      tracker.record({ rate: { kind: 'none' }, leaving: false, invalidLeaving: '0' }, 'r');
      t.is(limiter.statedRate, 8);
    });
  });

  itSerial('should report that the target is leaving, with its rate limit', (t) => {
    withTracker(({ tracker, limiter, leaving }) => {
      tracker.record({ rate: { kind: 'limit', ratePerSecond: 3 }, leaving: true }, 'r');
      t.deepEqual(leaving, ['r']);
      t.is(limiter.statedRate, 3);
    });
  });

  itSerial('should forget the limit when another instance starts', (t) => {
    withTracker((fixture) => {
      const { tracker, limiter } = fixture;
      stateLimit(fixture, 2);
      tracker.reset();
      t.false(limiter.active);
      t.is(tracker.published, undefined);
    });
  });
});
