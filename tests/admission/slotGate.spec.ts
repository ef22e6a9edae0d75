/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { type GatedCall, type GateRefusal, SlotGate } from '@gentiandrum/core';
import { describe, itSerial } from '../support/describe.js';
import { VirtualTime } from '../support/virtualTime.js';

const kLongWaitMs = 10_000;

interface GateFixture {
  time: VirtualTime;
  gate: SlotGate<GatedCall>;
  started: number[];
  refused: [number, GateRefusal][];
  offer: (id: number, waitMs?: number) => string;
}

function withGate(body: (fixture: GateFixture) => void): void {
  const time = new VirtualTime();
  const started: number[] = [];
  const refused: [number, GateRefusal][] = [];
  const gate = new SlotGate<GatedCall>({
    onStart: ({ id }) => started.push(id),
    onRefuse: ({ id }, reason) => refused.push([id, reason]),
  });
  const offer = (id: number, waitMs = kLongWaitMs): string => gate.offer({ id, waitUntil: time.now + waitMs }).kind;
  try {
    body({ time, gate, started, refused, offer });
  } finally {
    time.restore();
  }
}

describe('slot gate', () => {
  itSerial('should refuse all calls until it is opened', (t) => {
    withGate(({ offer }) => {
      t.is(offer(1), 'refused');
    });
  });

  itSerial('should never run more calls than the slots allow, and start waiting calls by their latest start time', (t) => {
    withGate(({ gate, started, offer }) => {
      gate.open(11, 0);
      const kinds = Array.from({ length: 12 }, (_, i) => offer(i));
      t.is(kinds.filter((kind) => kind === 'started').length, 10);
      t.is(gate.inFlight, 10);
      offer(20, 100);
      gate.callEnded(0, 5);
      gate.callEnded(1, 5);
      t.deepEqual(started, [20, 10]);
      t.is(gate.inFlight, 10);
    });
  });

  itSerial('should refuse a call at once when it could not start in time', (t) => {
    withGate(({ gate, offer }) => {
      gate.open(2, 0);
      offer(1);
      gate.callEnded(1, 400);
      offer(2);
      t.is(offer(3, 500), 'queued');
      t.is(offer(4, 500), 'refused');
    });
  });

  itSerial('should refuse calls that waited too long, and all waiting calls when it closes', (t) => {
    withGate(({ time, gate, refused, offer }) => {
      gate.open(1, 0);
      offer(1);
      offer(2, 50);
      offer(3, kLongWaitMs);
      time.runUntil(60);
      gate.expire();
      t.deepEqual(refused, [[2, 'wait_too_long']]);
      gate.close();
      t.deepEqual(refused[1], [3, 'not_accepting']);
      t.is(gate.inFlight, 1);
      t.is(gate.queued, 0);
    });
  });

  itSerial('should withdraw only waiting calls', (t) => {
    withGate(({ gate }) => {
      gate.open(1, 0);
      const running = { id: 1, waitUntil: kLongWaitMs };
      const waiting = { id: 2, waitUntil: kLongWaitMs };
      gate.offer(running);
      gate.offer(waiting);
      t.false(gate.withdraw(running));
      t.true(gate.withdraw(waiting));
      t.is(gate.queued, 0);
    });
  });

  itSerial('should not extend the warm-up of a target when it is reopened', (t) => {
    withGate(({ time, gate }) => {
      gate.open(100, 3_000);
      time.runUntil(2_900);
      gate.close('unreachable');
      gate.open(100, 3_000);
      t.is(gate.limit, 71);
      time.runUntil(3_000);
      t.is(gate.limit, 95);
    });
  });

  itSerial('should use fewer slots while the target is cold', (t) => {
    withGate(({ time, gate }) => {
      gate.open(100, 3_000);
      t.is(gate.limit, 47);
      time.runUntil(2_500);
      t.is(gate.limit, 71);
      time.runUntil(3_000);
      t.is(gate.limit, 95);
    });
  });

  itSerial('should refuse the least urgent call of known rank for a more urgent one, or lower-priority chains run in its place', (t) => {
    /** Offers a call to a full queue and returns the refused one, 9 for itself. */
    const refusedOf = (waiting: Partial<GatedCall>[], call: Partial<GatedCall>): number | undefined => {
      let victim: number | undefined;
      withGate(({ time, gate, refused, offer }) => {
        gate.open(2, 0);
        offer(100);
        gate.callEnded(100, 100);
        offer(101);
        const waitUntil = time.now + 100 * waiting.length;
        waiting.forEach((other, id) => t.is(gate.offer({ id, waitUntil, ...other }).kind, 'queued'));
        const { kind } = gate.offer({ id: 9, waitUntil, ...call });
        victim = kind === 'refused' ? 9 : refused[0]?.[0];
        t.is(gate.queued, waiting.length);
      });
      return victim;
    };
    const inner = true;
    t.is(refusedOf([{ rank: 1, inner }, { rank: 3, inner }, { rank: 2 }, { inner }], { rank: 1, inner }), 1);
    t.is(refusedOf([{ rank: 2, inner }, { inner }], { rank: 0 }), 0);
    t.is(refusedOf([{ rank: 2, inner }, { rank: 2 }], { rank: 1, inner }), 1);
    t.is(refusedOf([{ rank: 2, inner }, { rank: 2 }], { rank: 2, inner }), 9);
    t.is(refusedOf([{ rank: 2, inner }, { rank: 2 }], { inner }), 9);
    t.is(refusedOf([{ inner }, {}], { rank: 0, inner }), 9);
  });
});
