/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Stand-in for the network in front of one daemon: a TCP proxy that can be cut off. */

import { createConnection, createServer, type Server, type Socket } from 'node:net';

/** TCP proxy to a daemon. */
export class LinkStandin {
  private readonly _server: Server;
  private readonly _sockets = new Set<Socket>();
  private _cut = false;

  /** @param _port port of the daemon on the loopback interface */
  constructor(private readonly _port: number) {
    this._server = createServer((socket) => {
      this._forward(socket);
    });
  }

  /** Listens on a free port and returns the address of the proxy. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this._server.listen(0, '127.0.0.1', resolve));
    const address = this._server.address();
    return `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`;
  }

  /** Cuts the link, closing all connections, or restores it. */
  setCut(cut: boolean): void {
    this._cut = cut;
    if (cut) {
      this._sockets.forEach((socket) => socket.destroy());
    }
  }

  /** Closes all connections and stops listening. */
  close(): void {
    this.setCut(true);
    this._server.close();
  }

  private _forward(socket: Socket): void {
    if (this._cut) {
      socket.destroy();
      return;
    }
    const upstream = createConnection(this._port, '127.0.0.1');
    for (const endpoint of [socket, upstream]) {
      this._sockets.add(endpoint);
      endpoint.on('error', () => endpoint.destroy());
      endpoint.on('close', () => {
        this._sockets.delete(endpoint);
        socket.destroy();
        upstream.destroy();
      });
    }
    socket.pipe(upstream);
    upstream.pipe(socket);
  }
}
