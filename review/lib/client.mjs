/** Stand-in for a client: one connection, on which requests may be sent before the earlier ones are answered. */

import { connect } from 'node:net';
import { kHost } from './deployment.mjs';

const kTimeLimitMs = 6_000;
const kNoBytes = Buffer.alloc(0);

export class Client {
  /** Requests without a complete answer, the oldest first. */
  open = [];
  /** Complete answers by the id of the request in whose place they came. */
  answered = new Map();
  closed = false;
  _head = kNoBytes;
  /** The answer whose body is being read. */
  _answer;

  /** @param name name of the client in the record */
  constructor(name, address, record) {
    Object.assign(this, { name, _record: record });
    const [host, port] = address.split(':');
    this._socket = connect({ host, port: Number(port), noDelay: true });
    this._socket.on('data', (bytes) => this._receive(bytes));
    this._socket.on('error', () => undefined);
    this._socket.on('close', () => this._end());
    this._socket.on('end', () => this._end());
    this.connected = new Promise((resolve, reject) => {
      this._socket.once('connect', resolve);
      this._socket.once('error', reject);
    });
    this.connected.catch(() => undefined);
  }

  /** Sends requests in one write. */
  send(...requests) {
    const texts = requests.map(({ id, method = 'GET', path, headers = [], body = '', bodyLater = false }) => {
      this.open.push(id);
      this._record('sent', { client: this.name, id, method, path, ...(headers.length > 0 ? { headers } : {}) });
      const length = method === 'POST' ? [`Content-Length: ${body.length}`] : [];
      return requestHead({ id, method, path, headers: [...headers, ...length] }) + (bodyLater ? '' : body);
    });
    this._socket.write(texts.join(''));
  }

  /** Sends the body of the last request, if it was left out. */
  sendBody(body) {
    this._socket.write(body);
  }

  /** Reads at most this many bytes a second from now on. */
  readSlowly(bytesPerSecond) {
    this._socket.on('data', ({ length }) => {
      this._socket.pause();
      this._pacer = setTimeout(() => this._socket.resume(), (length * 1_000) / bytesPerSecond);
    });
  }

  close() {
    clearTimeout(this._pacer);
    this._socket.destroy();
  }

  _receive(bytes) {
    let rest = bytes;
    while (rest.length > 0) {
      rest = this._answer ? this._receiveBody(rest) : this._receiveHead(rest);
    }
  }

  _receiveHead(bytes) {
    this._head = Buffer.concat([this._head, bytes]);
    const end = this._head.indexOf('\r\n\r\n');
    if (end < 0) {
      return kNoBytes;
    }
    const text = this._head.toString('latin1', 0, end);
    const rest = this._head.subarray(end + 4);
    this._head = kNoBytes;
    const length = Number(/\r\ncontent-length: (\d+)/i.exec(text)?.[1] ?? 0);
    this._answer = {
      status: Number(text.slice(9, 12)),
      /** Id of the request that the upstream answered. */
      attempt: /\r\nx-attempt-id: (\S+)/i.exec(text)?.[1],
      sealed: /\r\nx-response-seal: /i.test(text),
      close: /\r\nconnection: close/i.test(text),
      length,
      left: length,
    };
    return length === 0 ? this._receiveBody(rest) : rest;
  }

  _receiveBody(bytes) {
    const answer = this._answer;
    const taken = Math.min(answer.left, bytes.length);
    answer.left -= taken;
    if (answer.left === 0) {
      const { status, attempt, sealed, close, length } = answer;
      const id = this.open.shift();
      this._answer = undefined;
      this.answered.set(id, { status, attempt, sealed });
      this._record('answered', { client: this.name, id, status, attempt, sealed, bytes: length, close });
    }
    return bytes.subarray(taken);
  }

  _end() {
    if (!this.closed) {
      this.closed = true;
      const { length, left } = this._answer ?? { length: 0, left: 0 };
      this._record('connection ended', { client: this.name, unanswered: this.open, bytesMissing: left, bytesAnnounced: length });
    }
  }
}

/** Returns the text of a request without its body. */
export function requestHead({ id, method, path, headers = [] }) {
  const lines = [
    `${method} ${path} HTTP/1.1`,
    `Host: ${kHost}`,
    `X-Attempt-Id: ${id}`,
    `X-Deadline-Remaining: ${kTimeLimitMs}`,
    ...headers,
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}
