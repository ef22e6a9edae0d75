/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Takes callers' requests over HTTP/1.1, whole, and gives each its final answer. */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { admitsRoot, monotonicMs, type RouteTable } from '@gentiandrum/core';
import type { MeshConfig, Route } from '@gentiandrum/protocol';
import { listenOn } from '../app/addresses.js';
import { CallExchange, type ExchangeDeps, type ExchangeEnd } from '../app/callExchange.js';
import type { EventFields, EventLog } from '../app/eventLog.js';
import { HeaderFilter } from '../app/hopByHop.js';
import type { RequestOutcome } from '../app/latencyMetric.js';
import type { MeshMetrics } from '../app/meshMetrics.js';
import type { HeaderNames } from '../ports.js';

/** How often heads that are late are looked for, in milliseconds. */
const kCheckMs = 500;
/** Limits until a configuration is known, in milliseconds and bytes. */
const kFirstIdleMs = 60_000;
const kFirstHeaderMs = 5_000;
const kFirstHeaderBytes = 65_536;
/** Time after which a caller may come back when nothing better is known, in milliseconds. */
const kRetryAfterMs = 200;
/** Retry-After is spread over this factor, so that callers don't return together. */
const kRetrySpread = 1.0;
/** Time after which a request that was turned away may come back, as a share of its latency target. */
const kShedRetryShare = 0.3;
/** Share of the process's memory that bodies of requests under way may take. */
const kBodyMemoryShare = 0.3;
/** Longest wait for a body that doesn't come, in milliseconds, when the caller names no time. */
const kBodyMs = 30_000;

const kNoBody = Buffer.alloc(0);

/** What the server uses of its daemon. */
export interface CallServerDeps extends ExchangeDeps {
  names: HeaderNames;
  service: string;
  memoryMb: number;
  config(): MeshConfig | undefined;
  routes(): RouteTable | undefined;
  stopping(): boolean;
  metrics: MeshMetrics;
  events: EventLog;
}

/** Server for the callers on this host. */
export class CallServer {
  private readonly _server: Server;
  private readonly _filter: HeaderFilter;
  private readonly _active = new WeakMap<Socket, Set<() => void>>();
  private _sockets = new Set<Socket>();
  private _inFlight = 0;
  private _bodyBytes = 0;
  private _lowestPriority = 0;

  constructor(private readonly _deps: CallServerDeps) {
    this._filter = new HeaderFilter(_deps.names);
    this._server = createServer({ connectionsCheckingInterval: kCheckMs, maxHeaderSize: kFirstHeaderBytes, noDelay: true }, (req, res) => {
      this._take(req, res);
    });
    this._server.requestTimeout = 0;
    this._server.headersTimeout = kFirstHeaderMs;
    this._server.keepAliveTimeout = kFirstIdleMs;
    this._server.on('connection', (socket: Socket) => {
      this._track(socket);
    });
  }

  /** Requests that have no answer yet. */
  get inFlight(): number {
    return this._inFlight;
  }

  async listen(address: string): Promise<void> {
    await listenOn(this._server, address);
  }

  /** Follows the limits of a configuration. */
  configure({ limits, routes }: MeshConfig): void {
    this._lowestPriority = Math.max(0, ...routes.map(({ priority }) => priority));
    const server = this._server as Server & { maxHeaderSize?: number };
    server.maxHeaderSize = limits.headerBytes;
    server.headersTimeout = limits.headerTimeoutMs;
    if (server.keepAliveTimeout !== limits.idleTimeoutMs) {
      server.keepAliveTimeout = limits.idleTimeoutMs;
      this._renewIdle(limits.idleTimeoutMs);
    }
  }

  /** Takes no new connections, and ends those that are idle. */
  close(): void {
    this._server.close();
  }

  /** Connections that are idle already get the new limit too. */
  private _renewIdle(ms: number): void {
    for (const socket of this._sockets) {
      if ((this._active.get(socket)?.size ?? 0) === 0 && socket.timeout !== undefined && socket.timeout > 0) {
        socket.setTimeout(ms + 1_000);
      }
    }
  }

  private _track(socket: Socket): void {
    this._sockets.add(socket);
    const abandon = (): void => {
      this._active.get(socket)?.forEach((leave) => {
        leave();
      });
      this._active.delete(socket);
    };
    socket.on('end', abandon);
    socket.on('close', () => {
      this._sockets.delete(socket);
      abandon();
    });
  }

  private _take(req: IncomingMessage, res: ServerResponse): void {
    res.sendDate = false;
    this._inFlight++;
    res.once('close', () => {
      this._inFlight--;
    });
    const length = req.headers['content-length'];
    if (req.headers['transfer-encoding'] === undefined && (length === undefined || length === '0')) {
      this._route(req, res, kNoBody);
      return;
    }
    this._readBody(req, res);
  }

  private _readBody(req: IncomingMessage, res: ServerResponse): void {
    const limit = this._deps.config()?.limits.bodyBytes ?? Number.MAX_SAFE_INTEGER;
    if (Number(req.headers['content-length'] ?? 0) > limit) {
      this._refuseBody(res, 413, 'request body over the limit');
      return;
    }
    if (this._bodyBytes > this._deps.memoryMb * 2 ** 20 * kBodyMemoryShare) {
      this._refuseBody(res, 503, 'too many bytes of requests are held');
      return;
    }
    const chunks: Buffer[] = [];
    let bytes = 0;
    const timer = setTimeout(
      () => {
        this._refuseBody(res, 408, 'request body did not arrive in time');
      },
      Math.min(kBodyMs, this._callerMs(req)),
    );
    res.once('close', () => {
      clearTimeout(timer);
      this._bodyBytes -= bytes;
    });
    req.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      this._bodyBytes += chunk.length;
      if (bytes > limit && !res.headersSent) {
        this._refuseBody(res, 413, 'request body over the limit');
      } else {
        chunks.push(chunk);
      }
    });
    req.once('end', () => {
      clearTimeout(timer);
      if (!res.headersSent) {
        this._route(req, res, Buffer.concat(chunks));
      }
    });
  }

  /** The rest of the body is not read: the connection ends with the answer. */
  private _refuseBody(res: ServerResponse, status: number, detail: string): void {
    if (!res.headersSent) {
      res.shouldKeepAlive = false;
      this._refuse(res, status, detail, kRetryAfterMs);
    }
  }

  private _callerMs(req: IncomingMessage): number {
    const text = req.headers[this._deps.names.remainingMs];
    const ms = typeof text === 'string' ? Number(text) : NaN;
    return Number.isFinite(ms) && ms > 0 ? ms : Infinity;
  }

  private _route(req: IncomingMessage, res: ServerResponse, body: Buffer): void {
    const routes = this._deps.routes();
    if (!routes) {
      this._deps.metrics.requestEnded('none', 'no_configuration', 'none', 0);
      this._refuse(res, 503, 'no configuration is known yet', kRetryAfterMs);
      return;
    }
    const path = req.url ?? '/';
    const route = routes.find(req.headers.host ?? '', path);
    if (!route) {
      this._deps.metrics.requestEnded('none', 'no_route', 'none', 0);
      this._refuse(res, 404, 'no route matches');
      return;
    }
    this._deps.chains.entered(route.name);
    if (this._shed(route)) {
      const fields = { req: req.headers[this._deps.names.requestId], route: route.name, level: this._deps.chains.level(route.name) };
      this._deps.metrics.requestEnded(route.destinations[0]?.service ?? 'none', 'shed', 'level', 0);
      this._deps.events.notable('calls', 'Turned away where it entered: there is too much work on its chain.', fields);
      this._refuse(res, 503, 'not run: overloaded', route.latencyTargetMs * kShedRetryShare);
      return;
    }
    this._exchange(req, res, body, route, routes.nextService(route));
  }

  /** Only what is known to come from people is turned away here. */
  private _shed(route: Route): boolean {
    const { chains } = this._deps;
    return chains.inner(route.name) === false && !admitsRoot(route.priority, this._lowestPriority, chains.level(route.name), Math.random());
  }

  private _exchange(req: IncomingMessage, res: ServerResponse, body: Buffer, route: Route, service: string): void {
    const { names } = this._deps;
    const requestId = req.headers[names.requestId];
    const leave = (): void => {
      exchange.abandon();
    };
    const active = this._activeOf(req.socket);
    const exchange = new CallExchange(
      {
        route,
        service,
        callerService: this._deps.service,
        requestId: typeof requestId === 'string' ? requestId : '',
        method: req.method ?? 'GET',
        path: req.url ?? '/',
        headers: this._filter.ofRequest(req.rawHeaders, req.headers.connection),
        body,
        deadline: monotonicMs() + Math.min(route.timeoutMs, this._callerMs(req)),
      },
      this._deps,
      (end) => {
        active.delete(leave);
        const { outcome, reason } = outcomeOf(end);
        this._deps.metrics.requestEnded(service, outcome, reason, exchange.ageMs / 1_000);
        this._answer(res, exchange, route, end, typeof requestId === 'string' ? requestId : '');
      },
    );
    active.add(leave);
    exchange.start();
  }

  private _activeOf(socket: Socket): Set<() => void> {
    let active = this._active.get(socket);
    if (!active) {
      active = new Set();
      this._active.set(socket, active);
    }
    return active;
  }

  private _answer(res: ServerResponse, exchange: CallExchange, route: Route, end: ExchangeEnd, requestId: string): void {
    this._logEnd(exchange, route, end, requestId);
    switch (end.kind) {
      case 'answered':
        this._send(res, end.answer.status, this._withId(end.answer.headers, requestId), end.answer.body);
        return;
      case 'not_run':
        this._refuse(res, 503, `not run: ${end.reason}`, Math.max(kRetryAfterMs, end.retryAfterMs));
        return;
      case 'lost':
        this._refuse(res, 502, `may have run: ${end.reason}`);
        return;
      case 'timed_out':
        this._refuse(res, 504, 'no answer in time');
        return;
    }
  }

  private _withId(headers: string[], requestId: string): string[] {
    return requestId === '' ? headers : [...headers, this._deps.names.requestId, requestId];
  }

  private _logEnd(exchange: CallExchange, route: Route, end: ExchangeEnd, requestId: string): void {
    const fields = (): EventFields => ({
      req: requestId,
      route: route.name,
      offers: exchange.offers,
      ms: Math.round(exchange.ageMs),
      ...(exchange.failed.length > 0 ? { failed: exchange.failed } : {}),
    });
    if (end.kind === 'answered') {
      const { status } = end.answer;
      if (status < 500) {
        this._deps.events.ordinary('calls', 'Answered.', () => ({ ...fields(), status }));
      } else {
        this._deps.events.notable('calls', 'The target failed.', { ...fields(), status });
      }
    } else {
      this._deps.events.notable('calls', 'No answer of a target.', { ...fields(), ...end });
    }
  }

  private _refuse(res: ServerResponse, status: number, detail: string, retryAfterMs?: number): void {
    const headers = ['content-type', 'application/problem+json'];
    if (retryAfterMs !== undefined) {
      headers.push('retry-after', ((retryAfterMs * (1 + Math.random() * kRetrySpread)) / 1_000).toFixed(3));
    }
    this._send(res, status, headers, Buffer.from(JSON.stringify({ status, detail })));
  }

  private _send(res: ServerResponse, status: number, headers: string[], body: Buffer): void {
    if (res.destroyed || res.headersSent) {
      return;
    }
    const closing = this._deps.stopping() ? ['connection', 'close'] : [];
    res.writeHead(status, [...headers, ...closing, 'content-length', String(body.length)]);
    res.end(body);
  }
}

/** Outcome and reason as metrics count them; what follows a colon in a reason tells of the single case. */
function outcomeOf(end: ExchangeEnd): { outcome: RequestOutcome; reason: string } {
  switch (end.kind) {
    case 'answered':
      return { outcome: end.answer.status < 500 ? 'answered' : 'target_failed', reason: 'none' };
    case 'not_run':
      return { outcome: 'not_run', reason: end.reason };
    case 'lost':
      return { outcome: 'lost', reason: end.reason.split(':')[0] ?? '' };
    case 'timed_out':
      return { outcome: 'timed_out', reason: 'none' };
  }
}
