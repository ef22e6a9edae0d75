/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** HTTP/1.1 server for the callers on this host: admits each request, forwards it to a target, and sends the final response. */

import { createServer, type Server } from 'node:net';
import {
  type EntryResult,
  type MemoryAccount,
  monotonicMs,
  readCredentials,
  type RequestWorkspace,
  type ServerPhase,
} from '@gentiandrum/core';
import type { MeshConfig } from '@gentiandrum/protocol';
import { listenOn } from '../app/addresses.js';
import { CallExchange, type ExchangeDeps, type ExchangeResult } from '../app/calls/callExchange.js';
import type { EventFields, EventLog } from '../app/eventLog.js';
import type { RequestOutcome } from '../app/latencyMetric.js';
import type { MeshMetrics } from '../app/meshMetrics.js';
import type { RequestEntry } from '../app/calls/requestEntry.js';
import type { CallChain, ChainControl } from '../app/load/chainControl.js';
import { HeaderReader, kCredentialsHeader } from '../http/headerReader.js';
import type { HeaderNames } from '../ports.js';
import { CallerConnection } from './callerConnection.js';
import type { CallerRequest, CallerResponse } from './callerRequest.js';
import type { CallerLimits, ConnectionEnd, ConnectionOwner, ReadFault } from './connectionOwner.js';
import { type RefusedEntry, refusalFields, refusalOf, refusedService, refusedWorkspace } from './entryRefusals.js';
import { logResult, logUnanswered } from './callLog.js';
import { outcomeOf } from './exchangeOutcome.js';
import { ExitSchedule } from './exitSchedule.js';
import { faultStatus, faultDetail } from './readFaults.js';

/** Limits until the first configuration is received. */
const kInitialLimits: CallerLimits = {
  headerBytes: 65_536,
  bodyBytes: Number.MAX_SAFE_INTEGER,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 60_000,
};
/** Retry-After value when no better one is known, in milliseconds. */
const kDefaultRetryAfterMs = 200;
/** Largest random increase of Retry-After, as a factor; spreads the retries of callers. */
const kRetrySpread = 1.0;
/** Retry-After of a request that was refused for lack of memory, in milliseconds: long bodies need about as long to be sent. */
const kMemoryRetryMs = 1_000;

export interface CallServerDeps extends ExchangeDeps {
  names: HeaderNames;
  service: string;
  memory: MemoryAccount;
  /** The body of a request was refused for lack of memory. */
  onMemoryRefused(requestId: string, bytes: number): void;
  entry: RequestEntry;
  chainControl: ChainControl;
  /** Whether requests need keys. If so, keys are not forwarded to targets. */
  keysRequired(): boolean;
  metrics: MeshMetrics;
  events: EventLog;
}

/** A request that was admitted at the entry. */
type AdmittedEntry = Extract<EntryResult, { kind: 'admitted' }>;

export class CallServer implements ConnectionOwner {
  readonly headers: HeaderReader;
  readonly memory: MemoryAccount;
  private readonly _server: Server;
  private readonly _connections = new Set<CallerConnection>();
  private _limits = kInitialLimits;
  private _phase: ServerPhase = 'serving';
  private readonly _exit = new ExitSchedule();
  private _inFlight = 0;

  constructor(private readonly _deps: CallServerDeps) {
    this.headers = new HeaderReader(_deps.names);
    this.memory = _deps.memory;
    this._server = createServer({ noDelay: true }, (socket) => {
      this._connections.add(new CallerConnection(socket, this));
    });
  }

  /** Number of requests without a response, plus connections with unsent response data. */
  get inFlight(): number {
    let unsent = 0;
    for (const connection of this._connections) {
      unsent += connection.writing ? 1 : 0;
    }
    return this._inFlight + unsent;
  }

  get limits(): CallerLimits {
    return this._limits;
  }

  get phase(): ServerPhase {
    return this._phase;
  }

  async listen(address: string): Promise<void> {
    await listenOn(this._server, address);
  }

  /** Applies the limits of a configuration. */
  configure({ limits }: MeshConfig): void {
    this._limits = limits;
  }

  /** Closes each connection with a response behind which no request stands. */
  drain(): void {
    this._phase = 'draining';
  }

  /**
   * Closes each connection with the response to its newest request, and new ones with their first response. Refuses requests whose time
   * limits do not end before `exitAt`, on the monotonic clock.
   */
  endConnections(exitAt: number): void {
    this._phase = 'ending';
    this._exit.at = exitAt;
    for (const connection of this._connections) {
      connection.chooseLast();
    }
  }

  /** Stops accepting connections, and closes idle ones. */
  close(): void {
    this._server.close();
    for (const connection of this._connections) {
      connection.stop();
    }
  }

  /** Enforces the timeouts of connections; called a few times a second. */
  check(): void {
    const now = monotonicMs();
    for (const connection of this._connections) {
      connection.check(now);
    }
  }

  /** @internal Called by connections, as are the next three methods. */
  onRequest(req: CallerRequest): void {
    this._inFlight++;
    const { host, credentials } = req.headers;
    const entering = this._deps.entry.enter(
      { host, path: req.target, presented: readCredentials(credentials), remainingMs: req.remainingMs },
      (result) => {
        this._handleEntry(req, result);
      },
    );
    if (!req.entryDecided) {
      req.onDisconnect = () => {
        this._inFlight--;
        entering.cancel();
      };
    }
  }

  /** @internal */
  onFault(req: CallerRequest, fault: ReadFault): void {
    this._inFlight++;
    if (fault === 'no_memory') {
      this._deps.onMemoryRefused(req.headers.requestId, Math.max(req.headers.bodyBytes, req.receivedBytes));
    }
    this._refuse(req, faultStatus(fault), faultDetail(fault), fault === 'no_memory' ? kMemoryRetryMs : kDefaultRetryAfterMs);
  }

  /** @internal */
  onUnanswered(req: CallerRequest, closedBy: ConnectionEnd): void {
    this._deps.metrics.unanswered(closedBy);
    logUnanswered(this._deps.events, req, closedBy);
  }

  /** @internal */
  onClose(connection: CallerConnection): void {
    this._connections.delete(connection);
  }

  private _handleEntry(req: CallerRequest, result: EntryResult): void {
    req.entryDecided = true;
    if (result.kind === 'admitted' && !this._exit.allows(result.route, req.remainingMs)) {
      this._refuseLate(req, result);
    } else if (result.kind === 'admitted') {
      this._deps.chains.recordEntry(result.route.name);
      const chain = this._deps.chainControl.chainOf(result.route.name, req.remainingMs);
      if (chain.kind === 'ended') {
        this._refuseOrphan(req, result);
      } else {
        this._startExchange(req, result, chain);
      }
    } else {
      this._refuseEntry(req, result);
    }
  }

  private _refuseEntry(req: CallerRequest, result: RefusedEntry): void {
    const { status, detail, outcome, retryAfterMs, headers, logText, lowPriority } = refusalOf(result);
    this._deps.metrics.requestEnded(refusedService(result), outcome, result.kind === 'shed' ? 'level' : 'none', 0);
    const workspace = refusedWorkspace(result);
    if (workspace !== undefined) {
      this._deps.metrics.workspaceEnded(workspace, outcome);
    }
    const fields = (): EventFields => ({ req: req.headers.requestId, ...refusalFields(result) });
    if (logText !== undefined && lowPriority === true) {
      this._deps.events.infoLowPriority('calls', logText, fields);
    } else if (logText !== undefined) {
      this._deps.events.info('calls', logText, fields());
    }
    this._refuse(req, status, detail, retryAfterMs, headers);
  }

  /** Refuses a request whose response may come after the end of the shutdown. Another daemon may serve a retry at once. */
  private _refuseLate(req: CallerRequest, { route, service, workspace }: AdmittedEntry): void {
    this._deps.metrics.requestEnded(service, 'not_run', 'shutting_down', 0);
    this._deps.events.info('calls', 'Request refused: it may take longer than the rest of the shutdown.', {
      req: req.headers.requestId,
      ...this._exit.fields(route, req.remainingMs),
    });
    this._deps.entry.returnToken(workspace);
    this._refuse(req, 503, 'not run: shutting down', kDefaultRetryAfterMs);
  }

  /** Refuses a call of the local target whose run has ended, so that nobody waits for its response. */
  private _refuseOrphan(req: CallerRequest, { route, service, workspace }: AdmittedEntry): void {
    this._deps.metrics.requestEnded(service, 'not_run', 'parent_ended', 0);
    this._deps.events.infoLowPriority('calls', 'Call refused: the run that made it has ended.', () => ({
      req: req.headers.requestId,
      route: route.name,
    }));
    this._deps.entry.returnToken(workspace);
    this._refuse(req, 503, 'not run: the run that made the call has ended');
  }

  private _startExchange(req: CallerRequest, { route, service, rank, workspace }: AdmittedEntry, chain: CallChain): void {
    const { requestId, remainingMs } = req.headers;
    const external = this._deps.chains.isInternal(route.name) === false;
    const exchange = new CallExchange(
      {
        route,
        service,
        callerService: this._deps.service,
        requestId,
        method: req.method,
        path: req.target,
        headers: this._forwardedHeaders(req),
        body: req.body,
        memory: req.takeMemory(),
        rank,
        chain,
        workspace,
        deadline: req.receivedAt + Math.min(route.timeoutMs, remainingMs),
      },
      this._deps,
      (result) => {
        const { outcome, reason } = outcomeOf(result);
        if (external && outcome === 'answered') {
          this._deps.chainControl.recordSuccess(route.name, exchange.ageMs);
        }
        this._deps.metrics.requestEnded(service, outcome, reason, exchange.ageMs / 1_000);
        logResult(this._deps.events, { exchange, route: route.name, result, requestId });
        this._recordWorkspaceOutcome(workspace, result, outcome);
        this._respond(req, result);
      },
    );
    req.onDisconnect = () => {
      this._inFlight--;
      exchange.abandon();
    };
    exchange.start();
  }

  private _recordWorkspaceOutcome(workspace: RequestWorkspace | undefined, result: ExchangeResult, outcome: RequestOutcome): void {
    if (workspace) {
      this._deps.metrics.workspaceEnded(workspace.name, outcome);
    }
    if (result.kind === 'not_run') {
      this._deps.entry.returnToken(workspace);
    }
  }

  /** Removes the key header if keys are required; otherwise forwards it like any other header. */
  private _forwardedHeaders({ headers: { forwarded, credentials } }: CallerRequest): string[] {
    if (credentials.length === 0 || this._deps.keysRequired()) {
      return forwarded;
    }
    return [...forwarded, ...credentials.flatMap((value) => [kCredentialsHeader, value])];
  }

  private _respond(req: CallerRequest, result: ExchangeResult): void {
    switch (result.kind) {
      case 'answered':
        this._send(req, {
          ...result.answer,
          headers: this._withRequestId(result.answer.headers, req.headers.requestId),
        });
        return;
      case 'not_run':
        this._refuse(req, 503, `not run: ${result.reason}`, Math.max(kDefaultRetryAfterMs, result.retryAfterMs));
        return;
      case 'lost':
        this._refuse(req, 502, `may have run: ${result.reason}`);
        return;
      case 'timed_out':
        this._refuse(req, 504, 'no response before the deadline');
        return;
    }
  }

  private _withRequestId(headers: string[], requestId: string): string[] {
    return requestId === '' ? headers : [...headers, this._deps.names.requestId, requestId];
  }

  private _refuse(req: CallerRequest, status: number, detail: string, retryAfterMs?: number, extraHeaders: readonly string[] = []): void {
    const headers = ['content-type', 'application/problem+json', ...extraHeaders];
    if (retryAfterMs !== undefined) {
      headers.push('retry-after', ((retryAfterMs * (1 + Math.random() * kRetrySpread)) / 1_000).toFixed(3));
    }
    this._send(req, { status, headers, body: Buffer.from(JSON.stringify({ status, detail })) });
  }

  private _send(req: CallerRequest, response: CallerResponse): void {
    this._inFlight--;
    req.respond(response);
  }
}
