/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { monotonicMs, SlotGate } from '@gentiandrum/core';
import { type ChainOutcome, runChainCase } from '../chainLoad/chainLoad.js';
import type { ChainSwitches } from '../chainLoad/chainNetwork.js';
import { describe, it, itSerial } from '../support/describe.js';
import { withFakeClock } from '../support/fakeClock.js';

const kOn: ChainSwitches = { chainTime: true, callParents: true };
const kOff: ChainSwitches = { chainTime: false, callParents: false };
const kCases = [1, 4, 8].flatMap((calls) => [1.2, 1.6].map((load) => ({ calls, load })));
/** With the second one, no run of 8 calls succeeded for 12 s before waits were bounded without known times. */
const kSeeds = [3, 53];

interface WaitingCall {
  id: number;
  waitUntil: number;
  chainUntil?: number;
}

/** Offers calls to a gate whose only slot is in use; returns the ids of those that started and of those that were refused. */
function queueBehindOne(calls: WaitingCall[], advance: (gate: SlotGate<WaitingCall>) => void): { started: number[]; refused: number[] } {
  const started: number[] = [];
  const refused: number[] = [];
  const gate = new SlotGate<WaitingCall>({
    onStart: ({ id }) => started.push(id),
    onRefuse: ({ id }) => refused.push(id),
  });
  gate.open(1, 0);
  gate.offer({ id: 0, waitUntil: monotonicMs() + 1_000 });
  calls.forEach((call) => gate.offer(call));
  advance(gate);
  return { started, refused };
}

describe('chain load', () => {
  for (const { calls, load } of kCases) {
    itSerial(`should waste at most a tenth of the runs at ${load} times the capacity, and use nine tenths of it: ${calls} calls`, (t) => {
      for (const seed of kSeeds) {
        const outcome: ChainOutcome = runChainCase({ calls, load, seed, switches: kOn });
        const text = JSON.stringify(outcome);
        t.true(outcome.wasted <= 0.1, text);
        // Gates use 19 of 20 slots; of all slots, 0.87 to 0.91 are served.
        t.true(outcome.servedOfUsed >= 0.9, text);
        t.true(outcome.urgentServed >= outcome.chainsServed, text);
      }
    });
  }

  itSerial('should waste most runs of 8 calls while switched off, or the model shows nothing', (t) => {
    t.true(runChainCase({ calls: 8, load: 1.2, seed: 3, switches: kOff }).wasted > 0.5);
  });
});

describe('queue of a gate with calls of known chains', () => {
  it('should start the chain with the least slack first, because its calls near the end have the longest budgets', (t) => {
    withFakeClock((clock) => {
      const first = { id: 1, waitUntil: 30, chainUntil: 240 };
      const last = { id: 2, waitUntil: 60, chainUntil: 60 };
      const { started } = queueBehindOne([first, last], (gate) => {
        clock.tick(5);
        gate.callEnded(0, 5);
        gate.callEnded(2, 5);
      });
      t.deepEqual(started, [2, 1]);
    });
  });

  it('should refuse a call whose latest start has passed wherever it waits, so that its caller can try another target', (t) => {
    withFakeClock((clock) => {
      const { started, refused } = queueBehindOne(
        [
          { id: 1, waitUntil: 50, chainUntil: 80 },
          { id: 2, waitUntil: 20, chainUntil: 90 },
          { id: 3, waitUntil: 85 },
        ],
        (gate) => {
          clock.tick(21);
          gate.expire();
          gate.callEnded(0, 21);
          gate.callEnded(1, 1);
        },
      );
      t.deepEqual(refused, [2]);
      t.deepEqual(started, [1, 3]);
    });
  });
});
