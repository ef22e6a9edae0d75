/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { type ErrorKind, Gate, type GateEvents, kCohorts, kOpenLevel, type QueuedCall, rankOf } from '@gentiandrum/core';
import fc from 'fast-check';
import { describe, itSerial } from '../support/describe.js';
import { withFakeClock } from '../support/fakeClock.js';

const kWarm = -Infinity;
const kSeed = 11;

interface EventRecorder extends GateEvents<QueuedCall> {
  started: string[];
  shed: [string, ErrorKind][];
}

function createRecorder(): EventRecorder {
  const started: string[] = [];
  const shed: [string, ErrorKind][] = [];
  return {
    started,
    shed,
    onStart: (call) => started.push(call.id),
    onShed: (call, reason) => shed.push([call.id, reason]),
  };
}

function call(id: string, importance: number, more: Partial<QueuedCall> = {}): QueuedCall {
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
  itSerial('should start calls up to the announced slots and queue the rest', (t) => {
    withFakeClock(() => {
      const gate = new Gate(2, () => 'goodput', createRecorder(), kWarm);
      t.deepEqual(
        [gate.offer(call('1', 1)), gate.offer(call('2', 1)), gate.offer(call('3', 1))].map(({ kind }) => kind),
        ['started', 'started', 'queued'],
      );
    });
  });

  itSerial('should start the most important waiting call first, and deeper calls before root calls of the same rank', (t) => {
    withFakeClock(() => {
      const recorder = createRecorder();
      const gate = new Gate(1, () => 'goodput', recorder, kWarm);
      gate.offer(call('running', 3));
      gate.offer(call('low', 3));
      gate.offer(call('fresh', 1));
      gate.offer(call('deep', 1, { depth: 4 }));
      gate.offer(call('critical', 0));
      for (const id of ['running', 'critical', 'deep', 'fresh']) {
        gate.callEnded(id, { kind: 'completed', totalMs: 1, selfMs: 1 });
      }
      t.deepEqual(recorder.started, ['critical', 'deep', 'fresh', 'low']);
    });
  });

  itSerial('should never start a call whose deadline passed in the queue', (t) => {
    withFakeClock((clock) => {
      const recorder = createRecorder();
      const gate = new Gate(1, () => 'goodput', recorder, kWarm);
      gate.offer(call('running', 1));
      gate.offer(call('late', 1, { deadline: 50 }));
      clock.tick(60);
      gate.callEnded('running', { kind: 'completed', totalMs: 60, selfMs: 60 });
      t.deepEqual(recorder.started, []);
      t.deepEqual(recorder.shed, [['late', 'deadline_before_start']]);
    });
  });

  itSerial('should never start a call that was cancelled in the queue', (t) => {
    withFakeClock(() => {
      const recorder = createRecorder();
      const gate = new Gate(1, () => 'goodput', recorder, kWarm);
      gate.offer(call('running', 1));
      gate.offer(call('gone', 1));
      t.true(gate.cancel('gone'));
      t.false(gate.cancel('running'));
      gate.callEnded('running', { kind: 'completed', totalMs: 1, selfMs: 1 });
      t.deepEqual(recorder.started, []);
    });
  });

  itSerial('should shed waiting calls when it closes, and keep running calls', (t) => {
    withFakeClock(() => {
      const recorder = createRecorder();
      const gate = new Gate(1, () => 'goodput', recorder, kWarm);
      gate.offer(call('running', 1));
      gate.offer(call('waiting', 1));
      gate.close('target_leaving');
      t.deepEqual(recorder.shed, [['waiting', 'target_leaving']]);
      t.deepEqual(gate.offer(call('new', 0)), { kind: 'refused', reason: 'target_leaving' });
      t.is(gate.inFlight, 1);
    });
  });

  itSerial('should limit a cold target for five seconds when no call completes', (t) => {
    withFakeClock((clock) => {
      const gate = new Gate(100, () => 'goodput', createRecorder(), 0);
      t.is(gate.limit, 30);
      clock.tick(4_900);
      t.is(gate.limit, 30);
      clock.tick(100);
      t.is(gate.limit, 100);
    });
  });

  itSerial('should take the mean duration from all of the first calls, not mostly from the very first', (t) => {
    withFakeClock(() => {
      const gate = new Gate(50, () => 'goodput', createRecorder(), kWarm);
      for (let i = 0; i < 20; i++) {
        gate.offer(call(String(i), 1));
        gate.callEnded(String(i), { kind: 'completed', totalMs: i === 0 ? 3_000 : 1, selfMs: 1 });
      }
      t.true(Math.abs(gate.meanMs - (3_000 + 19) / 20) < 1e-6, String(gate.meanMs));
    });
  });

  itSerial('should never shed a call while a less important one waits', (t) => {
    const arrival = fc.record({
      importance: fc.nat(3),
      cohort: fc.nat(kCohorts - 1),
      gapMs: fc.nat(20),
      remainingMs: fc.integer({ min: 10, max: 400 }),
    });
    fc.assert(
      fc.property(fc.array(arrival, { minLength: 20, maxLength: 200 }), (arrivals) => {
        withFakeClock((clock) => {
          const waiting = new Map<string, QueuedCall>();
          const running: string[] = [];
          const worstWaitingRank = (): number => Math.max(-1, ...[...waiting.values()].map(({ rank }) => rank));
          const events: GateEvents<QueuedCall> = {
            onStart: ({ id }) => {
              waiting.delete(id);
              running.push(id);
            },
            onShed: ({ id, rank }, reason) => {
              waiting.delete(id);
              if (reason === 'overloaded' && rank < worstWaitingRank()) {
                throw new Error(`got rank ${rank} shed, expected rank ${worstWaitingRank()} first`);
              }
            },
          };
          const gate = new Gate(2, () => 'goodput', events, kWarm);
          arrivals.forEach(({ importance, cohort, gapMs, remainingMs }, i) => {
            clock.tick(gapMs);
            const ended = i % 3 === 0 ? running.shift() : undefined;
            if (ended !== undefined) {
              gate.callEnded(ended, { kind: 'completed', totalMs: 30, selfMs: 30 });
            }
            const offered = call(String(i), importance, {
              rank: rankOf({ importance, cohort }),
              deadline: performance.now() + remainingMs,
            });
            waiting.set(offered.id, offered);
            const decision = gate.offer(offered);
            if (decision.kind !== 'queued') {
              waiting.delete(offered.id);
            }
            if (decision.kind === 'started') {
              running.push(offered.id);
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
  // Guards against refusals of less urgent calls by an idle target, for what its gate had learned while the target announced no slots.
  itSerial('should be open when a target that announced no slots announces some again', (t) => {
    withFakeClock((clock) => {
      const gate = new Gate(50, () => 'goodput', createRecorder(), performance.now());
      gate.offer(call('slow', 3));
      clock.tick(600);
      gate.callEnded('slow', { kind: 'completed', totalMs: 600, selfMs: 600 });
      gate.announce(0);
      for (const id of ['shed-1', 'shed-2']) {
        gate.offer(call(id, 3, { deadline: performance.now() + 2_000 }));
        clock.tick(10);
        gate.callEnded(id, { kind: 'shed_by_target' });
      }
      t.is(gate.level, kOpenLevel);
      gate.announce(50);
      clock.tick(100);
      t.is(gate.level, kOpenLevel);
      t.is(gate.offer(call('low', 3)).kind, 'started');
    });
  });

  // Guards against an idle target that refuses less urgent calls again and again, because one stalled call raised the estimate of its durations.
  itSerial('should reopen within a second while calls use few of the slots, also after a call that was stalled', (t) => {
    withFakeClock((clock) => {
      const gate = new Gate(50, () => 'goodput', createRecorder(), kWarm);
      const run = (id: string, ms: number, result: 'completed' | 'shed_by_target'): void => {
        gate.offer(call(id, id.startsWith('low') ? 3 : 0, { deadline: performance.now() + 10_000 }));
        clock.tick(ms);
        gate.callEnded(id, result === 'completed' ? { kind: 'completed', totalMs: ms, selfMs: ms } : { kind: 'shed_by_target' });
      };
      run('stalled', 3_000, 'completed');
      for (let i = 0; i < 10; i++) {
        run(`low-shed-${i}`, 10, 'shed_by_target');
      }
      clock.tick(100);
      t.true(gate.level < kOpenLevel);
      for (let i = 0; i < 20; i++) {
        run(`critical-${i}`, 1, 'completed');
        run(`low-${i}`, 1, 'completed');
        clock.tick(48);
      }
      t.is(gate.level, kOpenLevel);
    });
  });

  itSerial('should keep what it learned from overload while the target announces slots', (t) => {
    withFakeClock((clock) => {
      const gate = new Gate(4, () => 'goodput', createRecorder(), kWarm);
      overload(gate, clock, 100);
      const { level } = gate;
      gate.announce(5);
      t.true(level < kOpenLevel);
      t.is(gate.level, level);
    });
  });

  itSerial('should fall under sustained overload and shed the least important calls first', (t) => {
    withFakeClock((clock) => {
      const gate = new Gate(4, () => 'goodput', createRecorder(), kWarm);
      overload(gate, clock, 100);
      t.true(gate.level < kOpenLevel);
      t.is(gate.offer(call('low', 3)).kind, 'refused');
      t.not(gate.offer(call('critical', 0)).kind, 'refused');
    });
  });

  itSerial('should reopen within a second of free capacity, and sooner when recovery is favoured', (t) => {
    const timeToOpen = (favour: 'goodput' | 'recovery'): number =>
      withFakeClock((clock) => {
        const gate = new Gate(4, () => favour, createRecorder(), kWarm);
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

/** Overloads a gate of four slots for `rounds` steps of 10 ms. Each call runs for 40 ms. */
function overload(gate: Gate<QueuedCall>, clock: { tick: (ms: number) => number }, rounds: number): void {
  const offeredAt = new Map<string, number>();
  for (let round = 0; round < rounds; round++) {
    clock.tick(10);
    for (const [id, at] of offeredAt) {
      if (performance.now() - at >= 40 && gate.runningCall(id)) {
        gate.callEnded(id, { kind: 'completed', totalMs: 40, selfMs: 40 });
        offeredAt.delete(id);
      }
    }
    for (let importance = 0; importance < 4; importance++) {
      const id = `${round}-${importance}`;
      gate.offer(call(id, importance));
      offeredAt.set(id, performance.now());
    }
  }
  for (const id of offeredAt.keys()) {
    gate.callEnded(id, { kind: 'completed', totalMs: 40, selfMs: 40 });
    gate.cancel(id);
  }
}
