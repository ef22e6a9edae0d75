/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Runs calls on the target of this host, and tells a whole answer of its own from everything else that may come on the
 * connection.
 */

import type { CallEnd } from '@gentiandrum/core';
import { type Dispatcher, Pool } from 'undici';
import { HeaderFilter } from '../app/hopByHop.js';
import type { HeaderNames } from '../ports.js';
import type { PeerCall } from './peerMessages.js';

/** Statuses that promise "not run"; a target that says so without proof isn't believed, nor passed on. */
const kPromises: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Time that a target gets to end its work itself once the caller's time is over, in milliseconds. */
const kOvertimeMs = 300;
/** The limit is rounded up to this, so that timers share their lists, in milliseconds. */
const kTimerStepMs = 100;
/** Time for a connection on the same host, in milliseconds. */
const kConnectMs = 1_000;
/** Time for which idle connections are kept when the target does not say, in milliseconds. */
const kKeepAliveMs = 4_000;
/** A connection is given up this long before the target would close it, in milliseconds. */
const kKeepAliveMarginMs = 1_000;

/** How a run ended. */
export interface RunEnd {
  end: CallEnd;
  /** Whether the target itself answered, so that its time tells something of it. */
  answered: boolean;
}

/** A run that has been started. */
export interface Run {
  /** Breaks the run off; its end is still reported. */
  abort(): void;
}

/** Client of one incarnation of a target. */
export class TargetClient {
  private readonly _pool: Pool;
  private readonly _filter: HeaderFilter;

  constructor(
    address: string,
    private readonly _instance: string,
    maxConnections: number,
    private readonly _names: HeaderNames,
  ) {
    this._filter = new HeaderFilter(_names);
    this._pool = new Pool(`http://${address}`, {
      connections: maxConnections,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: kKeepAliveMs,
      keepAliveTimeoutThreshold: kKeepAliveMarginMs,
      connect: { timeout: kConnectMs },
    });
  }

  /** Sends a call to the target. */
  run(call: PeerCall, remainingMs: number, done: (end: RunEnd) => void): Run {
    const exchange = new Exchange(call, this._names, this._filter, done);
    exchange.limit(remainingMs + kOvertimeMs);
    const names = this._names;
    const own = [names.remainingMs, String(Math.max(1, Math.floor(remainingMs))), names.expectedInstance, this._instance];
    const id = call.requestId === '' ? [] : [names.requestId, call.requestId];
    const headers = [...call.headers, ...id, ...own, names.callerService, call.callerService];
    const body = call.body.length > 0 ? call.body : null;
    this._pool.dispatch({ method: call.method, path: call.path, headers, body }, exchange);
    return exchange;
  }

  /** Ends all connections. */
  async close(): Promise<void> {
    await this._pool.destroy();
  }
}

/** One request on a connection to the target, and its answer. */
class Exchange implements Dispatcher.DispatchHandler, Run {
  private _controller: Dispatcher.DispatchController | undefined;
  private _status = 0;
  private _headers: Readonly<Record<string, string | string[] | undefined>> = {};
  private readonly _chunks: Buffer[] = [];
  private _timer: NodeJS.Timeout | undefined;
  private _aborted = false;
  private _ended = false;

  constructor(
    private readonly _call: PeerCall,
    private readonly _names: HeaderNames,
    private readonly _filter: HeaderFilter,
    private readonly _done: (end: RunEnd) => void,
  ) {}

  /** Breaks the exchange off after so long. */
  limit(ms: number): void {
    this._timer = setTimeout(
      () => {
        this.abort();
      },
      Math.ceil(ms / kTimerStepMs) * kTimerStepMs,
    );
  }

  abort(): void {
    this._aborted = true;
    if (this._controller) {
      this._controller.abort(new Error('no longer wanted'));
    }
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this._controller = controller;
    if (this._aborted) {
      controller.abort(new Error('no longer wanted'));
    }
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    this._status = status;
    this._headers = headers;
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this._chunks.push(chunk);
  }

  onResponseEnd(): void {
    if (this._status >= 200) {
      this._finish(this._judge());
    }
  }

  onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
    const code = (err as NodeJS.ErrnoException).code ?? '';
    if (code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT') {
      this._finish({ end: { kind: 'not_run', reason: 'unreachable', retryAfterMs: 0 }, answered: false });
    } else if (this._aborted && !this._controller) {
      this._finish({ end: { kind: 'not_run', reason: 'cancelled', retryAfterMs: 0 }, answered: false });
    } else {
      this._finish({ end: { kind: 'lost', reason: this._aborted ? 'aborted' : `connection: ${code || err.message}` }, answered: false });
    }
  }

  private _finish(end: RunEnd): void {
    if (this._ended) {
      return;
    }
    this._ended = true;
    clearTimeout(this._timer);
    this._done(end);
  }

  /** An answer that only ends with its connection can't be told from one that was cut, by a target that crashed for example. */
  private _framed(): boolean {
    const { 'content-length': length, 'transfer-encoding': encoding } = this._headers;
    return length !== undefined || encoding !== undefined || this._status === 204 || this._status === 304;
  }

  private _judge(): RunEnd {
    const echoed = this._headers[this._names.requestId];
    if (echoed !== this._call.requestId && this._call.requestId !== '') {
      // The connection carries the answer of another request: what is still to come on it can't be told apart.
      this._controller?.abort(new Error('answer of another request'));
      return { end: { kind: 'lost', reason: 'answer of another request' }, answered: false };
    }
    if (this._headers[this._names.notRun] !== undefined || this._status === 421) {
      const reason = this._status === 421 ? 'wrong_instance' : 'target_refused';
      return { end: { kind: 'not_run', reason, retryAfterMs: 0 }, answered: true };
    }
    if (!this._framed()) {
      return { end: { kind: 'lost', reason: 'answer without a length' }, answered: false };
    }
    if (kPromises.has(this._status)) {
      return { end: { kind: 'lost', reason: `status ${this._status} without proof` }, answered: true };
    }
    if (this._status < 300 && this._headers[this._names.seal] === undefined) {
      return { end: { kind: 'lost', reason: 'success without the seal of the target' }, answered: false };
    }
    const answer = { status: this._status, headers: this._filter.ofAnswer(this._headers), body: Buffer.concat(this._chunks) };
    return { end: { kind: 'answered', answer }, answered: true };
  }
}
