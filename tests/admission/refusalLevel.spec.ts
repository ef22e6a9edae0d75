/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { GateLevel, isCapacityRefusal, type NotRunReason, SlotGate } from '@gentiandrum/core';
import { describe, it } from '../support/describe.js';

/** All reasons; the type requires an entry for each new one. */
const kReasons: Record<NotRunReason, boolean> = {
  overloaded: true,
  wait_too_long: true,
  no_connection: true,
  rate_limited: true,
  not_accepting: false,
  unreachable: false,
  repeat_budget: false,
  too_late: false,
  target_refused: false,
  wrong_instance: false,
  key_not_valid: false,
  suspected: false,
  quarantined: false,
  cancelled: false,
  no_memory: false,
};
const kStepMs = 100;

/** Returns the level after `steps` in which a share of the arrivals is refused and the slots look idle. */
function simulateRefusals(refusedShare: number, steps: number, meanMs: number): number {
  const level = new GateLevel();
  const perStep = 20;
  for (let step = 0; step < steps; step++) {
    for (let i = 0; i < perStep; i++) {
      level.recordArrival(100);
      if (i < refusedShare * perStep) {
        level.recordRefusal(meanMs);
      }
    }
    level.step(0, kStepMs);
  }
  return level.current;
}

describe('level of a gate that refuses calls', () => {
  it('should classify each reason as a lack of capacity or not', (t) => {
    for (const [reason, expected] of Object.entries(kReasons)) {
      t.is(isCapacityRefusal(reason as NotRunReason), expected, reason);
    }
  });

  it('should rise while more than a tenth of the arrivals is refused for lack of capacity and the slots look idle', (t) => {
    t.true(simulateRefusals(0.2, 10, 0) > 0);
    t.true(simulateRefusals(0.6, 10, 0) > simulateRefusals(0.2, 10, 0));
    t.is(simulateRefusals(0.05, 10, 0), 0);
  });

  it('should depend on the work alone while the slots are busy', (t) => {
    const level = new GateLevel();
    const workOnlyLevel = new GateLevel();
    for (let step = 0; step < 20; step++) {
      for (let i = 0; i < 20; i++) {
        level.recordArrival(100);
        workOnlyLevel.recordArrival(100);
        if (i < 4) {
          level.recordRefusal(1);
          workOnlyLevel.recordWork(1);
        }
      }
      level.recordWork(95);
      workOnlyLevel.recordWork(95);
      level.step(10, kStepMs);
      workOnlyLevel.step(10, kStepMs);
    }
    t.is(level.current, workOnlyLevel.current);
  });

  it('should fall to 0 within seconds without refusals', (t) => {
    const level = new GateLevel();
    for (let step = 0; step < 50; step++) {
      for (let i = 0; i < 20; i++) {
        level.recordArrival(100);
        if (i < (step < 10 ? 10 : 0)) {
          level.recordRefusal(0);
        }
      }
      level.step(0, kStepMs);
    }
    t.is(level.current, 0);
  });
});

describe('limit of a gate', () => {
  it('should be the minimum of the slots and the current connections', (t) => {
    let connections = 100;
    const gate = new SlotGate({ onStart: () => undefined, onRefuse: () => undefined }, () => connections);
    gate.open(200, 0);
    t.is(gate.limit, 100);
    connections = 500;
    t.is(gate.limit, 190);
  });

  it('should report why a closed gate refuses a call', (t) => {
    const gate = new SlotGate({ onStart: () => undefined, onRefuse: () => undefined });
    t.deepEqual(gate.offer({ id: 1, waitUntil: 0 }), { kind: 'refused', reason: 'not_accepting' });
    gate.open(2, 0);
    gate.close('unreachable');
    t.deepEqual(gate.offer({ id: 2, waitUntil: 0 }), { kind: 'refused', reason: 'unreachable' });
  });
});
