/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** A caller that writes raw bytes to a daemon and records what it receives. */

import { once } from 'node:events';
import { connect, type Socket } from 'node:net';

const kTimeoutMs = 8_000;
const kPollMs = 5;

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

  static async open(address: string): Promise<RawCaller> {
    const [host = '', port = ''] = address.split(':');
    const socket = connect({ host, port: Number(port) });
    await once(socket, 'connect');
    return new RawCaller(socket);
  }

  /** All text received so far. */
  get text(): string {
    return this._text;
  }

  get closed(): boolean {
    return this._closed;
  }

  write(text: string): void {
    this._socket.write(text);
  }

  /** Stops reading until {@link resume}. */
  pause(): void {
    this._socket.pause();
  }

  resume(): void {
    this._socket.resume();
  }

  /** Destroys the connection. */
  disconnect(): void {
    this._socket.destroy();
  }

  /** Waits until the received text matches a pattern, the connection is closed, or the wait times out. */
  async until(pattern: RegExp): Promise<string> {
    const deadline = performance.now() + kTimeoutMs;
    while (!pattern.test(this._text) && !this._closed && performance.now() < deadline) {
      await new Promise((resolve) => setTimeout(resolve, kPollMs));
    }
    return this._text;
  }

  /** Waits until the connection is closed. */
  async untilClosed(): Promise<string> {
    return this.until(/(?!)/);
  }
}

/** Returns the text of a request with an attempt id and a deadline of 3 s. */
export function requestText(path: string, id: string, options: { method?: string; headers?: string[]; body?: string } = {}): string {
  const { method = 'GET', headers = [], body = '' } = options;
  const lines = [`${method} ${path} HTTP/1.1`, 'Host: app.example', `X-Attempt-Id: ${id}`, 'X-Deadline-Remaining: 3000', ...headers];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}
