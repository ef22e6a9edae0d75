/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Sends the offers of one call and queues their results as events for the call procedure. */

import { type CallEvent, type Candidate, type Effects, monotonicMs, type OfferResult, type Payload } from '@gentiandrum/core';
import { kOfferHeader, kVerdictHeader, type OfferTerms, offerVerdictSchema } from '@gentiandrum/protocol';
import { exchange, type ExchangeResult, HttpExchange } from '../client/httpExchange.js';
import type { Pools } from '../client/pools.js';
import type { OfferService } from './offerService.js';
import type { OpenOffers } from './openOffers.js';
import type { RequestMemory } from './requestMemory.js';
import { isErrorKind, kOpenReport } from '@gentiandrum/core';

/** Timeout for the response to a cancellation, in milliseconds. */
const kCancelTimeoutMs = 50;
const kMaxResponseBytes = 260 * 1024 * 1024;

/** Parts of the daemon that {@link CallSession} depends on. */
export interface SessionDeps {
  selfId: string;
  pools: Pools;
  offers: OfferService;
  /** Offers to other daemons that have no result yet, by the daemons' ids. */
  openOffers: OpenOffers;
  /** Whether the daemon of a target has left and proved that it never accepted an attempt. */
  neverAccepted: (to: Candidate, attempt: string) => Promise<boolean>;
}

/** The attempts of one call and their pending events. */
export class CallSession {
  private readonly _events: CallEvent[] = [];
  private readonly _exchanges = new Map<string, HttpExchange>();
  private _wake: ((event: CallEvent) => void) | undefined;
  private _callerDisconnected = false;

  /** @param _memory counts the responses */
  constructor(
    private readonly _deps: SessionDeps,
    private readonly _memory?: RequestMemory,
  ) {}

  onCallerDisconnect(): void {
    if (!this._callerDisconnected) {
      this._callerDisconnected = true;
      this._push({ kind: 'caller_gone' });
    }
  }

  /** Sends an offer; its result arrives as an event. */
  offer(effect: Effects['offer']['params']): Promise<undefined> {
    const { attempt, to, terms, payload } = effect;
    if (to.daemon === this._deps.selfId) {
      void this._deps.offers
        .offer(terms, payload, this._memory)
        .catch((): OfferResult => ({ kind: 'lost', written: true }))
        .then((result) => {
          this._push({ kind: 'ended', attempt, result });
        });
    } else {
      this._send(attempt, to, terms, payload);
    }
    return Promise.resolve(undefined);
  }

  /** Waits for the next event; resolves to a `timeout` event at `until` on the monotonic clock. */
  awaitEvent(until: number): Promise<CallEvent> {
    const event = this._events.shift();
    if (event) {
      return Promise.resolve(event);
    }
    return new Promise((resolve) => {
      const timer = setTimeout(
        () => {
          this._wake = undefined;
          resolve({ kind: 'timeout' });
        },
        Math.max(0, Math.ceil(until - monotonicMs())),
      );
      this._wake = (next) => {
        clearTimeout(timer);
        this._wake = undefined;
        resolve(next);
      };
    });
  }

  /** Cancels an attempt. Resolves to whether it had started if `awaited`, otherwise to `unknown` at once. */
  async cancel({ attempt, to, awaited }: Effects['cancel']['params']): Promise<Effects['cancel']['reply']> {
    const reply = this._cancel(attempt, to);
    return awaited ? reply : { kind: 'unknown' };
  }

  private async _cancel(attempt: string, to: Candidate): Promise<Effects['cancel']['reply']> {
    if (to.daemon === this._deps.selfId) {
      return { kind: this._deps.offers.cancel(attempt) };
    }
    const req = { method: 'POST', path: `/-/cancel/${encodeURIComponent(attempt)}`, headers: {}, body: new Uint8Array() };
    const result = await exchange(this._deps.pools.get(`http://${to.address}`), req, 1_024, kCancelTimeoutMs);
    const httpExchange = this._exchanges.get(attempt);
    this._exchanges.delete(attempt);
    httpExchange?.abort();
    if (result.kind !== 'answered' || result.status !== 200) {
      return { kind: 'unknown' };
    }
    return { kind: result.body.toString() === 'before_start' ? 'before_start' : 'started' };
  }

  private _send(attempt: string, to: Candidate, terms: OfferTerms, payload: Payload): void {
    const { method, path, headers, body } = payload;
    const { openOffers, selfId } = this._deps;
    const deadline = monotonicMs() + terms.remainingMs;
    const offer = JSON.stringify({ terms, method, path, headers, from: selfId });
    const req = { method: 'POST', path: '/-/offer', headers: { [kOfferHeader]: offer, 'content-type': 'application/octet-stream' }, body };
    openOffers.sent(to.daemon);
    const pool = this._deps.pools.get(`http://${to.address}`);
    const done = (result: ExchangeResult): void => {
      const awaited = this._exchanges.delete(attempt);
      openOffers.ended(to.daemon);
      if (result.kind === 'lost' && result.written && awaited && !terms.idempotent) {
        void this._onOfferLost(attempt, to, result, deadline);
      } else {
        this._push({ kind: 'ended', attempt, result: offerResultOf(result) });
      }
    };
    const httpExchange = new HttpExchange(pool, req, kMaxResponseBytes, done, this._memory);
    this._exchanges.set(attempt, httpExchange);
  }

  /**
   * Handles a non-idempotent offer whose connection closed without a response. If the daemon shut down gracefully and its last record does
   * not list the attempt, it never accepted the offer, so another target may run it. The proof does not count after the deadline.
   */
  private async _onOfferLost(
    attempt: string,
    to: Candidate,
    result: Extract<ExchangeResult, { kind: 'lost' }>,
    deadline: number,
  ): Promise<void> {
    const neverAccepted = await this._deps.neverAccepted(to, attempt);
    const written = !neverAccepted || monotonicMs() >= deadline;
    this._push({ kind: 'ended', attempt, result: { ...result, written } });
  }

  private _push(event: CallEvent): void {
    if (this._wake) {
      this._wake(event);
    } else {
      this._events.push(event);
    }
  }
}

/** Decodes the gate's response. A response without a verdict counts as lost. */
function offerResultOf(result: ExchangeResult): OfferResult {
  if (result.kind === 'lost') {
    return result;
  }
  const header = result.kind === 'answered' && result.status === 200 ? result.headers[kVerdictHeader] : undefined;
  if (result.kind !== 'answered' || typeof header !== 'string') {
    return { kind: 'lost', written: true };
  }
  const { unspent, level, retriedBelow, load, limit, kind, reason, status, headers, suspicion } = offerVerdictSchema.parse(
    JSON.parse(header),
  );
  const common = { unspent, level, load: { load, limit } };
  const errorKind = reason !== undefined && isErrorKind(reason) ? reason : 'target_failed';
  switch (kind) {
    case 'answered':
      return { kind, answer: { status: status ?? 502, headers: headers ?? {}, body: result.body }, retriedBelow, ...common };
    case 'refused':
      return { kind, reason: errorKind, ...common, ...(suspicion ? { suspicion } : {}) };
    case 'failed':
      return { kind, reason: errorKind, retriedBelow, ...common, ...(suspicion ? { suspicion } : {}) };
    case 'lost':
      return { kind, written: true };
  }
}

/** Encodes a result as the value of the verdict header. */
export function verdictHeader(result: OfferResult): string {
  if (result.kind === 'lost') {
    return JSON.stringify({ kind: 'lost', unspent: 0, level: kOpenReport, retriedBelow: false, load: 0, limit: 1 });
  }
  const { load } = result;
  const common = { unspent: result.unspent, level: result.level, load: load?.load ?? 0, limit: load?.limit ?? 1 };
  switch (result.kind) {
    case 'answered':
      return JSON.stringify({
        kind: 'answered',
        retriedBelow: result.retriedBelow,
        status: result.answer.status,
        headers: result.answer.headers,
        ...common,
      });
    case 'refused':
      return JSON.stringify({ kind: 'refused', retriedBelow: false, reason: result.reason, suspicion: result.suspicion, ...common });
    case 'failed':
      return JSON.stringify({
        kind: 'failed',
        retriedBelow: result.retriedBelow,
        reason: result.reason,
        suspicion: result.suspicion,
        ...common,
      });
  }
}
