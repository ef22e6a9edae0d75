/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Checks whether the local target accepts TCP connections, to detect that it has crashed. */

import { connect } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { monotonicMs } from '@gentiandrum/core';

const kConnectTimeoutMs = 1_000;
/** Time for which a connection has to stay open, in milliseconds. An exiting process may still accept one before it closes its sockets. */
const kStableMs = 50;
/** Time within which a check is repeated after its connection was closed, and the pause before it, in milliseconds. */
const kRepeatWithinMs = 500;
const kRepeatPauseMs = 5;

/** Result of a check; `unknown` after a timeout, or when connections are accepted and closed. */
export type ConnectionCheckResult = 'connected' | 'refused' | 'unknown';

/** Checks an origin such as `http://10.1.2.3:80`. */
export async function checkConnection(url: string): Promise<ConnectionCheckResult> {
  const repeatUntil = monotonicMs() + kRepeatWithinMs;
  for (;;) {
    const result = await tryConnection(url);
    if (result !== 'closed') {
      return result;
    }
    if (monotonicMs() >= repeatUntil) {
      return 'unknown';
    }
    await pause(kRepeatPauseMs);
  }
}

/** Opens one connection, and closes it once it has been open for some time; `closed` when the target closes it before. */
function tryConnection(url: string): Promise<ConnectionCheckResult | 'closed'> {
  const { hostname, port } = new URL(url);
  return new Promise((resolve) => {
    const socket = connect({ host: hostname, port: Number(port), timeout: kConnectTimeoutMs });
    const settle = (result: ConnectionCheckResult | 'closed'): void => {
      socket.destroy();
      resolve(result);
    };
    socket.on('connect', () => {
      setTimeout(settle, kStableMs, 'connected');
    });
    socket.on('timeout', () => {
      settle('unknown');
    });
    socket.on('error', (err: NodeJS.ErrnoException) => {
      settle(err.code === 'ECONNREFUSED' ? 'refused' : 'closed');
    });
    socket.on('close', () => {
      settle('closed');
    });
  });
}
