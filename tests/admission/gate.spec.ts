/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { type ErrorKind, Gate, type GateEvents, kCohorts, kOpenLevel, type Queued, rankOf } from '@gentiandrum/core';
import fc from 'fast-check';
import { describe, itAlone } from '../support/describe.js';
import { withHeldClock } from '../support/heldClock.js';

const kWarm = -Infinity;
const kSeed = 11;

interface Log extends GateEvents<Queued> {
  started: string[];
  shed: [string, ErrorKind][];
}

function makeLog(): Log {
  const started: string[] = [];
  const shed: [string, ErrorKind][] = [];
  return {
    started,
    shed,
    onStart: (call) => started.push(call.id),
    onShed: (call, reason) => shed.push([call.id, reason]),
  };
}

function call(id: string, importance: number, more: Partial<Queued> = {}): Queued {
  return {
    id,
    rank: rankOf({ importance, cohort: 0 }),
    depth: 0,
    deadline: performance.now() + 1_000,
    queuedAt: performance.now(),
    ...more,
  };
}

describe('a gate', () => {
  itAlone('should start calls up to the announced slots and queue the rest', (t) => {
    withHeldClock(() => {
      const gate = new Gate(2, () => 'goodput', makeLog(), kWarm);
      t.deepEqual(
        [gate.offer(call('1', 1)), gate.offer(call('2', 1)), gate.offer(call('3', 1))].map(({ kind }) => kind),
        ['started', 'started', 'queued'],
      );
    });
  });

  itAlone('should start the most important waiting call first, and deeper ones before fresh ones', (t) => {
    withHeldClock(() => {
      const log = makeLog();
      const gate = new Gate(1, () => 'goodput', log, kWarm);
      gate.offer(call('running', 3));
      gate.offer(call('low', 3));
      gate.offer(call('fresh', 1));
      gate.offer(call('deep', 1, { depth: 4 }));
      gate.offer(call('critical', 0));
      for (const id of ['running', 'critical', 'deep', 'fresh']) {
        gate.ended(id, { kind: 'completed', totalMs: 1, ownMs: 1 });
      }
      t.deepEqual(log.started, ['critical', 'deep', 'fresh', 'low']);
    });
  });

  itAlone('should never start a call whose deadline passed while it waited', (t) => {
    withHeldClock((clock) => {
      const log = makeLog();
      const gate = new Gate(1, () => 'goodput', log, kWarm);
      gate.offer(call('running', 1));
      gate.offer(call('late', 1, { deadline: 50 }));
      clock.tick(60);
      gate.ended('running', { kind: 'completed', totalMs: 60, ownMs: 60 });
      t.deepEqual(log.started, []);
      t.deepEqual(log.shed, [['late', 'deadline_before_start']]);
    });
  });

  itAlone('should never start a call that was cancelled while it waited', (t) => {
    withHeldClock(() => {
      const log = makeLog();
      const gate = new Gate(1, () => 'goodput', log, kWarm);
      gate.offer(call('running', 1));
      gate.offer(call('gone', 1));
      t.true(gate.cancel('gone'));
      t.false(gate.cancel('running'));
      gate.ended('running', { kind: 'completed', totalMs: 1, ownMs: 1 });
      t.deepEqual(log.started, []);
    });
  });

  itAlone('should hand back what waits when it closes, and let what runs end', (t) => {
    withHeldClock(() => {
      const log = makeLog();
      const gate = new Gate(1, () => 'goodput', log, kWarm);
      gate.offer(call('running', 1));
      gate.offer(call('waiting', 1));
      gate.close('target_leaving');
      t.deepEqual(log.shed, [['waiting', 'target_leaving']]);
      t.deepEqual(gate.offer(call('new', 0)), { kind: 'refused', reason: 'target_leaving' });
      t.is(gate.inFlight, 1);
    });
  });

  itAlone('should hold a cold target back for some seconds when nothing tells that it is warm', (t) => {
    withHeldClock((clock) => {
      const gate = new Gate(100, () => 'goodput', makeLog(), 0);
      t.is(gate.limit, 30);
      clock.tick(4_900);
      t.is(gate.limit, 30);
      clock.tick(100);
      t.is(gate.limit, 100);
    });
  });

  itAlone('should never shed a call while it holds a less important one that waits', (t) => {
    const arrival = fc.record({
      importance: fc.nat(3),
      cohort: fc.nat(kCohorts - 1),
      gap: fc.nat(20),
      life: fc.integer({ min: 10, max: 400 }),
    });
    fc.assert(
      fc.property(fc.array(arrival, { minLength: 20, maxLength: 200 }), (arrivals) => {
        withHeldClock((clock) => {
          const waiting = new Map<string, Queued>();
          const running: string[] = [];
          const worst = (): number => Math.max(-1, ...[...waiting.values()].map(({ rank }) => rank));
          const events: GateEvents<Queued> = {
            onStart: ({ id }) => {
              waiting.delete(id);
              running.push(id);
            },
            onShed: ({ id, rank }, reason) => {
              waiting.delete(id);
              if (reason === 'overloaded' && rank < worst()) {
                throw new Error(`evicted rank ${rank} before rank ${worst()}`);
              }
            },
          };
          const gate = new Gate(2, () => 'goodput', events, kWarm);
          arrivals.forEach(({ importance, cohort, gap, life }, i) => {
            clock.tick(gap);
            const ended = i % 3 === 0 ? running.shift() : undefined;
            if (ended !== undefined) {
              gate.ended(ended, { kind: 'completed', totalMs: 30, ownMs: 30 });
            }
            const made = call(String(i), importance, { rank: rankOf({ importance, cohort }), deadline: performance.now() + life });
            waiting.set(made.id, made);
            const decision = gate.offer(made);
            if (decision.kind !== 'queued') {
              waiting.delete(made.id);
            }
            if (decision.kind === 'started') {
              running.push(made.id);
            }
          });
        });
      }),
      { seed: kSeed, numRuns: 200 },
    );
    t.pass();
  });
});

describe('an admission level', () => {
  itAlone('should tighten under lasting overload and shed the least important first', (t) => {
    withHeldClock((clock) => {
      const gate = new Gate(4, () => 'goodput', makeLog(), kWarm);
      overload(gate, clock, 100);
      t.true(gate.level < kOpenLevel);
      t.is(gate.offer(call('low', 3)).kind, 'refused');
      t.not(gate.offer(call('critical', 0)).kind, 'refused');
    });
  });

  itAlone('should open again within a second of spare capacity, sooner when recovery is favoured', (t) => {
    const timeToOpen = (favour: 'goodput' | 'recovery'): number =>
      withHeldClock((clock) => {
        const gate = new Gate(4, () => favour, makeLog(), kWarm);
        overload(gate, clock, 100);
        const begin = performance.now();
        while (gate.level < kOpenLevel && performance.now() - begin < 5_000) {
          clock.tick(100);
        }
        return performance.now() - begin;
      });
    t.true(timeToOpen('goodput') <= 1_000, String(timeToOpen('goodput')));
    t.true(timeToOpen('recovery') < timeToOpen('goodput'));
  });
});

/** Offers far more than the gate's four slots can end, for some windows; what runs ends after 40 ms. */
function overload(gate: Gate<Queued>, clock: { tick: (ms: number) => number }, rounds: number): void {
  const slotTimes = new Map<string, number>();
  for (let round = 0; round < rounds; round++) {
    clock.tick(10);
    for (const [id, at] of slotTimes) {
      if (performance.now() - at >= 40 && gate.started(id)) {
        gate.ended(id, { kind: 'completed', totalMs: 40, ownMs: 40 });
        slotTimes.delete(id);
      }
    }
    for (let importance = 0; importance < 4; importance++) {
      const id = `${round}-${importance}`;
      gate.offer(call(id, importance));
      slotTimes.set(id, performance.now());
    }
  }
  for (const id of slotTimes.keys()) {
    gate.ended(id, { kind: 'completed', totalMs: 40, ownMs: 40 });
    gate.cancel(id);
  }
}
