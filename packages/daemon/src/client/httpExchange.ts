/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * One HTTP request and its complete response, over undici's dispatcher.
 *
 * The result states what a caller needs to know before it retries a non-idempotent request: whether any byte of the request
 * may have been written, and whether the response was complete.
 */

import { kShortBodyBytes } from '@gentiandrum/core';
import { type Dispatcher, errors } from 'undici';
import type { RequestMemory } from '../app/requestMemory.js';

/** Result of an exchange. `written` is true if any byte of the request may have been sent. */
export type ExchangeResult =
  | { kind: 'answered'; status: number; headers: Record<string, string | string[]>; body: Buffer }
  | { kind: 'truncated' }
  | { kind: 'too_large' }
  | { kind: 'lost'; written: boolean; cause: string };

export interface ExchangeRequest {
  method: string;
  path: string;
  headers: Record<string, string | string[]>;
  body: Uint8Array;
  /** Whether the body of the response shows its own end, as JSON does; a response that ends with its connection is accepted then. */
  endsItself?: boolean;
}

const kEmptyBody = Buffer.alloc(0);
const kNotModified = 304;
/** Statuses of responses that never have a body. */
const kBodilessStatuses: ReadonlySet<number> = new Set([204, kNotModified]);

/** An exchange in progress. */
export class HttpExchange implements Dispatcher.DispatchHandler {
  private _written = false;
  private _settled = false;
  private _controller: Dispatcher.DispatchController | undefined;
  private _status = 0;
  private _headers: Record<string, string | string[]> | undefined;
  private readonly _chunks: Buffer[] = [];
  private _receivedBytes = 0;
  /** Whether the length of the response was stated, and its memory reserved. */
  private _reserved = false;

  /**
   * Sends the request.
   *
   * @param _maxBytes maximum size of the response body
   * @param _onResult called exactly once
   * @param _memory counts the response body
   */
  constructor(
    dispatcher: Dispatcher,
    private readonly _req: ExchangeRequest,
    private readonly _maxBytes: number,
    private readonly _onResult: (result: ExchangeResult) => void,
    private readonly _memory?: RequestMemory,
  ) {
    const { method, path, headers, body } = _req;
    dispatcher.dispatch(
      {
        method,
        path,
        headers,
        body: body.byteLength > 0 ? body : null,
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      this,
    );
  }

  /** Aborts the exchange and closes its connection. */
  abort(): void {
    const result: ExchangeResult = { kind: 'lost', written: this._written, cause: 'aborted' };
    this._settle(result);
    this._controller?.abort(new Error('aborted'));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this._controller = controller;
    if (this._settled) {
      controller.abort(new Error('aborted'));
      return;
    }
    this._written = true;
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>): void {
    this._status = status;
    this._headers = headers as Record<string, string | string[]>;
    const stated = this._hasBody() ? Number(headers['content-length'] ?? 0) : 0;
    if (stated > this._maxBytes) {
      this._refuseBody(controller);
    } else if (stated > kShortBodyBytes) {
      this._reserveMemory(controller, stated);
    }
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this._receivedBytes += chunk.byteLength;
    if (this._receivedBytes > this._maxBytes || (!this._reserved && this._memory?.addResponse(chunk.byteLength) === false)) {
      this._refuseBody(controller);
      return;
    }
    this._chunks.push(chunk);
  }

  onResponseEnd(): void {
    if (!this._isFramed()) {
      this._settle({ kind: 'truncated' });
      return;
    }
    this._memory?.completeResponse();
    const [first] = this._chunks;
    const body = this._chunks.length === 1 && first ? first : this._chunks.length === 0 ? kEmptyBody : Buffer.concat(this._chunks);
    this._settle({ kind: 'answered', status: this._status, headers: this._headers ?? {}, body });
  }

  onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
    if (this._status === kNotModified && err instanceof errors.ResponseContentLengthMismatchError) {
      // The length is that of a response of 200 (RFC 9110, 8.6), but the client expects a body of that length.
      this.onResponseEnd();
      return;
    }
    this._settle(this._headers ? { kind: 'truncated' } : { kind: 'lost', written: this._written, cause: err.message });
  }

  /** Whether the response has a body; a length that it states otherwise is that of the content of another one (RFC 9110, 8.6). */
  private _hasBody(): boolean {
    return this._req.method !== 'HEAD' && !kBodilessStatuses.has(this._status);
  }

  /**
   * Whether the end of the response can be distinguished from a lost connection, for example after a crash of the target. Transfer codings
   * other than chunked are not requested, and not decoded.
   */
  private _isFramed(): boolean {
    if (!this._hasBody()) {
      return true;
    }
    const { 'transfer-encoding': coding, 'content-length': length } = this._headers ?? {};
    if (coding !== undefined) {
      return String(coding).toLowerCase() === 'chunked';
    }
    return length !== undefined || this._req.endsItself === true;
  }

  /** Reserves memory for a response of known length; it is not read until that is available. */
  private _reserveMemory(controller: Dispatcher.DispatchController, bytes: number): void {
    this._reserved = true;
    const reservation = this._memory?.reserveResponse(bytes, () => {
      controller.resume();
    });
    switch (reservation) {
      case undefined:
      case 'granted':
        return;
      case 'waiting':
        controller.pause();
        return;
      case 'too_long':
        this._refuseBody(controller);
        return;
    }
  }

  private _refuseBody(controller: Dispatcher.DispatchController): void {
    this._settle({ kind: 'too_large' });
    this._chunks.length = 0;
    controller.abort(new Error('response body exceeds the limit'));
  }

  private _settle(result: ExchangeResult): void {
    if (this._settled) {
      return;
    }
    this._settled = true;
    this._onResult(result);
  }
}

/** Sends a request and returns its result; aborts the exchange after `timeoutMs`. */
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
