/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { importanceIndex, runAttempts } from '@gentiandrum/core';
import { MatrixWorld } from '../matrix/matrixWorld.js';
import { onwardCall } from '../matrix/request.js';
import { describe, itSerial } from '../support/describe.js';

describe('a call that waits for a response', () => {
  itSerial('should time out instead of waiting again when its timer fires just before the deadline', (t) => {
    const world = new MatrixWorld([], { beta: ['b'] });
    const terms = { root: 'r', attempt: '', path: '', depth: 0, cohort: 0, importance: importanceIndex('normal'), repeatable: false };
    const cls = {
      name: 'read',
      service: 'beta',
      methods: [],
      path: '/',
      importance: 'normal',
      idempotent: true,
      retries: 0,
      deadlineMs: 100,
    } as const;
    const req = { cls: { ...cls, methods: [] }, body: 'x' };
    const call = onwardCall('q', req, { ...terms, rootDaemon: 'b', rootAddress: 'b', rootIncarnation: 1 } as never, 0);
    const procedure = runAttempts(call, world.daemon('b').serveContext, 0);
    procedure.next(undefined);
    procedure.next(undefined);
    world.time.runUntil(99);
    const step = procedure.next({ kind: 'timeout' });
    world.time.restore();
    t.is(step.done === true ? 'ended' : step.value.type, 'cancel');
  });
});
