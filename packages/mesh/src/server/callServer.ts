/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Takes callers' requests over HTTP/1.1, whole, and gives each its final answer. */

import { createServer, type Server } from 'node:net';
import { type EntryResult, monotonicMs, readCredentials, type RequestWorkspace } from '@gentiandrum/core';
import type { MeshConfig } from '@gentiandrum/protocol';
import { listenOn } from '../app/addresses.js';
import { CallExchange, type ExchangeDeps, type ExchangeResult } from '../app/calls/callExchange.js';
import type { EventFields, EventLog } from '../app/eventLog.js';
import type { RequestOutcome } from '../app/latencyMetric.js';
import type { MeshMetrics } from '../app/meshMetrics.js';
import type { RequestEntry } from '../app/calls/requestEntry.js';
import { HeaderReader, kCredentialsHeader } from '../http/headerReader.js';
import type { HeaderNames } from '../ports.js';
import { BodyMemory } from './bodyMemory.js';
import { CallerConnection, type CallerLimits, type CallerRequest, type ConnectionOwner, type ReadFault } from './callerConnection.js';
import { type RefusedEntry, refusalFields, refusalOf, refusedService, refusedWorkspace } from './entryRefusals.js';
import { outcomeOf } from './exchangeOutcome.js';
import { statusOf, textOf } from './readFaults.js';

/** Limits until a configuration is known. */
const kFirstLimits: CallerLimits = {
  headerBytes: 65_536,
  bodyBytes: Number.MAX_SAFE_INTEGER,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 60_000,
};
/** Time after which a caller may come back when nothing better is known, in milliseconds. */
const kRetryAfterMs = 200;
/** Retry-After is spread over this factor, so that callers don't return together. */
const kRetrySpread = 1.0;
/** Share of the process's memory that bodies of requests under way may take. */
const kBodyMemoryShare = 0.3;
const kBytesPerMb = 2 ** 20;

/** What the server uses of its daemon. */
export interface CallServerDeps extends ExchangeDeps {
  names: HeaderNames;
  service: string;
  memoryMb: number;
  entry: RequestEntry;
  /** Whether requests need keys, which then stay here. */
  keysRequired(): boolean;
  stopping(): boolean;
  metrics: MeshMetrics;
  events: EventLog;
}

/** Server for the callers on this host. */
export class CallServer implements ConnectionOwner {
  readonly headers: HeaderReader;
  readonly memory: BodyMemory;
  private readonly _server: Server;
  private readonly _connections = new Set<CallerConnection>();
  private _limits = kFirstLimits;
  private _inFlight = 0;

  constructor(private readonly _deps: CallServerDeps) {
    this.headers = new HeaderReader(_deps.names);
    this.memory = new BodyMemory(_deps.memoryMb * kBytesPerMb * kBodyMemoryShare);
    this._server = createServer({ noDelay: true }, (socket) => {
      this._connections.add(new CallerConnection(socket, this));
    });
  }

  /** Requests that have no answer yet, and connections whose callers have not read theirs. */
  get inFlight(): number {
    let unread = 0;
    for (const connection of this._connections) {
      unread += connection.writing ? 1 : 0;
    }
    return this._inFlight + unread;
  }

  /** Limits on what callers send. */
  get limits(): CallerLimits {
    return this._limits;
  }

  /** Whether connections end with their next answer. */
  get closing(): boolean {
    return this._deps.stopping();
  }

  async listen(address: string): Promise<void> {
    await listenOn(this._server, address);
  }

  /** Follows the limits of a configuration. */
  configure({ limits }: MeshConfig): void {
    this._limits = limits;
  }

  /** Takes no new connections, and ends those that are idle. */
  close(): void {
    this._server.close();
    for (const connection of this._connections) {
      connection.stop();
    }
  }

  /** Looks at the time limits of connections; called a few times a second. */
  check(): void {
    const now = monotonicMs();
    for (const connection of this._connections) {
      connection.check(now);
    }
  }

  /** @internal Called by connections, as are the next ones. */
  onRequest(req: CallerRequest): void {
    this._inFlight++;
    const { host, credentials } = req.headers;
    const entering = this._deps.entry.enter({ host, path: req.target, presented: readCredentials(credentials) }, (end) => {
      this._entered(req, end);
    });
    if (!req.begun) {
      req.onLeave = () => {
        this._inFlight--;
        entering.cancel();
      };
    }
  }

  /** @internal */
  onFault(req: CallerRequest, fault: ReadFault): void {
    this._inFlight++;
    this._refuse(req, statusOf(fault), textOf(fault), kRetryAfterMs);
  }

  /** @internal */
  onClose(connection: CallerConnection): void {
    this._connections.delete(connection);
  }

  private _entered(req: CallerRequest, end: EntryResult): void {
    req.begun = true;
    if (end.kind === 'admitted') {
      this._deps.chains.recordEntry(end.route.name);
      this._exchange(req, end);
    } else {
      this._refuseEntry(req, end);
    }
  }

  private _refuseEntry(req: CallerRequest, end: RefusedEntry): void {
    const { status, detail, outcome, retryAfterMs, headers, logText, ordinary } = refusalOf(end);
    this._deps.metrics.requestEnded(refusedService(end), outcome, end.kind === 'shed' ? 'level' : 'none', 0);
    const workspace = refusedWorkspace(end);
    if (workspace !== undefined) {
      this._deps.metrics.workspaceEnded(workspace, outcome);
    }
    const fields = (): EventFields => ({ req: req.headers.requestId, ...refusalFields(end) });
    if (logText !== undefined && ordinary === true) {
      this._deps.events.ordinary('calls', logText, fields);
    } else if (logText !== undefined) {
      this._deps.events.notable('calls', logText, fields());
    }
    this._refuse(req, status, detail, retryAfterMs, headers);
  }

  private _exchange(req: CallerRequest, { route, service, rank, workspace }: Extract<EntryResult, { kind: 'admitted' }>): void {
    const { requestId, remainingMs } = req.headers;
    const exchange = new CallExchange(
      {
        route,
        service,
        callerService: this._deps.service,
        requestId,
        method: req.method,
        path: req.target,
        headers: this._passedOn(req),
        body: req.body,
        rank,
        workspace,
        deadline: req.takenAt + Math.min(route.timeoutMs, remainingMs),
      },
      this._deps,
      (end) => {
        const { outcome, reason } = outcomeOf(end);
        this._deps.metrics.requestEnded(service, outcome, reason, exchange.ageMs / 1_000);
        this._logEnd(exchange, route.name, end, requestId);
        this._noteWorkspace(workspace, end, outcome);
        this._end(req, end);
      },
    );
    req.onLeave = () => {
      this._inFlight--;
      exchange.abandon();
    };
    exchange.start();
  }

  private _noteWorkspace(workspace: RequestWorkspace | undefined, end: ExchangeResult, outcome: RequestOutcome): void {
    if (workspace) {
      this._deps.metrics.workspaceEnded(workspace.name, outcome);
    }
    if (end.kind === 'not_run') {
      this._deps.entry.returnToken(workspace);
    }
  }

  /** Keys stay where requests enter; without workspaces the header is one like any other. */
  private _passedOn({ headers: { kept, credentials } }: CallerRequest): string[] {
    if (credentials.length === 0 || this._deps.keysRequired()) {
      return kept;
    }
    return [...kept, ...credentials.flatMap((value) => [kCredentialsHeader, value])];
  }

  private _end(req: CallerRequest, end: ExchangeResult): void {
    switch (end.kind) {
      case 'answered':
        this._send(req, end.answer.status, this._withId(end.answer.headers, req.headers.requestId), end.answer.body);
        return;
      case 'not_run':
        this._refuse(req, 503, `not run: ${end.reason}`, Math.max(kRetryAfterMs, end.retryAfterMs));
        return;
      case 'lost':
        this._refuse(req, 502, `may have run: ${end.reason}`);
        return;
      case 'timed_out':
        this._refuse(req, 504, 'no answer in time');
        return;
    }
  }

  private _withId(headers: string[], requestId: string): string[] {
    return requestId === '' ? headers : [...headers, this._deps.names.requestId, requestId];
  }

  private _logEnd(exchange: CallExchange, route: string, end: ExchangeResult, requestId: string): void {
    const fields = (): EventFields => ({
      req: requestId,
      route,
      offers: exchange.offers,
      target: exchange.target,
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

  private _refuse(req: CallerRequest, status: number, detail: string, retryAfterMs?: number, more: readonly string[] = []): void {
    const headers = ['content-type', 'application/problem+json', ...more];
    if (retryAfterMs !== undefined) {
      headers.push('retry-after', ((retryAfterMs * (1 + Math.random() * kRetrySpread)) / 1_000).toFixed(3));
    }
    this._send(req, status, headers, Buffer.from(JSON.stringify({ status, detail })));
  }

  private _send(req: CallerRequest, status: number, headers: string[], body: Buffer): void {
    this._inFlight--;
    req.answer(status, headers, body);
  }
}
