/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Runs of an idempotent call without daemons or a network. */

import { importanceIndex, type Procedure, runAttempts, type ServedCall } from '@gentiandrum/core';
import type { MatrixWorld } from '../matrix/matrixWorld.js';
import { onwardCall } from '../matrix/request.js';

/** Starts the procedure of a read of the service beta at a daemon of the world. */
export function runRead(
  world: MatrixWorld,
  daemon: string,
  { retries, deadlineMs }: { retries: number; deadlineMs: number },
): Procedure<ServedCall> {
  const root = { root: 'r', rootDaemon: daemon, rootAddress: daemon, rootIncarnation: 1 };
  const terms = { ...root, attempt: '', path: '', depth: 0, cohort: 0, importance: importanceIndex('normal'), repeatable: false };
  const cls = {
    name: 'read',
    service: 'beta',
    methods: [],
    path: '/',
    importance: 'normal' as const,
    idempotent: true,
    retries,
    deadlineMs,
  };
  const call = onwardCall('q', { cls, body: 'x' }, terms as never, 0);
  return runAttempts(call, world.daemon(daemon).serveContext, retries);
}
