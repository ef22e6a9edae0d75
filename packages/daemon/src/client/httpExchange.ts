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
export type ExchangeResult =
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

const kEmptyBody = Buffer.alloc(0);

/** A running exchange. */
export class HttpExchange implements Dispatcher.DispatchHandler {
  private _written = false;
  private _settled = false;
  private _controller: Dispatcher.DispatchController | undefined;
  private _status = 0;
  private _headers: Record<string, string | string[]> | undefined;
  private readonly _chunks: Buffer[] = [];
  private _receivedBytes = 0;

  /**
   * Starts an exchange.
   *
   * @param _maxBytes longest answer that is taken
   * @param _onResult called once with the end
   */
  constructor(
    dispatcher: Dispatcher,
    req: ExchangeRequest,
    private readonly _maxBytes: number,
    private readonly _onResult: (result: ExchangeResult) => void,
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
    const result: ExchangeResult = { kind: 'lost', written: this._written, cause: 'given up' };
    this._settle(result);
    this._controller?.abort(new Error('given up'));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this._controller = controller;
    if (this._settled) {
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
    this._receivedBytes += chunk.byteLength;
    if (this._receivedBytes > this._maxBytes) {
      this._settle({ kind: 'too_large' });
      controller.abort(new Error('answer over the limit'));
      return;
    }
    this._chunks.push(chunk);
  }

  onResponseEnd(): void {
    const [first] = this._chunks;
    const body = this._chunks.length === 1 && first ? first : this._chunks.length === 0 ? kEmptyBody : Buffer.concat(this._chunks);
    this._settle({ kind: 'answered', status: this._status, headers: this._headers ?? {}, body });
  }

  onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
    this._settle(this._headers ? { kind: 'truncated' } : { kind: 'lost', written: this._written, cause: err.message });
  }

  private _settle(result: ExchangeResult): void {
    if (this._settled) {
      return;
    }
    this._settled = true;
    this._onResult(result);
  }
}

/** Runs an exchange to its end. */
export function exchange(dispatcher: Dispatcher, req: ExchangeRequest, maxBytes: number, timeoutMs: number): Promise<ExchangeResult> {
  return new Promise((resolve) => {
    const httpExchange = new HttpExchange(dispatcher, req, maxBytes, (result) => {
      clearTimeout(timer);
      resolve(result);
    });
    const timer = setTimeout(() => {
      httpExchange.abort();
    }, timeoutMs);
  });
}
