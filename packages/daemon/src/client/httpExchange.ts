/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * One HTTP request with its whole answer, over undici's dispatcher.
 *
 * Tells apart what the caller of a non-idempotent request must know: whether a byte may have been written, and whether
 * the answer that came was whole.
 */

import type { Dispatcher } from 'undici';

/** How an exchange ended. */
export type ExchangeEnd =
  | { kind: 'answered'; status: number; headers: Record<string, string | string[]>; body: Buffer }
  | { kind: 'truncated' }
  | { kind: 'too_large' }
  | { kind: 'lost'; written: boolean; cause: string };

/** What is sent. */
export interface ExchangeRequest {
  method: string;
  path: string;
  headers: Record<string, string | string[]>;
  body: Uint8Array;
}

const kNoBytes = Buffer.alloc(0);

/** A running exchange. */
export class HttpExchange implements Dispatcher.DispatchHandler {
  private _written = false;
  private _ended = false;
  private _controller: Dispatcher.DispatchController | undefined;
  private _status = 0;
  private _headers: Record<string, string | string[]> | undefined;
  private readonly _chunks: Buffer[] = [];
  private _size = 0;

  /**
   * Starts an exchange.
   *
   * @param _maxBytes longest answer that is taken
   * @param _done called once with the end
   */
  constructor(
    dispatcher: Dispatcher,
    req: ExchangeRequest,
    private readonly _maxBytes: number,
    private readonly _done: (end: ExchangeEnd) => void,
  ) {
    dispatcher.dispatch(
      {
        method: req.method,
        path: req.path,
        headers: req.headers,
        body: req.body.byteLength > 0 ? req.body : null,
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      this,
    );
  }

  /** Gives the exchange up and closes its connection. */
  abort(): void {
    const lost: ExchangeEnd = { kind: 'lost', written: this._written, cause: 'given up' };
    this._end(lost);
    this._controller?.abort(new Error('given up'));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this._controller = controller;
    if (this._ended) {
      controller.abort(new Error('given up'));
      return;
    }
    this._written = true;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    this._status = status;
    this._headers = headers as Record<string, string | string[]>;
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this._size += chunk.byteLength;
    if (this._size > this._maxBytes) {
      this._end({ kind: 'too_large' });
      controller.abort(new Error('answer over the limit'));
      return;
    }
    this._chunks.push(chunk);
  }

  onResponseEnd(): void {
    const [first] = this._chunks;
    const body = this._chunks.length === 1 && first ? first : this._chunks.length === 0 ? kNoBytes : Buffer.concat(this._chunks);
    this._end({ kind: 'answered', status: this._status, headers: this._headers ?? {}, body });
  }

  onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
    this._end(this._headers ? { kind: 'truncated' } : { kind: 'lost', written: this._written, cause: err.message });
  }

  private _end(end: ExchangeEnd): void {
    if (this._ended) {
      return;
    }
    this._ended = true;
    this._done(end);
  }
}

/** Runs an exchange to its end. */
export function exchange(dispatcher: Dispatcher, req: ExchangeRequest, maxBytes: number, timeoutMs: number): Promise<ExchangeEnd> {
  return new Promise((resolve) => {
    const running = new HttpExchange(dispatcher, req, maxBytes, (end) => {
      clearTimeout(timer);
      resolve(end);
    });
    const timer = setTimeout(() => {
      running.abort();
    }, timeoutMs);
  });
}
