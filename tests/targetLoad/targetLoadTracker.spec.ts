/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { TargetRateLimiter } from '@gentiandrum/core';
import { ConditionTracker, EventLog, type PeerCall, statementEvents, TargetLoadTracker } from '@gentiandrum/mesh';
import { describe, itSerial } from '../support/describe.js';
import { VirtualTime } from '../support/virtualTime.js';

class WarningCounter extends EventLog {
  warnings = 0;

  override warn(): void {
    this.warnings++;
  }
}

describe('tracker of the load that a target states', () => {
  // Guards against a log that a target with a fault fills, and against figures that reports can't carry.
  itSerial('should log one invalid value for each incarnation, and report the slowness as a whole number', (t) => {
    const time = new VirtualTime();
    const events = new WarningCounter('h', 0, 0);
    const tracker = new TargetLoadTracker(() => 'i-1', events);
    tracker.record('1,2', 'r1');
    tracker.record('x', 'r2');
    t.is(tracker.reportedSlowness, undefined);
    tracker.record('1,2,3,400', 'r3');
    time.runUntil(10);
    t.is(tracker.reportedSlowness, 398);
    tracker.reset();
    t.is(tracker.reportedSlowness, undefined);
    tracker.record('x', 'r4');
    t.is(events.warnings, 2);
    t.deepEqual([tracker.state.statements, tracker.state.invalid], [4, 3]);
    time.restore();
  });

  // Guards against a late response of an earlier incarnation that makes the current one count as slow.
  itSerial('should get no statements of an earlier incarnation', (t) => {
    const events = new EventLog('h', 0, 0);
    const tracker = new TargetLoadTracker(() => 'i-1', events);
    const condition = new ConditionTracker({
      limiter: new TargetRateLimiter(),
      incarnation: () => ({ instance: 'i-1', born: 1 }),
      onPublish: () => undefined,
      onLeaving: () => undefined,
      events,
    });
    let current = true;
    const { onLoad } = statementEvents(() => current, condition, tracker);
    const call = { requestId: 'r1' } as PeerCall;
    onLoad(call, '1,2,3,400');
    current = false;
    onLoad(call, '1,2,3,800');
    t.is(tracker.state.statements, 1);
  });
});
