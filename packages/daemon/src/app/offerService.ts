/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Receives offers for the target on this host, passes them through the gate, and forwards admitted calls to the target. */

import {
  type AdmissionResult,
  type ErrorKind,
  type ForwardResult,
  type GateCall,
  gateCall,
  kOpenReport,
  kGateReopenPolicy,
  type GateEvents,
  monotonicMs,
  type OfferResult,
  type Payload,
  type RetryLedger,
  RootFilter,
  runProcedure,
  type Suspicion,
  wallMs,
} from '@gentiandrum/core';
import { kAttemptIdHeader, kChainHeader, kTimeoutHeader, type OfferTerms } from '@gentiandrum/protocol';
import { type ExchangeResult, HttpExchange } from '../client/httpExchange.js';
import type { Pools } from '../client/pools.js';
import { type ChainTokens, withBaggage } from './chainToken.js';
import type { DecisionLog } from './decisionLog.js';
import type { LocalTarget } from './localTarget.js';
import type { RequestMemory } from './requestMemory.js';
import type { SuspectOffers } from './suspectOffers.js';

/** Maximum number of attempt ids stored to detect duplicate deliveries. */
const kMaxSeenAttempts = 20_000;

interface Forwarding {
  cancel: () => void;
}

/** Parts of the daemon that {@link OfferService} depends on. */
export interface OfferDeps {
  incarnation: number;
  maxBodyBytes: number;
  ledger: RetryLedger;
  pools: Pools;
  tokens: ChainTokens;
  decisions: DecisionLog;
  target: () => LocalTarget;
  suspects: SuspectOffers;
  favour: () => 'goodput' | 'recovery';
}

/** Offers at the gate of one daemon. */
export class OfferService implements GateEvents<GateCall> {
  private readonly _pendingAdmissions = new Map<string, (result: AdmissionResult) => void>();
  private readonly _forwarding = new Map<string, Forwarding>();
  private readonly _terms = new Map<string, OfferTerms>();
  private readonly _seen = new Set<string>();
  private readonly _downstream: RootFilter;

  constructor(private readonly _deps: OfferDeps) {
    this._downstream = new RootFilter(_deps.favour, kGateReopenPolicy);
  }

  /** Number of offers in progress. */
  get inFlight(): number {
    return this._terms.size;
  }

  onStart(call: GateCall): void {
    this._resolveAdmission(call.id, { kind: 'started' });
  }

  onShed(call: GateCall, reason: ErrorKind): void {
    this._resolveAdmission(call.id, { kind: 'shed', reason });
  }

  /** Passes an offer through the gate and, once admitted, forwards it to the target; `memory` counts the response. */
  async offer(terms: OfferTerms, payload: Payload, memory?: RequestMemory): Promise<OfferResult> {
    const { target, ledger, decisions, suspects } = this._deps;
    const local = target();
    const ctx = {
      gate: local.gate,
      target: local.announcement?.target ?? '',
      ledger,
      downstream: this._downstream,
      seenAttempts: { add: (attempt: string) => this._markSeen(attempt) },
      logDecision: decisions.add.bind(decisions),
    };
    this._terms.set(terms.attempt, terms);
    let mayStillRun = true;
    try {
      const refusal = await suspects.enter(terms, payload);
      if (refusal) {
        decisions.add({ request: terms.request, attempt: terms.attempt, step: 'gate', cls: terms.className, reason: refusal });
        return withSuspicion({ kind: 'refused', reason: refusal, unspent: terms.allowance, level: kOpenReport }, () =>
          suspects.suspicionOf(terms, payload),
        );
      }
      const result = await runProcedure(gateCall(terms, payload, ctx), {
        awaitAdmission: ({ attempt }) => this._awaitAdmission(attempt),
        forward: ({ attempt, payload: sent, deadline }) => this._forward(attempt, sent, deadline, memory),
      });
      mayStillRun = result.kind === 'lost' || result.kind === 'failed';
      return withSuspicion(result, () => suspects.suspicionOf(terms, payload));
    } finally {
      this._terms.delete(terms.attempt);
      suspects.leave(terms.attempt, mayStillRun);
    }
  }

  /** Cancels an attempt. `before_start` guarantees that it has not started and never will. */
  cancel(attempt: string): 'before_start' | 'started' {
    const { gate } = this._deps.target();
    if (gate?.cancel(attempt)) {
      this._resolveAdmission(attempt, { kind: 'cancelled' });
      return 'before_start';
    }
    if (this._markSeen(attempt)) {
      return 'before_start';
    }
    this._forwarding.get(attempt)?.cancel();
    return 'started';
  }

  /** Records an attempt; true for its first delivery. */
  private _markSeen(attempt: string): boolean {
    if (this._seen.has(attempt)) {
      return false;
    }
    this._seen.add(attempt);
    const oldest = this._seen.keys().next();
    if (this._seen.size > kMaxSeenAttempts && !oldest.done) {
      this._seen.delete(oldest.value);
    }
    return true;
  }

  private _awaitAdmission(attempt: string): Promise<AdmissionResult> {
    return new Promise((resolve) => {
      this._pendingAdmissions.set(attempt, resolve);
    });
  }

  private _resolveAdmission(attempt: string, result: AdmissionResult): void {
    const resolve = this._pendingAdmissions.get(attempt);
    this._pendingAdmissions.delete(attempt);
    resolve?.(result);
  }

  private _forward(attempt: string, payload: Payload, deadline: number, memory: RequestMemory | undefined): Promise<ForwardResult> {
    const announcement = this._deps.target().announcement;
    const terms = this._terms.get(attempt);
    if (!announcement || !terms) {
      return Promise.resolve({ kind: 'lost', written: false });
    }
    const remainingMs = deadline - monotonicMs();
    const headers = this._headersFor(terms, payload, remainingMs);
    this._deps.suspects.started(attempt);
    const pool = this._deps.pools.getTarget(announcement.url, announcement.connections);
    return new Promise((resolve) => {
      let abortReason: 'timeout' | 'cancelled' | undefined;
      const done = (result: ExchangeResult): void => {
        clearTimeout(timer);
        this._forwarding.delete(attempt);
        void this._finishForward(attempt, result, abortReason).then(resolve);
      };
      const httpExchange = new HttpExchange(pool, { ...payload, headers }, this._deps.maxBodyBytes, done, memory);
      const stop = (reason: 'timeout' | 'cancelled'): void => {
        abortReason = reason;
        httpExchange.abort();
      };
      const timer = setTimeout(stop, remainingMs, 'timeout');
      this._forwarding.set(attempt, {
        cancel: () => {
          stop('cancelled');
        },
      });
    });
  }

  /** Updates the suspicion of the call's fingerprint, then returns the result of the run. */
  private async _finishForward(
    attempt: string,
    result: ExchangeResult,
    abortReason: 'timeout' | 'cancelled' | undefined,
  ): Promise<ForwardResult> {
    const { suspects } = this._deps;
    // A failed response doesn't clear the fingerprint: the call may have failed before the work that crashes the target.
    if (result.kind === 'answered' && result.status < 500) {
      suspects.completed(attempt);
    }
    if (!abortReason && (result.kind === 'truncated' || (result.kind === 'lost' && result.written))) {
      await suspects.onConnectionLost();
    }
    return forwardResultOf(result, abortReason);
  }

  private _headersFor(terms: OfferTerms, payload: Payload, remainingMs: number): Record<string, string | string[]> {
    const token = this._deps.tokens.seal({
      entry: terms.attempt,
      incarnation: BigInt(this._deps.incarnation),
      root: terms.root,
      importance: terms.importance,
      cohort: terms.cohort,
      depth: terms.depth,
      deadline: wallMs() + remainingMs,
      rootDaemon: terms.rootDaemon,
      rootAddress: terms.rootAddress,
      rootIncarnation: BigInt(terms.rootIncarnation),
      repeatable: terms.repeatable,
      path: terms.path,
    });
    const baggage = payload.headers.baggage;
    return {
      ...payload.headers,
      [kAttemptIdHeader]: terms.attempt,
      [kChainHeader]: token,
      baggage: withBaggage(Array.isArray(baggage) ? baggage.join(',') : baggage, token),
      [kTimeoutHeader]: String(Math.max(1, Math.floor(remainingMs))),
    };
  }
}

/** Attaches the known suspicion to a failure or refusal, as the sender may not have received it yet when it retries. */
function withSuspicion(result: OfferResult, lookUp: () => Suspicion | undefined): OfferResult {
  if (result.kind !== 'failed' && result.kind !== 'refused') {
    return result;
  }
  const suspicion = lookUp();
  return suspicion ? { ...result, suspicion } : result;
}

function forwardResultOf(result: ExchangeResult, abortReason: 'timeout' | 'cancelled' | undefined): ForwardResult {
  switch (result.kind) {
    case 'answered':
      return { kind: 'answered', answer: { status: result.status, headers: result.headers, body: result.body } };
    case 'truncated':
      return { kind: 'truncated' };
    case 'too_large':
      return { kind: 'too_large' };
    case 'lost':
      return abortReason && result.written ? { kind: abortReason } : { kind: 'lost', written: result.written };
  }
}
