/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** A target whose responses are written as raw text, so that it can send data that belongs to no request. */

import { once } from 'node:events';
import { createServer, type Server, type Socket } from 'node:net';

/** Request as received by the target. */
export interface RawRequest {
  id: string;
  method: string;
  path: string;
  /** Time until the deadline, in milliseconds. */
  remainingMs: number;
  /** Number of the request on its connection, from 0. */
  position: number;
  connection: Socket;
}

export const kDate = 'Sat, 05 Dec 2026 10:00:00 GMT';

/** Text of a response; `order` lists the indexes of its header lines. */
export function responseText(id: string, status: number, body: string, order: readonly number[] = [0, 1, 2, 3]): string {
  const lines = [`X-Attempt-Id: ${id}`, `X-Response-Seal: seal.${id}`, `Content-Length: ${body.length}`, `Date: ${kDate}`];
  return `HTTP/1.1 ${status} Some Reason\r\n${order.map((i) => lines[i]).join('\r\n')}\r\n\r\n${body}`;
}

export class RawTarget {
  address = '';
  /** Number of connections accepted so far. */
  connections = 0;
  /** Number of connections that were closed with a reset. */
  resets = 0;
  private readonly _sockets = new Set<Socket>();
  private readonly _server: Server;

  /** @param _respond called for each request; it writes to the request's connection */
  constructor(private readonly _respond: (req: RawRequest) => void) {
    this._server = createServer({ noDelay: true }, (socket) => {
      this._serve(socket);
    });
  }

  async start(): Promise<void> {
    this._server.listen(0, '127.0.0.1');
    await once(this._server, 'listening');
    const address = this._server.address();
    this.address = `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`;
  }

  close(): void {
    this._server.close();
    this._sockets.forEach((socket) => {
      socket.destroy();
    });
  }

  private _serve(connection: Socket): void {
    let text = '';
    let position = 0;
    this.connections++;
    this._sockets.add(connection);
    connection.setEncoding('latin1');
    connection.on('error', (err: NodeJS.ErrnoException) => {
      this.resets += err.code === 'ECONNRESET' ? 1 : 0;
    });
    connection.on('close', () => this._sockets.delete(connection));
    connection.on('data', (chunk: string) => {
      text += chunk;
      for (let end = text.indexOf('\r\n\r\n'); end >= 0; end = text.indexOf('\r\n\r\n')) {
        const head = text.slice(0, end);
        const length = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0);
        if (text.length < end + 4 + length) {
          return;
        }
        text = text.slice(end + 4 + length);
        const [method = '', path = ''] = head.split(' ');
        const id = /^x-attempt-id: (.*)$/im.exec(head)?.[1]?.trim() ?? '';
        const remainingMs = Number(/^x-deadline-remaining: (\d+)/im.exec(head)?.[1] ?? 0);
        this._respond({ id, method, path, remainingMs, position: position++, connection });
      }
    });
  }
}
