/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Runs calls on the target of this host, and accepts only complete responses that come from the target itself.
 */

import { type MemoryAccount, monotonicMs, type ReachabilityEvidence } from '@gentiandrum/core';
import { Deadlines, type Expirable } from '../app/calls/deadlines.js';
import { HeaderReader } from '../http/headerReader.js';
import { encodeRequest } from '../http/messageText.js';
import { kNoCondition, type TargetCondition } from '../http/targetCondition.js';
import type { HeaderNames } from '../ports.js';
import type { PeerCall } from './callCodec.js';
import { type CheckConnection, type CheckEvents, CrashDetector, type SentCall } from './crashDetector.js';
import { isForRequest, isFromTarget, lostRun, provesNoRateLimit, resultOfResponse, type RunResult } from './runResult.js';
import { type TargetConnectionEvents, TargetConnection } from './targetConnection.js';
import type { ExchangeOutcome, UnsolicitedData } from './targetExchange.js';

/** Time after the deadline in which the target may still respond before the run is aborted, in milliseconds. */
const kAbortGraceMs = 300;

/** Reason of the result of a run that was in flight when the target crashed. */
const kTargetCrashedReason = 'target ended';

export interface TargetEvents {
  /** A connection attempt succeeded or failed. */
  onReachability(evidence: ReachabilityEvidence): void;
  /** The target stated its condition in the head of a response. */
  onCondition(call: PeerCall, condition: TargetCondition): void;
  /** The target stated its load in the head of a response; `text` is the value of the header. */
  onLoad(call: PeerCall, text: string): void;
  /** The target stated no rate limit in the complete response to a call that was sent at `sentAt`, on the monotonic clock. */
  onNoRateLimit(call: PeerCall, sentAt: number): void;
  /** There was no memory for the body of a response, of which `bytes` were stated or received. The call has run. */
  onResponseRefused(call: PeerCall, bytes: number): void;
  /** The target sent data that is not a response to the request; `requestId` is empty if there is none. */
  onUnsolicited(kind: UnsolicitedData, requestId: string): void;
  /** The target crashed while these calls were in flight. Called before their results are reported. */
  onCrash(calls: readonly PeerCall[]): void;
}

/** A run in flight. */
export interface Run {
  /** Aborts the run; its result is still reported. */
  abort(): void;
}

/** Client of one incarnation of a target. */
export class TargetClient {
  private readonly _headers: HeaderReader;
  /** Idle connections, the most recently used one last. It is reused first, so that surplus connections time out. */
  private readonly _idle: TargetConnection[] = [];
  private readonly _connections = new Set<TargetConnection>();
  private readonly _runs = new Deadlines();
  private readonly _crashDetector: CrashDetector;

  constructor(
    private readonly _address: string,
    private readonly _instance: string,
    /** Returns the current connection limit; the configuration may arrive after the first call. */
    private readonly _maxConnections: () => number,
    private readonly _names: HeaderNames,
    private readonly _events: TargetEvents,
    private readonly _memory: MemoryAccount,
  ) {
    this._headers = new HeaderReader(_names);
    this._crashDetector = new CrashDetector({
      connect: (checkEvents) => this._openForCheck(checkEvents),
      hasConnectionOlderThan: (time) => [...this._connections].some(({ connectedAt }) => connectedAt < time),
      disconnectAll: () => {
        for (const connection of this._connections) {
          connection.closeAfterCrash('the target crashed');
        }
      },
      onCrash: (calls) => {
        _events.onCrash(calls);
      },
    });
  }

  /** Sends a call to the target. */
  run(call: PeerCall, remainingMs: number, done: (runResult: RunResult) => void): Run {
    const connection = this._takeConnection(call.requestId);
    if (!connection) {
      setImmediate(done, { result: { kind: 'not_run', reason: 'no_connection', retryAfterMs: 0 }, responded: false } satisfies RunResult);
      return { abort: () => undefined };
    }
    const run = new TargetRun(connection, monotonicMs() + remainingMs + kAbortGraceMs);
    this._runs.add(run);
    const sentAt = monotonicMs();
    connection.send(
      this._encodeRequest(call, remainingMs),
      { requestId: call.requestId, isHead: call.method === 'HEAD' },
      {
        onHead: (status, headers) => {
          if (headers.condition !== kNoCondition && isFromTarget(call, status, headers)) {
            this._events.onCondition(call, headers.condition);
          }
          if (headers.load !== undefined && isFromTarget(call, status, headers)) {
            this._events.onLoad(call, headers.load);
          }
        },
        onRefused: (bytes) => {
          this._events.onResponseRefused(call, bytes);
        },
        onDone: (outcome) => {
          this._runs.delete(run);
          run.ended = true;
          if (outcome.kind === 'answered') {
            this._crashDetector.responded(sentAt);
          }
          if (outcome.kind === 'answered' && provesNoRateLimit(call, outcome.response)) {
            this._events.onNoRateLimit(call, sentAt);
          }
          this._handleOutcome({ call, sentAt }, connection, outcome, run.aborted, done);
        },
      },
    );
    return run;
  }

  /** Opens a connection to find out whether the target accepts any, unless an idle one exists; the next call uses it. */
  tryConnect(): void {
    if (this._idle.length === 0) {
      this._open();
    }
  }

  /** Aborts overdue runs, and closes connections that the target is about to close; called a few times a second. */
  check(): void {
    this._runs.check();
    const now = monotonicMs();
    for (const connection of this._idle.filter((idle) => !idle.isReusable(now))) {
      connection.close('idle');
    }
  }

  close(): void {
    for (const connection of this._connections) {
      connection.close('the target was replaced', true);
    }
    this._crashDetector.close();
  }

  private _handleOutcome(
    { call, sentAt }: SentCall,
    connection: TargetConnection,
    outcome: ExchangeOutcome,
    aborted: boolean,
    done: (runResult: RunResult) => void,
  ): void {
    if (outcome.kind === 'broken' && outcome.byTarget && !aborted) {
      this._crashDetector.addInterrupted(call, sentAt, (crashed) => {
        done(lostRun(crashed ? kTargetCrashedReason : `connection: ${outcome.reason}`));
      });
      return;
    }
    const runResult = this._resultOf(call, outcome, aborted);
    if (outcome.kind === 'broken') {
      this._crashDetector.addAbandoned(call, sentAt);
    }
    if (outcome.kind === 'answered' && runResult.result.kind !== 'answered') {
      outcome.response.memory?.release();
    }
    if (runResult.result.kind === 'lost') {
      // The rest of this response cannot be distinguished from the next one on the connection.
      connection.close('incomplete response');
    }
    done(runResult);
  }

  private _handleReachability(evidence: ReachabilityEvidence): void {
    if (evidence === 'refused') {
      this._crashDetector.refused();
    }
    this._events.onReachability(evidence);
  }

  private _encodeRequest(call: PeerCall, remainingMs: number): Buffer[] {
    const names = this._names;
    const headers = [...call.headers];
    if (call.requestId !== '') {
      headers.push(names.requestId, call.requestId);
    }
    headers.push(names.remainingMs, String(Math.max(1, Math.floor(remainingMs))), names.expectedInstance, this._instance);
    headers.push(names.callerService, call.callerService);
    if (call.workspace) {
      headers.push(names.workspace, call.workspace.name);
    }
    return encodeRequest(call.method, call.path, headers, call.body);
  }

  /** Returns an idle connection that allows the id, or a new one, for which an idle one is closed at the limit. */
  private _takeConnection(requestId: string): TargetConnection | undefined {
    const now = monotonicMs();
    for (let i = this._idle.length - 1; i >= 0; i--) {
      const connection = this._idle[i];
      if (connection?.isReusable(now) === false) {
        connection.close('idle');
      } else if (connection?.allows(requestId)) {
        this._idle.splice(i, 1);
        return connection;
      }
    }
    if (this._connections.size >= this._maxConnections()) {
      this._idle[0]?.close('replaced by a new connection');
    }
    return this._open();
  }

  /** Opens a connection that no call uses before its release. */
  private _openForCheck(events: CheckEvents): CheckConnection | undefined {
    const reserved = { held: true };
    const connection = this._open({
      onReachability: (evidence) => {
        events.onConnect(evidence === 'connected' ? 'open' : evidence === 'refused' ? 'refused' : 'failed');
      },
      onIdle: (idle) => {
        if (!reserved.held) {
          this._idle.push(idle);
        }
      },
      onClosed: () => {
        events.onClosed();
      },
    });
    if (!connection) {
      return undefined;
    }
    return {
      release: () => {
        reserved.held = false;
        if (connection.isReusable(monotonicMs()) && connection.connectedAt < Infinity) {
          this._idle.push(connection);
        }
      },
    };
  }

  private _open(events: Partial<TargetConnectionEvents> = {}): TargetConnection | undefined {
    if (this._connections.size >= this._maxConnections()) {
      return undefined;
    }
    const connectionEvents: TargetConnectionEvents = {
      onReachability: (evidence) => {
        events.onReachability?.(evidence);
        this._handleReachability(evidence);
      },
      onUnsolicited: (kind, requestId) => {
        this._events.onUnsolicited(kind, requestId);
      },
      onIdle:
        events.onIdle ??
        ((idle) => {
          this._idle.push(idle);
        }),
      onClosed: (closed) => {
        this._connections.delete(closed);
        this._removeIdle(closed);
        events.onClosed?.(closed);
      },
    };
    const connection = new TargetConnection(this._address, this._headers, connectionEvents, this._memory);
    this._connections.add(connection);
    return connection;
  }

  private _removeIdle(connection: TargetConnection): void {
    const at = this._idle.indexOf(connection);
    if (at < 0) {
      return;
    }
    this._idle.splice(at, 1);
    if (connection.closedByTarget) {
      this._crashDetector.idleClosed();
    }
  }

  private _resultOf(call: PeerCall, outcome: ExchangeOutcome, aborted: boolean): RunResult {
    switch (outcome.kind) {
      case 'answered':
        if (!isForRequest(call, outcome.response.headers)) {
          this._events.onUnsolicited('other_request', call.requestId);
        }
        return resultOfResponse(call, outcome.response);
      case 'unreachable':
        return { result: { kind: 'not_run', reason: aborted ? 'cancelled' : 'unreachable', retryAfterMs: 0 }, responded: false };
      case 'broken':
        return lostRun(aborted ? 'aborted' : `connection: ${outcome.reason}`);
    }
  }
}

/** One request on a connection to the target. */
class TargetRun implements Run, Expirable {
  aborted = false;
  /** Once set, another run may use the connection. */
  ended = false;

  constructor(
    private readonly _connection: TargetConnection,
    readonly deadline: number,
  ) {}

  expire(): void {
    this.abort();
  }

  abort(): void {
    if (!this.ended) {
      this.aborted = true;
      this._connection.close('run aborted', true);
    }
  }
}
