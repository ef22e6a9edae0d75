/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Tells whether a target on this host still takes connections. */

import { connect } from 'node:net';

/** Longest wait for the connection, in milliseconds. */
const kProbeMs = 1_000;

/** How a connection to a target came out. */
export type ProbeEnd = 'connected' | 'refused' | 'unknown';

/** Tries one connection to a base address such as `http://10.1.2.3:80`. */
export function probeTarget(url: string): Promise<ProbeEnd> {
  const { hostname, port } = new URL(url);
  return new Promise((resolve) => {
    const socket = connect({ host: hostname, port: Number(port), timeout: kProbeMs });
    const end = (how: ProbeEnd): void => {
      socket.destroy();
      resolve(how);
    };
    socket.on('connect', () => {
      end('connected');
    });
    socket.on('timeout', () => {
      end('unknown');
    });
    socket.on('error', (err: NodeJS.ErrnoException) => {
      end(err.code === 'ECONNREFUSED' ? 'refused' : 'unknown');
    });
  });
}
