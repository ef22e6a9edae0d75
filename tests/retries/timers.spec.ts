/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { MatrixWorld } from '../matrix/matrixWorld.js';
import { describe, itSerial } from '../support/describe.js';
import { runRead } from './runRead.js';

describe('a call that waits for a response', () => {
  itSerial('should time out instead of waiting again when its timer fires just before the deadline', (t) => {
    const world = new MatrixWorld([], { beta: ['b'] });
    const procedure = runRead(world, 'b', { retries: 0, deadlineMs: 100 });
    procedure.next(undefined);
    procedure.next(undefined);
    world.time.runUntil(99);
    const step = procedure.next({ kind: 'timeout' });
    world.time.restore();
    t.is(step.done === true ? 'ended' : step.value.type, 'cancel');
  });
});
