/**
 * Stand-in for the platform's store: keyed topics with one partition, as the pages describe them (append, read with a long poll, newest).
 */

import { createServer } from 'node:http';

const kLengthBytes = 4;
const kReadHeaderBytes = 16;
const kPageSize = 500;

export class Store {
  /** Records of each topic, the oldest first. */
  _topics = new Map();
  _server = createServer((req, res) => {
    const chunks = [];
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('end', () => this._handle(req, res, Buffer.concat(chunks)));
  });

  /** Listens on a free loopback port; returns the address. */
  async start() {
    await new Promise((resolve) => this._server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${this._server.address().port}`;
  }

  close() {
    this._server.close();
    this._server.closeAllConnections();
  }

  /** Appends a record, as the operator does. */
  put(name, key, value) {
    const topic = this._topic(name);
    topic.records.push({ key, value: Buffer.from(value) });
    for (const wake of topic.waiters.splice(0)) {
      wake();
    }
  }

  _topic(name) {
    if (!this._topics.has(name)) {
      this._topics.set(name, { records: [], waiters: [] });
    }
    return this._topics.get(name);
  }

  async _handle(req, res, body) {
    const url = new URL(req.url, 'http://store');
    const name = url.searchParams.get('topic') ?? '';
    switch (url.pathname) {
      case '/v1/log-append':
        return sendJson(res, this._append(name, body));
      case '/v1/log-newest':
        return sendJson(res, this._newest(name, url.searchParams.get('after')));
      case '/v1/log-read':
        return this._read(res, name, Number(url.searchParams.get('from')), Number(url.searchParams.get('wait_ms')));
      default:
        res.writeHead(404).end();
    }
  }

  _append(name, body) {
    const offset = this._topic(name).records.length;
    for (let at = 0; at + kLengthBytes <= body.length;) {
      const end = at + kLengthBytes + body.readUInt32BE(at);
      const content = body.subarray(at + kLengthBytes, end);
      const keyEnd = 1 + content[0];
      this.put(name, content.toString('utf8', 1, keyEnd), content.subarray(keyEnd));
      at = end;
    }
    return { offset, end_offset: this._topic(name).records.length };
  }

  _newest(name, after) {
    const { records } = this._topic(name);
    const newest = new Map(records.map(({ key, value }) => [key, value]));
    const rest = [...newest]
      .filter(([key, value]) => value.length > 0 && (after === null || key > after))
      .sort(([a], [b]) => (a < b ? -1 : 1));
    const items = rest.slice(0, kPageSize).map(([key, value]) => ({ key, value: value.toString('base64'), offset: 0 }));
    return { items, has_more: rest.length > kPageSize, end_offset: records.length };
  }

  async _read(res, name, from, waitMs) {
    const topic = this._topic(name);
    if (from === topic.records.length) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, waitMs);
        topic.waiters.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    if (from > topic.records.length) {
      res.writeHead(410, { 'content-type': 'application/json' }).end(JSON.stringify({ first_offset: 0 }));
      return;
    }
    const head = Buffer.alloc(kReadHeaderBytes);
    head.writeBigUInt64BE(BigInt(topic.records.length), 0);
    res.writeHead(200).end(Buffer.concat([head, ...topic.records.slice(from).map(frame)]));
  }
}

function sendJson(res, value) {
  res.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(value));
}

function frame({ key, value }) {
  const content = Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), value]);
  const length = Buffer.alloc(kLengthBytes);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}
