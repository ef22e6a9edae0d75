/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against calls of a target that its daemon forwards during a graceful shutdown and interrupts at the exit. */

import { importanceIndex, monotonicMs, serveCall } from '@gentiandrum/core';
import { MatrixWorld } from '../matrix/matrixWorld.js';
import { onwardCall } from '../matrix/request.js';
import { describe, itSerial } from '../support/describe.js';

const kExitMs = 1_000;

/** Returns the first step of a call that the target of a stopping daemon makes with a deadline. */
function firstStep(deadlineMs: number, exitMs: number): string {
  const world = new MatrixWorld([], { beta: ['b1', 'b2'] });
  try {
    const daemon = world.daemon('b1');
    daemon.stopping = true;
    daemon.exitAt = monotonicMs() + exitMs;
    const root = { root: 'r', rootDaemon: 'b1', rootAddress: 'b1', rootIncarnation: 1 };
    const terms = { ...root, attempt: 'p', path: '', depth: 0, cohort: 0, importance: importanceIndex('normal'), repeatable: false };
    const cls = { name: 'read', service: 'beta', methods: [], path: '/', importance: 'normal' as const, idempotent: true };
    const call = onwardCall('q', { cls: { ...cls, retries: 0, deadlineMs }, body: 'x' }, terms as never, monotonicMs());
    const step = serveCall(call, daemon.serveContext).next(undefined);
    return step.done === true ? (step.value.kind === 'error' ? step.value.error : 'answered') : step.value.type;
  } finally {
    world.time.restore();
  }
}

describe('a call of a target whose daemon stops', () => {
  itSerial('should be refused as not run if its deadline is later than the exit', (t) => {
    t.is(firstStep(kExitMs + 1, kExitMs), 'stopping');
  });

  itSerial('should be offered if it ends before the exit, or if the shutdown has no limit', (t) => {
    t.is(firstStep(kExitMs - 1, kExitMs), 'offer');
    t.is(firstStep(kExitMs, Infinity), 'offer');
  });
});
