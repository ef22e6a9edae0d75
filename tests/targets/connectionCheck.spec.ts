/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Guards against a crash that goes unnoticed: an exiting process may close a call's connection some time before its listening socket, when
 * other processes take the processor in between. A connection that is accepted in that time does not show that the target is alive.
 */

import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createServer, type Server, type Socket } from 'node:net';
import { checkConnection } from '@gentiandrum/daemon';
import { describe, it } from '../support/describe.js';

const kExitMs = 30;
/** Time for which this process is stalled while the target exits, in milliseconds; longer than a connection has to stay open. */
const kStallMs = 200;
/** Process that listens, and exits some time after it has accepted a connection. */
const kExitingProcess = `
  const server = require('node:net').createServer(() => setTimeout(() => process.exit(), ${kExitMs}));
  server.listen(0, '127.0.0.1', () => console.log(server.address().port));
`;

/** A listening process that can exit. */
class Listener {
  private readonly _sockets = new Set<Socket>();
  private readonly _server: Server = createServer((socket) => {
    this._sockets.add(socket);
    socket.on('error', () => undefined);
  });

  async start(): Promise<string> {
    await new Promise<void>((resolve) => this._server.listen(0, '127.0.0.1', resolve));
    const address = this._server.address();
    return `http://127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`;
  }

  /** Closes the listening socket, and then the connections that it accepted. */
  exit(): void {
    this._server.close();
    this._sockets.forEach((socket) => {
      socket.resetAndDestroy();
    });
  }
}

function stall(): void {
  const until = performance.now() + kStallMs;
  while (performance.now() < until) {
    // Keeps the event loop busy.
  }
}

describe('connection check', () => {
  it('should find that a target has crashed which accepts a connection while it exits', async (t) => {
    const listener = new Listener();
    const url = await listener.start();
    setTimeout(() => {
      listener.exit();
    }, kExitMs);
    t.is(await checkConnection(url), 'refused');
  });

  // After a stall, the timer of the check fired before the close of its connection was read.
  it('should find that a target has crashed which exits while this process is stalled', async (t) => {
    const child = spawn(process.execPath, ['-e', kExitingProcess], { stdio: ['ignore', 'pipe', 'inherit'] });
    const [port] = (await once(child.stdout, 'data')) as [Buffer];
    const result = checkConnection(`http://127.0.0.1:${port.toString().trim()}`);
    // Timers run after an immediate, before the next sockets are read.
    setTimeout(() => setImmediate(stall), kExitMs / 2);
    t.is(await result, 'refused');
  });

  it('should find that a target is alive which keeps the connection', async (t) => {
    const listener = new Listener();
    t.is(await checkConnection(await listener.start()), 'connected');
    listener.exit();
  });

  it('should find that a target has crashed which refuses connections', async (t) => {
    const listener = new Listener();
    const url = await listener.start();
    listener.exit();
    t.is(await checkConnection(url), 'refused');
  });
});
