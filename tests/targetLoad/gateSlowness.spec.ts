/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { type GatedCall, SlotGate } from '@gentiandrum/core';
import { describe, itSerial } from '../support/describe.js';
import { VirtualTime } from '../support/virtualTime.js';

const kSlots = 11;
const kRunMs = 100;

/** Runs a test with a gate whose target states what `slowness` returns, after `runs` runs, with all its slots in use. */
function withFullGate(slowness: (() => number | undefined) | undefined, runs: number, body: (gate: SlotGate<GatedCall>) => void): void {
  const time = new VirtualTime();
  try {
    const gate = new SlotGate<GatedCall>({ onStart: () => undefined, onRefuse: () => undefined }, undefined, slowness);
    gate.open(kSlots, 0);
    for (let id = 0; id < runs; id++) {
      gate.offer({ id, waitUntil: Infinity });
      gate.callEnded(id, kRunMs);
    }
    for (let id = runs; id < runs + 10; id++) {
      gate.offer({ id, waitUntil: Infinity });
    }
    body(gate);
  } finally {
    time.restore();
  }
}

describe('a gate whose target states its slowness', () => {
  // Guards against calls that queue for a target that has become slow, until its slow runs end.
  itSerial('should know at once that the target has become slow', (t) => {
    let slowness = 100;
    withFullGate(
      () => slowness,
      40,
      (gate) => {
        t.is(gate.offer({ id: 1_000, waitUntil: 50 }).kind, 'queued');
        slowness = 800;
        t.is(gate.meanMs, kRunMs);
        t.is(gate.expectedMs, 8 * kRunMs);
        t.is(gate.queueWaitMs, (8 * kRunMs) / 10);
        t.is(gate.offer({ id: 1_001, waitUntil: 100 }).kind, 'refused');
      },
    );
  });

  // Guards against a slowness that counts twice once the mean duration shows it too.
  itSerial('should expect the mean duration while the slowness stays as it is', (t) => {
    withFullGate(
      () => 400,
      40,
      (gate) => {
        t.is(gate.expectedMs, kRunMs);
      },
    );
  });

  // Guards against runs that began before a change of the slowness and are taken for ones of the new speed.
  itSerial('should expect of runs during which the slowness changed that they were slow for half of the time', (t) => {
    let slowness = 100;
    withFullGate(
      () => slowness,
      0,
      (gate) => {
        slowness = 800;
        gate.callEnded(0, 450);
        t.is(gate.expectedMs, 800);
      },
    );
  });

  itSerial('should behave as without a source when the target states none', (t) => {
    for (const source of [undefined, () => undefined]) {
      withFullGate(source, 7, (gate) => {
        t.is(gate.expectedMs, gate.meanMs);
        t.is(gate.limit, 10);
      });
    }
  });
});
