/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Checks whether the local target accepts TCP connections, to detect that it has crashed. */

import { connect } from 'node:net';

const kConnectTimeoutMs = 1_000;

/** Result of a connection attempt; `unknown` after a timeout or any error but a refusal. */
export type ConnectionCheckResult = 'connected' | 'refused' | 'unknown';

/** Opens and closes one connection to an origin such as `http://10.1.2.3:80`. */
export function checkConnection(url: string): Promise<ConnectionCheckResult> {
  const { hostname, port } = new URL(url);
  return new Promise((resolve) => {
    const socket = connect({ host: hostname, port: Number(port), timeout: kConnectTimeoutMs });
    const settle = (result: ConnectionCheckResult): void => {
      socket.destroy();
      resolve(result);
    };
    socket.on('connect', () => {
      settle('connected');
    });
    socket.on('timeout', () => {
      settle('unknown');
    });
    socket.on('error', (err: NodeJS.ErrnoException) => {
      settle(err.code === 'ECONNREFUSED' ? 'refused' : 'unknown');
    });
  });
}
