/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** In-memory stand-in for the platform's log, with its documented HTTP interface and fault switches. */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { readJson, sendJson } from './httpJson.js';

/** Fault switches, set by `POST /faults`. */
export interface LogFaults {
  /** Responds to every request with 503. */
  down: boolean;
  /** Accepts connections and never responds. */
  silent: boolean;
  /** Delay before each response, in milliseconds. */
  slowMs: number;
  /** Number of upcoming appends that take effect without a response. */
  loseReplies: number;
  /** Number of upcoming appends that are stored twice. */
  duplicate: number;
  /** Number of records retained per stream. */
  retain: number;
}

interface Stream {
  oldest: number;
  records: unknown[];
  waiters: Set<() => void>;
}

const kNoFaults: LogFaults = { down: false, silent: false, slowMs: 0, loseReplies: 0, duplicate: 0, retain: 100_000 };

export class LogStandin {
  faults: LogFaults = { ...kNoFaults };
  appends = 0;
  reads = 0;
  private readonly _streams = new Map<string, Stream>();
  private readonly _server: Server;

  constructor() {
    this._server = createServer((req, res) => {
      void this._serve(req, res);
    });
    this._server.keepAliveTimeout = 75_000;
  }

  /** Listens on the loopback interface and returns the base URL. */
  async listen(port = 0): Promise<string> {
    await new Promise<void>((resolve) => this._server.listen(port, '127.0.0.1', resolve));
    const address = this._server.address();
    return `http://127.0.0.1:${typeof address === 'object' && address ? address.port : port}`;
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this._server.close();
    this._server.closeAllConnections();
  }

  /** Returns the records of a stream. */
  records(stream: string): unknown[] {
    return this._stream(stream).records;
  }

  /** Appends a record by its JSON text, which may be nested more deeply than `JSON.stringify` can write. */
  putText(name: string, json: string): void {
    this._add(this._stream(name), Buffer.from(json));
  }

  private async _serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://log');
    const body = await readJson(req);
    if (url.pathname === '/faults') {
      this.faults = { ...kNoFaults, ...(body as Partial<LogFaults>) };
      sendJson(res, 200, this.faults);
      return;
    }
    if (url.pathname === '/counts') {
      sendJson(res, 200, { appends: this.appends, reads: this.reads });
      return;
    }
    await delay(this.faults.slowMs);
    if (this.faults.silent) {
      return;
    }
    const stream = /^\/streams\/([^/]+)\/records$/.exec(url.pathname)?.[1];
    if (this.faults.down || stream === undefined) {
      sendJson(res, stream === undefined ? 404 : 503, {});
      return;
    }
    if (req.method === 'POST') {
      this._append(stream, (body as { value: unknown }).value, res);
    } else {
      await this._read(stream, url.searchParams, res);
    }
  }

  private _append(name: string, value: unknown, res: ServerResponse): void {
    this.appends++;
    const stream = this._stream(name);
    const offset = stream.oldest + stream.records.length;
    this._add(stream, value);
    if (this.faults.duplicate > 0) {
      this.faults.duplicate--;
      this._add(stream, value);
    }
    const surplus = Math.max(0, stream.records.length - this.faults.retain);
    stream.records.splice(0, surplus);
    stream.oldest += surplus;
    if (this.faults.loseReplies > 0) {
      this.faults.loseReplies--;
      res.destroy();
      return;
    }
    sendJson(res, 200, { offset });
  }

  private _add(stream: Stream, value: unknown): void {
    stream.records.push(value);
    stream.waiters.forEach((wake) => {
      wake();
    });
  }

  private async _read(name: string, query: URLSearchParams, res: ServerResponse): Promise<void> {
    this.reads++;
    const stream = this._stream(name);
    const from = Math.max(Number(query.get('from') ?? 0), stream.oldest);
    const limit = Number(query.get('limit') ?? 1_000);
    if (from >= stream.oldest + stream.records.length) {
      await this._waitFor(stream, Number(query.get('wait_ms') ?? 0));
    }
    const values = stream.records.slice(from - stream.oldest, from - stream.oldest + limit);
    const records = values.map(
      (value, i) => `{"offset":${from + i},"value":${value instanceof Buffer ? value.toString() : JSON.stringify(value)}}`,
    );
    const page = `{"records":[${records.join()}],"next":${from + records.length},"oldest":${stream.oldest}}`;
    res.writeHead(200, { 'content-type': 'application/json' }).end(page);
  }

  private _waitFor(stream: Stream, ms: number): Promise<void> {
    if (ms === 0) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        stream.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, ms);
      stream.waiters.add(wake);
    });
  }

  private _stream(name: string): Stream {
    let stream = this._streams.get(name);
    if (!stream) {
      stream = { oldest: 0, records: [], waiters: new Set() };
      this._streams.set(name, stream);
    }
    return stream;
  }
}

function delay(ms: number): Promise<void> {
  return ms > 0 ? new Promise((resolve) => setTimeout(resolve, ms)) : Promise.resolve();
}
