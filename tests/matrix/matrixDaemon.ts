/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** One daemon of the matrix, assembled from objects of the core. */

import {
  type AdmissionResult,
  ResponseStore,
  type TargetResponse,
  type Candidate,
  ClaimIndex,
  ConfigFold,
  type ErrorKind,
  Gate,
  type GateCall,
  type GateContext,
  KeySettler,
  RetryLedger,
  RetryTokenBucket,
  RootFilter,
  seededRandom,
  type ServeContext,
  Suspects,
  TargetPicker,
} from '@gentiandrum/core';
import type { Journal } from './journal.js';

const kSlots = 1;
const kMaxResponseBytes = 1_000_000;
const kMaxClaims = 1_000;

/** Options of a daemon of the matrix. */
export interface DaemonOptions {
  id: string;
  service: string;
  candidates: (service: string) => Candidate[];
  journal: Journal;
  newId: () => string;
  /** Returns the root request of a call. */
  rootOf: (call: string) => string;
  /** Address of the daemon that batches claims; undefined when that is this daemon. */
  relay?: string;
}

/** A daemon of the matrix. */
export class MatrixDaemon {
  readonly ledger = new RetryLedger();
  readonly responses = new ResponseStore(kMaxResponseBytes);
  readonly settler = new KeySettler();
  readonly index = new ClaimIndex(kMaxClaims);
  readonly fold = new ConfigFold();
  readonly queuedCalls = new Map<string, (result: AdmissionResult) => void>();
  readonly running = new Map<string, () => void>();
  readonly onCrash = new Set<() => void>();
  readonly gate: Gate<GateCall>;
  readonly serveContext: ServeContext;
  readonly gateContext: GateContext;
  readonly seenAttempts = new Set<string>();
  crashed = false;
  stopping = false;
  exitAt = Infinity;
  pausedUntil = 0;
  inFlight = 0;
  snapshotNext = 0;

  constructor(
    readonly options: DaemonOptions,
    readonly incarnation: number,
  ) {
    const { id, journal } = options;
    const events = {
      onStart: (call: GateCall) => {
        this._admit(call.id, { kind: 'started' });
      },
      onShed: (call: GateCall, reason: ErrorKind) => {
        this._admit(call.id, { kind: 'shed', reason });
      },
    };
    this.gate = new Gate<GateCall>(kSlots, () => 'goodput', events, -Infinity);
    this.gateContext = {
      gate: this.gate,
      target: id,
      ledger: this.ledger,
      downstream: new RootFilter(() => 'goodput'),
      seenAttempts: {
        add: (attempt) => !this.seenAttempts.has(attempt) && this.seenAttempts.add(attempt) === this.seenAttempts,
      },
      logDecision: () => undefined,
    };
    this.serveContext = this._makeServeContext(journal);
  }

  /** `daemon/incarnation`. */
  get name(): string {
    return `${this.options.id}/${this.incarnation}`;
  }

  /** Crashes the daemon: its running calls and its memory are lost. */
  crash(): void {
    this.crashed = true;
    for (const notify of this.onCrash) {
      notify();
    }
    this.onCrash.clear();
  }

  /** Resumes a queued call with the gate's decision. */
  admit(attempt: string, result: AdmissionResult): void {
    this._admit(attempt, result);
  }

  private _admit(attempt: string, result: AdmissionResult): void {
    const resume = this.queuedCalls.get(attempt);
    this.queuedCalls.delete(attempt);
    resume?.(result);
  }

  private _makeServeContext(journal: Journal): ServeContext {
    const { id, candidates, newId, relay, rootOf } = this.options;
    const bucket = new RetryTokenBucket(() => 1);
    return {
      daemon: { id, incarnation: this.incarnation, address: id },
      stopping: () => this.stopping,
      exitAt: () => this.exitAt,
      candidates,
      onUnreachable: () => undefined,
      unavailableTargets: () => 0,
      suspects: new Suspects({ broadcast: () => undefined, sendSome: () => undefined, onEvent: () => undefined }),
      picker: new TargetPicker(id, 'one', seededRandom(1)),
      rootFilter: new RootFilter(() => 'goodput'),
      ledger: this.ledger,
      retryBucket: () => bucket,
      responses: this.responses,
      settler: this.settler,
      claimShard: () => ({ shard: 0, index: this.index, relay }),
      newId,
      logDecision: ({ step, request }) => {
        if (step === 'retry' || step === 'compete') {
          journal.recordRetry(rootOf(request));
        }
      },
    };
  }
}

/** Body of a response as text. */
export function bodyText(response: TargetResponse): string {
  return Buffer.from(response.body).toString();
}
