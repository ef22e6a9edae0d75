/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Runs calls on the target of this host, and tells a whole answer of its own from everything else that may come on the
 * connection.
 */

import { type CallResult, monotonicMs, type ReachabilityEvidence } from '@gentiandrum/core';
import { Deadlines, type Expirable } from '../app/calls/deadlines.js';
import { HeaderReader } from '../http/headerReader.js';
import { requestBytes } from '../http/messageText.js';
import type { HeaderNames } from '../ports.js';
import type { PeerCall } from './callCodec.js';
import { CrashInquiry } from './crashInquiry.js';
import { type ExchangeOutcome, type TargetAnswer, TargetConnection } from './targetConnection.js';

/** Statuses that promise "not run"; a target that says so without proof isn't believed, nor passed on. */
const kPromises: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Time that a target gets to end its work itself once the caller's time is over, in milliseconds. */
const kOvertimeMs = 300;

/** Reason of a run's end when its target ended while it ran. */
const kTargetEnded = 'target ended';

/** How a run ended. */
export interface RunEnd {
  end: CallResult;
  /** Whether the target itself answered, so that its time tells something of it. */
  answered: boolean;
}

/** What a client tells of its target. */
export interface TargetEvents {
  /** A connection came about, or did not. */
  onReach(evidence: ReachabilityEvidence): void;
  /** The target ended while these calls ran there; told before their ends are. */
  onCrash(calls: readonly PeerCall[]): void;
}

/** A run that has been started. */
export interface Run {
  /** Breaks the run off; its end is still reported. */
  abort(): void;
}

/** Client of one incarnation of a target. */
export class TargetClient {
  private readonly _headers: HeaderReader;
  /** Connections without a request, the one that was used last at the end: few are used, and the others end by themselves. */
  private readonly _idle: TargetConnection[] = [];
  private readonly _connections = new Set<TargetConnection>();
  private readonly _runs = new Deadlines();
  private readonly _inquiry: CrashInquiry;

  constructor(
    private readonly _address: string,
    private readonly _instance: string,
    /** Connections that the target accepts, as known now: the configuration may come after the first call. */
    private readonly _maxConnections: () => number,
    private readonly _names: HeaderNames,
    private readonly _events: TargetEvents,
  ) {
    this._headers = new HeaderReader(_names);
    this._inquiry = new CrashInquiry({
      probe: () =>
        this._open(() => {
          this._inquiry.connected();
        }) !== undefined,
      cutAll: () => {
        for (const connection of this._connections) {
          connection.cut('the target ended');
        }
      },
      onCrash: (calls) => {
        _events.onCrash(calls);
      },
    });
  }

  /** Sends a call to the target. */
  run(call: PeerCall, remainingMs: number, done: (end: RunEnd) => void): Run {
    const connection = this._takeIdle() ?? this._open();
    if (!connection) {
      setImmediate(done, { end: { kind: 'not_run', reason: 'no_connection', retryAfterMs: 0 }, answered: false } satisfies RunEnd);
      return { abort: () => undefined };
    }
    const run = new TargetRun(connection, monotonicMs() + remainingMs + kOvertimeMs);
    this._runs.add(run);
    connection.send(this._bytesOf(call, remainingMs), call.method === 'HEAD', (outcome) => {
      this._runs.delete(run);
      run.ended = true;
      if (outcome.kind === 'broken' && outcome.cut && !run.aborted) {
        this._inquiry.add(call, (ended) => {
          done(lostRun(ended ? kTargetEnded : `connection: ${outcome.reason}`));
        });
        return;
      }
      const end = this._judge(call, outcome, run.aborted);
      if (outcome.kind === 'broken') {
        this._inquiry.abandoned(call);
      }
      if (end.end.kind === 'lost') {
        // What is still to come on the connection can't be told apart.
        connection.close('no whole answer');
      }
      done(end);
    });
    return run;
  }

  /** Tries a connection, to find out whether the target takes any; it is used for the next call. */
  probe(): void {
    if (this._idle.length === 0) {
      this._open();
    }
  }

  /** Breaks off runs whose time is over, and ends connections that the target is about to close; called a few times a second. */
  check(): void {
    this._runs.check();
    const now = monotonicMs();
    for (const connection of this._idle.filter((idle) => !idle.fresh(now))) {
      connection.close('idle');
    }
  }

  /** Ends all connections. */
  close(): void {
    for (const connection of this._connections) {
      connection.close('the target is another one', true);
    }
    this._inquiry.close();
  }

  private _takeReach(evidence: ReachabilityEvidence): void {
    if (evidence === 'refused') {
      this._inquiry.refused();
    }
    this._events.onReach(evidence);
  }

  private _bytesOf(call: PeerCall, remainingMs: number): Buffer[] {
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
    return requestBytes(call.method, call.path, headers, call.body);
  }

  private _takeIdle(): TargetConnection | undefined {
    const now = monotonicMs();
    for (let connection = this._idle.pop(); connection; connection = this._idle.pop()) {
      if (connection.fresh(now)) {
        return connection;
      }
      connection.close('idle');
    }
    return undefined;
  }

  private _open(onConnected: () => void = () => undefined): TargetConnection | undefined {
    if (this._connections.size >= this._maxConnections()) {
      return undefined;
    }
    const connection = new TargetConnection(this._address, this._headers, {
      onReach: (evidence) => {
        if (evidence === 'connected') {
          onConnected();
        }
        this._takeReach(evidence);
      },
      onIdle: (idle) => {
        this._idle.push(idle);
      },
      onClosed: (closed) => {
        this._connections.delete(closed);
        const at = this._idle.indexOf(closed);
        if (at >= 0) {
          this._idle.splice(at, 1);
        }
      },
    });
    this._connections.add(connection);
    return connection;
  }

  private _judge(call: PeerCall, outcome: ExchangeOutcome, aborted: boolean): RunEnd {
    switch (outcome.kind) {
      case 'answered':
        return this._judgeAnswer(call, outcome.answer);
      case 'unreachable':
        return { end: { kind: 'not_run', reason: aborted ? 'cancelled' : 'unreachable', retryAfterMs: 0 }, answered: false };
      case 'broken':
        return lostRun(aborted ? 'aborted' : `connection: ${outcome.reason}`);
    }
  }

  private _judgeAnswer(call: PeerCall, { status, headers, body }: TargetAnswer): RunEnd {
    if (headers.requestId !== call.requestId && call.requestId !== '') {
      return { end: { kind: 'lost', reason: 'answer of another request' }, answered: false };
    }
    if (headers.notRun || status === 421) {
      const reason = status === 421 ? 'wrong_instance' : 'target_refused';
      return { end: { kind: 'not_run', reason, retryAfterMs: 0 }, answered: true };
    }
    // An answer that only ends with its connection can't be told from one that was cut, by a target that crashed for example.
    if (!headers.framed) {
      return { end: { kind: 'lost', reason: 'answer without a length' }, answered: false };
    }
    if (kPromises.has(status)) {
      return { end: { kind: 'lost', reason: `status ${status} without proof` }, answered: true };
    }
    if (status < 300 && !headers.sealed) {
      return { end: { kind: 'lost', reason: 'success without the seal of the target' }, answered: false };
    }
    return { end: { kind: 'answered', answer: { status, headers: headers.kept, body } }, answered: true };
  }
}

function lostRun(reason: string): RunEnd {
  return { end: { kind: 'lost', reason }, answered: false };
}

/** One request on a connection to the target. */
class TargetRun implements Run, Expirable {
  aborted = false;
  /** The connection may be another run's by now. */
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
      this._connection.close('no longer wanted', true);
    }
  }
}
