/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Stand-in for a target of the platform: echoes ids, seals its responses, announces itself and misbehaves on demand. */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { request } from 'undici';
import { readBody } from '../standins/httpJson.js';
import { sendEndlessly } from '../standins/sendEndlessly.js';

/** Bytes after which an endless response pauses for good, so that a daemon that reads them all does not exhaust the machine. */
const kEndlessBytes = 500 * 2 ** 20;

/** How the target responds to requests. */
export type ResponseMode =
  | 'whole'
  | 'failing'
  | 'shedding'
  | 'unproved_shedding'
  | 'unsealed'
  | 'foreign_id'
  | 'truncated'
  | 'dropped'
  | 'garbage'
  | 'unframed'
  | 'unframed_reset'
  | 'surplus'
  | 'endless';

/** Request as received by the target. */
export interface SeenRequest {
  id: string;
  method: string;
  path: string;
  caller: string;
  remainingMs: number;
  instance: string;
  /** Workspace from the daemon's header; undefined without that header. */
  workspace: string | undefined;
  /** Value of the `authorization` header. */
  credentials: string | undefined;
  body: string;
}

export class UpstreamStandin {
  mode: ResponseMode = 'whole';
  /** Number of responses to which `mode` applies; later ones are complete. */
  responsesLeftInMode = Infinity;
  workMs = 1;
  /** Bytes added to the body of each complete response. */
  padding = 0;
  /** Responds with status 500 before the body is read, keeps the connection open and reads the body afterwards. */
  respondsEarly = false;
  /** Value of the rate limit header on all responses; undefined sends none. */
  statedLimit: string | undefined;
  /** Whether all responses state that the target is leaving. */
  leaving = false;
  /** Further headers on all responses. */
  extraHeaders: Record<string, string | string[]> = {};
  /** Called when a request starts to run; if it returns a promise, the request runs until that resolves. */
  onRun: (req: SeenRequest) => Promise<void> | undefined = () => undefined;
  readonly seen: SeenRequest[] = [];
  /** Number of requests whose connection closed before the response. */
  abortedRequests = 0;
  running = 0;
  /** Maximum number of concurrently running requests. */
  maxRunning = 0;
  address = '';
  /** Port to listen on; 0 selects a free one. */
  port = 0;
  private _sequence = 0;
  private _exiting = false;
  private readonly _server: Server;

  constructor(
    readonly instance: string,
    readonly service: string,
    readonly slots = 20,
  ) {
    this._server = createServer((req, res) => {
      void this._handleRequest(req, res);
    });
    this._server.keepAliveTimeout = 10_000;
  }

  /** Listens on the loopback interface. */
  async start(): Promise<void> {
    await new Promise<void>((resolve) => this._server.listen(this.port, '127.0.0.1', resolve));
    const address = this._server.address();
    this.address = `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`;
  }

  /** Announces the target to a daemon; returns the response status. */
  async sendHeartbeat(control: string, state: 'ready' | 'draining' = 'ready', sequence = ++this._sequence): Promise<number> {
    const body = JSON.stringify({
      address: this.address,
      info: { service: this.service, version: 'v1', zone: 'z', slots: this.slots },
      status: { state, sequence, cold_remaining_ms: 0 },
    });
    const res = await request(`http://${control}/v1/instances/${this.instance}`, {
      method: 'PUT',
      body,
      headers: { 'content-type': 'application/json' },
    });
    await res.body.dump();
    return res.statusCode;
  }

  /** Deregisters the target from a daemon; returns the response status. */
  async deregister(control: string): Promise<number> {
    const res = await request(`http://${control}/v1/instances/${this.instance}`, { method: 'DELETE' });
    await res.body.dump();
    return res.statusCode;
  }

  /** Stops like a crashed process: connections close without a response, and new ones are refused. */
  close(): void {
    this._server.close();
    this._server.closeAllConnections();
  }

  /**
   * Stops like a process that takes a while to exit: open connections close at once, new ones are accepted without a response until the
   * listening socket closes.
   */
  exitSlowly(listenMs: number): void {
    this._exiting = true;
    this._server.closeAllConnections();
    setTimeout(() => {
      this.close();
    }, listenMs);
  }

  private async _handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (this._exiting) {
      return;
    }
    if (this.respondsEarly) {
      const id = String(req.headers['x-attempt-id'] ?? '');
      res.writeHead(500, { 'x-attempt-id': id, 'x-response-seal': `seal.${id}`, 'content-length': 0 }).end();
    }
    const body = await readBody(req);
    if (res.writableEnded) {
      return;
    }
    const header = (name: string): string => String(req.headers[name] ?? '');
    const seen: SeenRequest = {
      id: header('x-attempt-id'),
      method: req.method ?? '',
      path: req.url ?? '',
      caller: header('x-caller-service'),
      remainingMs: Number(header('x-deadline-remaining')),
      instance: header('x-target-instance'),
      workspace: req.headers['x-tenant-id']?.toString(),
      credentials: req.headers.authorization,
      body: body.toString('utf8'),
    };
    this.seen.push(seen);
    if (header('x-target-instance') !== this.instance) {
      res.writeHead(421, { 'x-attempt-id': header('x-attempt-id'), 'x-instance-id': this.instance, ...this._condition }).end();
      return;
    }
    this.running++;
    this.maxRunning = Math.max(this.maxRunning, this.running);
    await (this.onRun(seen) ?? new Promise((resolve) => setTimeout(resolve, this.workMs)));
    this.running--;
    if (res.destroyed) {
      this.abortedRequests++;
      return;
    }
    const mode = this.responsesLeftInMode > 0 ? this.mode : 'whole';
    this.responsesLeftInMode--;
    this._respond(mode, header('x-attempt-id'), req, res);
  }

  private _respond(mode: ResponseMode, id: string, req: IncomingMessage, res: ServerResponse): void {
    const text = `${this.instance} did ${id}${'x'.repeat(this.padding)}`;
    const sealed = { 'x-attempt-id': id, 'x-response-seal': `seal.${id}`, ...this._condition };
    switch (mode) {
      case 'whole':
        res.writeHead(200, { ...sealed, 'content-length': text.length }).end(text);
        return;
      case 'failing':
        res.writeHead(500, sealed).end('failed');
        return;
      case 'shedding':
        res.writeHead(503, { 'x-attempt-id': id, 'x-not-executed': '1', ...this._condition }).end();
        return;
      case 'unproved_shedding':
        res.writeHead(503, sealed).end('busy');
        return;
      case 'unsealed':
        res.writeHead(200, { 'x-attempt-id': id, ...this._condition }).end(text);
        return;
      case 'foreign_id':
        res.writeHead(200, { ...sealed, 'x-attempt-id': `not-${id}` }).end(text);
        return;
      case 'truncated':
        res.writeHead(200, { ...sealed, 'content-length': text.length + 100 });
        res.write(text);
        setTimeout(() => res.destroy(), 5);
        return;
      case 'dropped':
        res.destroy();
        return;
      case 'endless':
        res.writeHead(200, sealed);
        sendEndlessly(res, kEndlessBytes);
        return;
      default:
        this._respondRaw(mode, id, text, req);
    }
  }

  /** Headers by which the target states its condition, and further ones. */
  private get _condition(): Record<string, string | string[]> {
    return {
      ...this.extraHeaders,
      ...(this.statedLimit === undefined ? {} : { 'server-limit': this.statedLimit }),
      ...(this.leaving ? { 'server-leaving': '1' } : {}),
    };
  }

  private _respondRaw(mode: ResponseMode, id: string, text: string, req: IncomingMessage): void {
    const head = `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Response-Seal: seal.${id}\r\n`;
    const { socket } = req;
    switch (mode) {
      case 'garbage':
        socket.end('\u0000\u0001 this is no answer\r\n\r\n');
        return;
      case 'unframed':
        socket.end(`${head}Connection: close\r\n\r\n${text}`);
        return;
      case 'unframed_reset':
        socket.write(`${head}Connection: close\r\n\r\n${text.slice(0, 5)}`);
        setTimeout(() => socket.resetAndDestroy(), 5);
        return;
      default: {
        const response = `${head}Content-Length: ${text.length}\r\n\r\n${text}`;
        socket.write(response + response);
      }
    }
  }
}
