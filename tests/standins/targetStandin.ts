/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Stand-in for a target: announces itself, does timed work, makes onward calls, and sheds or fails as configured. */

import { createHash } from 'node:crypto';
import { createServer, type IncomingMessage, request as httpRequest, type Server, type ServerResponse } from 'node:http';
import { kAttemptIdHeader } from '@gentiandrum/protocol';
import { readBody, readJson, sendJson } from './httpJson.js';
import { sendEndlessly } from './sendEndlessly.js';

/** An onward call that the target makes for each call it serves. */
export interface OnwardCall {
  service: string;
  method: string;
  path: string;
}

/** Configurable behaviour of a target, changed by `POST /-/behaviour`. */
export interface Behaviour {
  workMs: number;
  onward: OnwardCall[];
  /** Maximum number of concurrent calls; further ones are shed with 503 and `Retry-After`. */
  slots: number;
  accepting: boolean;
  /** Response status of the next `failures` calls, instead of 200. */
  failStatus: number;
  failures: number;
  /** Number of upcoming responses that are truncated. */
  truncate: number;
  /** Number of upcoming calls whose connection is closed after the work without a response. */
  drop: number;
  /** The process exits while it runs a call whose path contains this text; disabled if empty. */
  endsOn: string;
  /** Time between the start of such a call and the exit, in milliseconds. */
  endsAfterMs: number;
  /** Sends a response body without end, up to a limit that protects the machine. */
  endless: boolean;
  /** Returns the request body instead of a short text. */
  echo: boolean;
}

/** Name of a target, its service and the address of its daemon. */
export interface TargetPlace {
  target: string;
  service: string;
  daemon: string;
}

const kAnnounceIntervalMs = 500;
const kMaxConnections = 1_000;
/** Length after which a response without end pauses for good, in bytes. */
const kEndlessBytes = 500 * 2 ** 20;

export class TargetStandin {
  /** Number of runs by the `x-call` header of the requests. */
  readonly runs = new Map<string, number>();
  started = 0;
  ended = 0;
  cancelled = 0;
  private _running = 0;
  /** Whether a call that ends the process is running. */
  private _doomed = false;
  private readonly _server: Server;
  private _timer: NodeJS.Timeout | undefined;
  private _url = '';
  behaviour: Behaviour;

  constructor(
    private readonly _place: TargetPlace,
    behaviour: Partial<Behaviour> = {},
  ) {
    const defaults = {
      workMs: 1,
      onward: [],
      slots: 50,
      accepting: true,
      failStatus: 500,
      failures: 0,
      truncate: 0,
      drop: 0,
      endsOn: '',
      endsAfterMs: 30,
      endless: false,
      echo: false,
    };
    this.behaviour = { ...defaults, ...behaviour };
    this._server = createServer((req, res) => {
      void this._serve(req, res).catch(() => res.destroy());
    });
    this._server.keepAliveTimeout = 75_000;
  }

  /** Listens on the loopback interface and starts to announce itself periodically. */
  async start(): Promise<void> {
    await new Promise<void>((resolve) => this._server.listen(0, '127.0.0.1', resolve));
    const address = this._server.address();
    this._url = `http://127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`;
    this._timer = setInterval(() => {
      void this.announce();
    }, kAnnounceIntervalMs);
    await this.announce();
  }

  /** Announces itself once; returns whether the daemon accepted the announcement. */
  async announce(): Promise<boolean> {
    const { target, service, daemon } = this._place;
    const { slots, accepting } = this.behaviour;
    const body = JSON.stringify({ target, service, url: this._url, slots, connections: kMaxConnections, accepting, load: this._running });
    try {
      const res = await fetch(`http://${daemon}/-/announce`, { method: 'POST', body, headers: { 'content-type': 'application/json' } });
      return res.ok;
    } catch {
      return false;
    }
  }

  /** Stops listening and announcing. */
  close(): void {
    clearInterval(this._timer);
    this._server.close();
    this._server.closeAllConnections();
  }

  private async _serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (req.url?.startsWith('/-/') === true) {
      await this._control(req, res);
      return;
    }
    res.setHeader(kAttemptIdHeader, req.headers[kAttemptIdHeader] ?? '');
    if (this._running >= this.behaviour.slots) {
      res.writeHead(503, { 'retry-after': '1' }).end('shed');
      return;
    }
    this._running++;
    this.started++;
    try {
      await this._work(req, res);
    } finally {
      this._running--;
    }
  }

  private async _work(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = await readBody(req);
    const call = String(req.headers['x-call'] ?? 'none');
    this.runs.set(call, (this.runs.get(call) ?? 0) + 1);
    const { endsOn, endsAfterMs } = this.behaviour;
    if (endsOn !== '' && req.url?.includes(endsOn) === true) {
      this._doomed = true;
      setTimeout(() => process.exit(1), endsAfterMs);
      return;
    }
    const callerGone = (): boolean => res.closed && !res.writableEnded;
    await new Promise((resolve) => setTimeout(resolve, this.behaviour.workMs));
    for (const onward of this.behaviour.onward) {
      const status = callerGone() ? 499 : await this._callOnward(onward, req, res);
      if (status >= 400) {
        this._sendStatus(res, status >= 500 ? 502 : status, 'onward call failed');
        return;
      }
    }
    if (callerGone()) {
      this.cancelled++;
      return;
    }
    this._respond(req, res, body);
  }

  private _respond(req: IncomingMessage, res: ServerResponse, body: Buffer): void {
    const { behaviour } = this;
    if (behaviour.drop > 0) {
      behaviour.drop--;
      res.destroy();
    } else if (behaviour.endless) {
      res.writeHead(200);
      sendEndlessly(res, kEndlessBytes);
    } else if (behaviour.truncate > 0) {
      behaviour.truncate--;
      res.writeHead(200, { 'content-length': '1000' });
      res.write('half');
      setTimeout(() => res.destroy(), 5);
    } else if (behaviour.failures > 0) {
      behaviour.failures--;
      this._sendStatus(res, behaviour.failStatus, 'failed on demand');
    } else {
      const text = behaviour.echo ? body : Buffer.from(`${this._place.service} ${req.method} ${req.url}`);
      res.writeHead(200, { 'x-target': this._place.target, 'x-digest': createHash('sha256').update(text).digest('hex') }).end(text);
      this.ended++;
    }
  }

  private _sendStatus(res: ServerResponse, status: number, text: string): void {
    res.writeHead(status, { 'x-target': this._place.target }).end(text);
    this.ended++;
  }

  /** Makes an onward call through the local daemon, and propagates the trace headers as an instrumented service does. */
  private _callOnward(onward: OnwardCall, req: IncomingMessage, res: ServerResponse): Promise<number> {
    const headers: Record<string, string> = {};
    for (const name of ['baggage', 'traceparent', 'x-call']) {
      const value = req.headers[name];
      if (typeof value === 'string') {
        headers[name] = value;
      }
    }
    return new Promise((resolve) => {
      const url = `http://${this._place.daemon}/${onward.service}${onward.path}`;
      const onwardReq = httpRequest(url, { method: onward.method, headers }, (onwardRes) => {
        onwardRes.resume();
        onwardRes.on('end', () => {
          resolve(onwardRes.statusCode ?? 502);
        });
      });
      onwardReq.on('error', () => {
        resolve(502);
      });
      res.on('close', () => onwardReq.destroy());
      onwardReq.end();
    });
  }

  private async _control(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = await readJson(req);
    if (req.url === '/-/behaviour') {
      this.behaviour = { ...this.behaviour, ...(body as Partial<Behaviour>) };
      await this.announce();
    }
    const { started, ended, cancelled, _running: running, _doomed: doomed } = this;
    sendJson(res, 200, { started, ended, cancelled, running, doomed, runs: Object.fromEntries(this.runs) });
  }

  /** Base URL of the target; empty before the start. */
  get url(): string {
    return this._url;
  }
}
