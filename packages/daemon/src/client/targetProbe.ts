/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Tells whether a target on this host still takes connections. */

import { connect } from 'node:net';

/** Longest wait for the connection, in milliseconds. */
const kProbeTimeoutMs = 1_000;

/** How a connection to a target came out. */
export type ProbeResult = 'connected' | 'refused' | 'unknown';

/** Tries one connection to a base address such as `http://10.1.2.3:80`. */
export function probeTarget(url: string): Promise<ProbeResult> {
  const { hostname, port } = new URL(url);
  return new Promise((resolve) => {
    const socket = connect({ host: hostname, port: Number(port), timeout: kProbeTimeoutMs });
    const settle = (result: ProbeResult): void => {
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
