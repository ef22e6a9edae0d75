/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Stand-in for the network in front of one daemon: passes connections on until it is cut. */

import { createConnection, createServer, type Server, type Socket } from 'node:net';

/** A link that can be cut. */
export class LinkStandin {
  private readonly _server: Server;
  private readonly _sockets = new Set<Socket>();
  private _cut = false;

  /** @param _port port of the daemon on the loopback */
  constructor(private readonly _port: number) {
    this._server = createServer((socket) => {
      this._forward(socket);
    });
  }

  /** Listens; gives the address that others use. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this._server.listen(0, '127.0.0.1', resolve));
    const address = this._server.address();
    return `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`;
  }

  /** Cuts the link, or mends it. */
  setCut(cut: boolean): void {
    this._cut = cut;
    if (cut) {
      this._sockets.forEach((socket) => socket.destroy());
    }
  }

  /** Stops listening. */
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
