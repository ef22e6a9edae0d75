/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import type { Clock } from '@sinonjs/fake-timers';
import { ChainModel } from '@gentiandrum/core';
import { ChainControl, createOfferedCall, type PeerCall } from '@gentiandrum/mesh';
import { meshSettingsSchema } from '@gentiandrum/protocol';
import { describe, itSerial } from '../support/describe.js';
import { withFakeClock } from '../support/fakeClock.js';

const kAllOn = meshSettingsSchema.shape.load.parse({ chainTime: true, callParents: true });
const kAllOff = meshSettingsSchema.shape.load.parse({});
const kTimeoutMs = 800;
/** Duration of a run: 10 ms, a call of 50 ms, and 40 ms after it. */
const kBeforeMs = 10;
const kCallMs = 50;
const kAfterMs = 40;

const kCall: PeerCall = {
  route: 'root',
  service: 'front',
  waitMs: 300,
  remainingMs: kTimeoutMs,
  repeat: false,
  inner: false,
  idempotent: true,
  rank: 7,
  instance: 'i-1',
  callerService: 'front',
  workspace: undefined,
  suspicion: undefined,
  requestId: 'r1',
  method: 'GET',
  path: '/',
  headers: [],
  body: Buffer.alloc(0),
};

interface Fixture {
  clock: Clock;
  control: ChainControl;
  /** Runs one request with one call to the internal route; returns what was known about the call. */
  runOnce(call?: Partial<PeerCall>): ReturnType<ChainControl['chainOf']>;
}

function withControl(load: typeof kAllOn, body: (fixture: Fixture) => void): void {
  withFakeClock((clock) => {
    const chains = new ChainModel();
    chains.mergeInternalRoutes({ leaf: true, root: false });
    chains.restore({ calls: { root: { leaf: 1 } }, inner: {} });
    const control = new ChainControl({ load, chains });
    const runOnce = (changed: Partial<PeerCall> = {}): ReturnType<ChainControl['chainOf']> => {
      const call = { ...kCall, ...changed };
      const run = control.runStarted(
        createOfferedCall(1, call, performance.now(), () => undefined),
        call.remainingMs,
      );
      clock.tick(kBeforeMs);
      const chain = control.chainOf('leaf', call.remainingMs - kBeforeMs);
      clock.tick(kCallMs);
      if (chain.kind === 'known') {
        chain.ended();
      }
      clock.tick(kAfterMs);
      control.runEnded(run, true);
      clock.tick(50);
      return chain;
    };
    body({ clock, control, runOnce });
  });
}

function warmUp(fixture: Fixture): void {
  for (let i = 0; i < 100; i++) {
    // Different time limits, because a single one could be the limit of the called route.
    fixture.runOnce({ remainingMs: kTimeoutMs - 7 * (i % 13) });
  }
}

describe('mesh', () => {
  describe('chain control', () => {
    itSerial('should give a call the rank of the request that caused it, and the time that its run needs afterwards', (t) => {
      withControl(kAllOn, (fixture) => {
        t.is(fixture.runOnce().kind, 'unknown');
        warmUp(fixture);
        const chain = fixture.runOnce({ rank: 3 });
        if (chain.kind !== 'known') {
          t.fail(`expected a known chain, got ${chain.kind}`);
          return;
        }
        t.is(chain.rank, 3);
        t.is(Math.round(chain.need?.afterMs ?? 0), kAfterMs);
      });
    });

    itSerial('should pass on what the runs further up need, so that a call far down does not use up the time of the root', (t) => {
      withControl(kAllOn, (fixture) => {
        warmUp(fixture);
        const chain = fixture.runOnce({ chain: { afterMs: 200, gatesAfter: 5 } });
        t.deepEqual(chain.kind === 'known' && chain.need && { ms: Math.round(chain.need.afterMs), gates: chain.need.gatesAfter }, {
          ms: 200 + kAfterMs,
          gates: 5,
        });
      });
    });

    itSerial('should refuse a call whose run has ended, so that no target works for nobody', (t) => {
      withControl(kAllOn, (fixture) => {
        warmUp(fixture);
        const run = fixture.control.runStarted(
          createOfferedCall(1, kCall, performance.now(), () => undefined),
          kTimeoutMs,
        );
        fixture.clock.tick(kBeforeMs);
        fixture.control.runEnded(run, false);
        t.is(fixture.control.chainOf('leaf', kTimeoutMs - kBeforeMs).kind, 'ended');
      });
    });

    itSerial('should refuse a call at the gate whose chain cannot end in time, and bound the wait of the others', (t) => {
      withControl(kAllOn, (fixture) => {
        warmUp(fixture);
        const at = (remainingMs: number, afterMs: number): ReturnType<ChainControl['timeOf']> =>
          fixture.control.timeOf({ ...kCall, remainingMs, inner: true, chain: { afterMs, gatesAfter: 3 } });
        t.is(at(300, 250).kind, 'too_late');
        const fits = at(300, 100);
        t.true(fits.kind === 'fits' && fits.waitMs > 0 && fits.waitMs <= 100 / 4);
      });
    });

    itSerial('should leave waits and ranks as they are while it is switched off', (t) => {
      withControl(kAllOff, (fixture) => {
        warmUp(fixture);
        t.is(fixture.runOnce().kind, 'unknown');
        t.deepEqual(fixture.control.timeOf({ ...kCall, remainingMs: 1 }), { kind: 'fits', waitMs: kCall.waitMs });
        t.true(fixture.control.canEndInTime('root', 1));
      });
    });
  });
});
