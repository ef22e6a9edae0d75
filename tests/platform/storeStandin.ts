/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Stand-in for the platform's store: keyed topics with one partition, long polling and failure modes. */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { readBody, sendJson } from '../standins/httpJson.js';

/** Behaviour of the store. `silent` accepts calls and ignores them; `lost` executes appends and never responds. */
export type StoreMode = 'serving' | 'busy' | 'limited' | 'full' | 'silent' | 'lost' | 'reset';

interface StoredRecord {
  key: string;
  value: Buffer;
}

interface Topic {
  records: StoredRecord[];
  /** Offset of the first record that is retained. */
  firstOffset: number;
  waiters: (() => void)[];
}

const kPageSize = 500;
const kReadHeaderBytes = 16;
const kLengthBytes = 4;

export class StoreStandin {
  mode: StoreMode = 'serving';
  /** Increments on each restore from a copy; responses carry no era while undefined. */
  era: number | undefined;
  calls = 0;
  private readonly _topics = new Map<string, Topic>();
  private readonly _server: Server;

  constructor() {
    this._server = createServer((req, res) => {
      void this._handleRequest(req, res);
    });
  }

  /** Listens on the loopback interface; returns the address. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) => this._server.listen(0, '127.0.0.1', resolve));
    const address = this._server.address();
    return `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`;
  }

  /** Stops the server and closes all connections. */
  close(): void {
    this._server.close();
    this._server.closeAllConnections();
  }

  /** Appends a record, as an operator or another daemon does. */
  put(topicName: string, key: string, value: string): void {
    const topic = this._topic(topicName);
    topic.records.push({ key, value: Buffer.from(value) });
    topic.waiters.splice(0).forEach((wake) => {
      wake();
    });
  }

  /** Returns the newest value of each key. */
  newest(topicName: string): Map<string, string> {
    const newest = new Map<string, string>();
    for (const { key, value } of this._topic(topicName).records) {
      if (value.length > 0) {
        newest.set(key, value.toString('utf8'));
      } else {
        newest.delete(key);
      }
    }
    return newest;
  }

  /** Expires the history of a topic; the newest record of each key stays readable. */
  compact(topicName: string): void {
    const topic = this._topic(topicName);
    topic.firstOffset = topic.records.length;
    topic.waiters.splice(0).forEach((wake) => {
      wake();
    });
  }

  /** Simulates a restore from a copy: removes the last records of a topic, whose offsets are reused. */
  rewind(topicName: string, records: number): void {
    const topic = this._topic(topicName);
    topic.records.splice(Math.max(0, topic.records.length - records));
    topic.firstOffset = Math.min(topic.firstOffset, topic.records.length);
    this.era = (this.era ?? 0) + 1;
    topic.waiters.splice(0).forEach((wake) => {
      wake();
    });
  }

  private _topic(name: string): Topic {
    let topic = this._topics.get(name);
    if (!topic) {
      topic = { records: [], firstOffset: 0, waiters: [] };
      this._topics.set(name, topic);
    }
    return topic;
  }

  private async _handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
    this.calls++;
    const body = await readBody(req);
    if (this.era !== undefined) {
      res.setHeader('store-era', String(this.era));
    }
    switch (this.mode) {
      case 'busy':
        sendJson(res, 503, {});
        return;
      case 'limited':
        sendJson(res, 429, {});
        return;
      case 'full':
        sendJson(res, req.method === 'POST' ? 507 : 503, {});
        return;
      case 'silent':
        return;
      case 'reset':
        req.socket.resetAndDestroy();
        return;
      case 'lost':
        this._appendWithoutResponse(req, body);
        return;
      case 'serving':
        await this._dispatch(req, res, body);
    }
  }

  private _appendWithoutResponse(req: IncomingMessage, body: Buffer): void {
    const url = new URL(req.url ?? '/', 'http://store');
    if (url.pathname === '/v1/log-append') {
      this._append(url.searchParams.get('topic') ?? '', body);
    }
  }

  private async _dispatch(req: IncomingMessage, res: ServerResponse, body: Buffer): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://store');
    const name = url.searchParams.get('topic') ?? '';
    switch (url.pathname) {
      case '/v1/log-append':
        sendJson(res, 200, this._append(name, body));
        return;
      case '/v1/log-newest':
        sendJson(res, 200, this._newestPage(name, url.searchParams.get('after')));
        return;
      case '/v1/log-read':
        await this._read(res, name, Number(url.searchParams.get('from')), Number(url.searchParams.get('wait_ms')));
        return;
      default:
        sendJson(res, 404, {});
    }
  }

  private _append(name: string, body: Buffer): { offset: number; end_offset: number } {
    const offset = this._topic(name).records.length;
    for (let at = 0; at + kLengthBytes <= body.length;) {
      const end = at + kLengthBytes + body.readUInt32BE(at);
      const content = body.subarray(at + kLengthBytes, end);
      const keyEnd = 1 + (content[0] ?? 0);
      this.put(name, content.subarray(1, keyEnd).toString('utf8'), content.subarray(keyEnd).toString('utf8'));
      at = end;
    }
    return { offset, end_offset: this._topic(name).records.length };
  }

  private _newestPage(name: string, after: string | null): unknown {
    const all = [...this.newest(name)].sort(([a], [b]) => (a < b ? -1 : 1));
    const rest = all.filter(([key]) => after === null || key > after);
    const items = rest.slice(0, kPageSize).map(([key, value]) => ({ key, value: Buffer.from(value).toString('base64'), offset: 0 }));
    return { items, has_more: rest.length > kPageSize, end_offset: this._topic(name).records.length };
  }

  private async _read(res: ServerResponse, name: string, from: number, waitMs: number): Promise<void> {
    const topic = this._topic(name);
    if (from === topic.records.length && from >= topic.firstOffset) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, waitMs);
        topic.waiters.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    if (this.era !== undefined) {
      res.setHeader('store-era', String(this.era));
    }
    if (from < topic.firstOffset || from > topic.records.length) {
      sendJson(res, 410, { first_offset: topic.firstOffset });
      return;
    }
    const head = Buffer.alloc(kReadHeaderBytes);
    head.writeBigUInt64BE(BigInt(topic.records.length), 0);
    head.writeBigUInt64BE(BigInt(topic.firstOffset), 8);
    res.writeHead(200).end(Buffer.concat([head, ...topic.records.slice(from).map(frame)]));
  }
}

function frame({ key, value }: StoredRecord): Buffer {
  const content = Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), value]);
  const length = Buffer.alloc(kLengthBytes);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}
