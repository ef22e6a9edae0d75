/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against an idle target that refuses calls because calls cut short before, whose durations include the check for a crash. */

import { type ForwardResult, Gate, gateCall, type GateCall, RetryLedger, RootFilter } from '@gentiandrum/core';
import type { OfferTerms } from '@gentiandrum/protocol';
import { describe, itSerial } from '../support/describe.js';
import { withFakeClock } from '../support/fakeClock.js';

const kSlots = 4;
const kCallMs = 10;
/** Longest time for which the check for a crash repeats its connections. */
const kCheckMs = 500;

interface GateUnderTest {
  gate: Gate<GateCall>;
  /** Passes one call through the gate, whose target gives `result` after a time. */
  run: (ms: number, result: ForwardResult) => void;
}

function withGate<T>(fn: (under: GateUnderTest) => T): T {
  return withFakeClock((clock) => {
    const gate = new Gate<GateCall>(kSlots, () => 'goodput', { onStart: () => undefined, onShed: () => undefined }, -Infinity);
    const ctx = {
      gate,
      target: 'b1-target',
      ledger: new RetryLedger(),
      downstream: new RootFilter(() => 'goodput'),
      seenAttempts: { add: () => true },
      logDecision: () => undefined,
    };
    let calls = 0;
    const run = (ms: number, result: ForwardResult): void => {
      const terms = { attempt: String(calls++), target: ctx.target, service: 'beta', className: 'read', allowance: 0, remainingMs: 5_000 };
      const call = gateCall({ ...terms, importance: 0, cohort: 0, depth: 0 } as OfferTerms, {} as never, ctx);
      call.next(undefined);
      clock.tick(ms);
      call.next(result);
    };
    return fn({ gate, run });
  });
}

describe('a gate whose calls are cut short', () => {
  const answered: ForwardResult = { kind: 'answered', answer: { status: 200, headers: {}, body: Buffer.alloc(0) } };
  for (const cut of [{ kind: 'truncated' }, { kind: 'lost', written: true }] as const) {
    itSerial(`should not count the duration of a ${cut.kind} call in the mean`, (t) => {
      const meanMs = withGate(({ gate, run }) => {
        run(kCallMs, answered);
        run(kCheckMs, cut);
        return gate.meanMs;
      });
      t.is(meanMs, kCallMs);
    });
  }

  itSerial('should count a call that takes until its deadline in the mean', (t) => {
    const meanMs = withGate(({ gate, run }) => {
      run(kCallMs, answered);
      run(kCheckMs, { kind: 'timeout' });
      return gate.meanMs;
    });
    t.true(meanMs > kCallMs);
  });
});
