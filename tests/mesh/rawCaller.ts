/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** A caller that writes bytes of its own making to a daemon, and reads what comes back. */

import { once } from 'node:events';
import { connect, type Socket } from 'node:net';

const kTimeoutMs = 8_000;
const kPollMs = 5;

/** One connection. */
export class RawCaller {
  private _text = '';
  private _closed = false;

  private constructor(private readonly _socket: Socket) {
    _socket.setEncoding('utf8');
    _socket.on('data', (chunk: string) => {
      this._text += chunk;
    });
    _socket.on('close', () => {
      this._closed = true;
    });
    _socket.on('error', () => {
      this._closed = true;
    });
  }

  /** Connects to an address. */
  static async open(address: string): Promise<RawCaller> {
    const [host = '', port = ''] = address.split(':');
    const socket = connect({ host, port: Number(port) });
    await once(socket, 'connect');
    return new RawCaller(socket);
  }

  /** Everything that came so far. */
  get text(): string {
    return this._text;
  }

  /** Whether the connection has ended. */
  get closed(): boolean {
    return this._closed;
  }

  /** Writes text as it is. */
  write(text: string): void {
    this._socket.write(text);
  }

  /** Stops and starts reading. */
  pause(): void {
    this._socket.pause();
  }

  resume(): void {
    this._socket.resume();
  }

  /** Leaves at once. */
  disconnect(): void {
    this._socket.destroy();
  }

  /** Waits until what came fits a pattern, or the connection ended. */
  async until(pattern: RegExp): Promise<string> {
    const end = performance.now() + kTimeoutMs;
    while (!pattern.test(this._text) && !this._closed && performance.now() < end) {
      await new Promise((resolve) => setTimeout(resolve, kPollMs));
    }
    return this._text;
  }

  /** Waits until the connection ended. */
  async untilClosed(): Promise<string> {
    return this.until(/(?!)/);
  }
}

/** Text of a request with the headers that daemons look for. */
export function requestText(path: string, id: string, options: { method?: string; headers?: string[]; body?: string } = {}): string {
  const { method = 'GET', headers = [], body = '' } = options;
  const lines = [`${method} ${path} HTTP/1.1`, 'Host: app.example', `X-Attempt-Id: ${id}`, 'X-Deadline-Remaining: 3000', ...headers];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}
