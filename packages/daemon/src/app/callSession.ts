/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** One call's attempts in the world: sends offers, collects their ends, and wakes the procedure that waits for them. */

import { type CallEvent, type Candidate, type Effects, monotonicMs, type OfferResult, type Payload } from '@gentiandrum/core';
import { kOfferHeader, kVerdictHeader, type OfferTerms, offerVerdictSchema } from '@gentiandrum/protocol';
import { exchange, type ExchangeResult, HttpExchange } from '../client/httpExchange.js';
import type { Pools } from '../client/pools.js';
import type { OfferService } from './offerService.js';
import type { OpenOffers } from './openOffers.js';
import { isErrorKind, kOpenReport } from '@gentiandrum/core';

/** Time for the word whether a cancelled attempt had started, in milliseconds. */
const kCancelMs = 50;
const kMaxReplyBytes = 260 * 1024 * 1024;

/** What a session uses of its daemon. */
export interface SessionDeps {
  selfId: string;
  pools: Pools;
  offers: OfferService;
  /** Offers to other daemons that have no end yet, by the daemons' ids. */
  openOffers: OpenOffers;
  /** Whether the daemon of a target has left and proved that it never took an attempt. */
  neverTook: (to: Candidate, attempt: string) => Promise<boolean>;
}

/** Attempts of one call. */
export class CallSession {
  private readonly _events: CallEvent[] = [];
  private readonly _running = new Map<string, HttpExchange>();
  private _wake: ((event: CallEvent) => void) | undefined;
  private _gone = false;

  constructor(private readonly _deps: SessionDeps) {}

  /** The caller hung up. */
  callerGone(): void {
    if (!this._gone) {
      this._gone = true;
      this._push({ kind: 'caller_gone' });
    }
  }

  /** Sends an offer; its end comes as an event. */
  offer(effect: Effects['offer']['params']): Promise<undefined> {
    const { attempt, to, terms, payload } = effect;
    if (to.daemon === this._deps.selfId) {
      void this._deps.offers
        .offer(terms, payload)
        .catch((): OfferResult => ({ kind: 'lost', written: true }))
        .then((end) => {
          this._push({ kind: 'ended', attempt, result: end });
        });
    } else {
      this._send(attempt, to, terms, payload);
    }
    return Promise.resolve(undefined);
  }

  /** Waits for the next event. */
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

  /** Cancels an attempt; learns whether it had started if that is awaited. */
  async cancel({ attempt, to, awaited }: Effects['cancel']['params']): Promise<Effects['cancel']['reply']> {
    const word = this._cancel(attempt, to);
    return awaited ? word : { kind: 'unknown' };
  }

  private async _cancel(attempt: string, to: Candidate): Promise<Effects['cancel']['reply']> {
    if (to.daemon === this._deps.selfId) {
      return { kind: this._deps.offers.cancel(attempt) };
    }
    const req = { method: 'POST', path: `/-/cancel/${encodeURIComponent(attempt)}`, headers: {}, body: new Uint8Array() };
    const end = await exchange(this._deps.pools.get(`http://${to.address}`), req, 1_024, kCancelMs);
    const running = this._running.get(attempt);
    this._running.delete(attempt);
    running?.abort();
    if (end.kind !== 'answered' || end.status !== 200) {
      return { kind: 'unknown' };
    }
    return { kind: end.body.toString() === 'before_start' ? 'before_start' : 'started' };
  }

  private _send(attempt: string, to: Candidate, terms: OfferTerms, payload: Payload): void {
    const { method, path, headers, body } = payload;
    const { openOffers, selfId } = this._deps;
    const deadline = monotonicMs() + terms.remainingMs;
    const offer = JSON.stringify({ terms, method, path, headers, from: selfId });
    const req = { method: 'POST', path: '/-/offer', headers: { [kOfferHeader]: offer, 'content-type': 'application/octet-stream' }, body };
    openOffers.sent(to.daemon);
    const exchanged = new HttpExchange(this._deps.pools.get(`http://${to.address}`), req, kMaxReplyBytes, (end) => {
      const wanted = this._running.delete(attempt);
      openOffers.ended(to.daemon);
      if (end.kind === 'lost' && end.written && wanted && !terms.idempotent) {
        void this._lost(attempt, to, end, deadline);
      } else {
        this._push({ kind: 'ended', attempt, result: offerEnd(end) });
      }
    });
    this._running.set(attempt, exchanged);
  }

  /**
   * An offer that must not run twice was written to a connection that ended without an answer. A daemon that left as planned has told
   * which offers it may have taken; any other one was not, and may go to another target. Past its deadline nothing is proved any more.
   */
  private async _lost(attempt: string, to: Candidate, end: Extract<ExchangeResult, { kind: 'lost' }>, deadline: number): Promise<void> {
    const neverTook = await this._deps.neverTook(to, attempt);
    const written = !neverTook || monotonicMs() >= deadline;
    this._push({ kind: 'ended', attempt, result: { ...end, written } });
  }

  private _push(event: CallEvent): void {
    if (this._wake) {
      this._wake(event);
    } else {
      this._events.push(event);
    }
  }
}

/** Reads the gate's answer. One that can't be read is as good as lost. */
function offerEnd(end: ExchangeResult): OfferResult {
  if (end.kind === 'lost') {
    return end;
  }
  const header = end.kind === 'answered' && end.status === 200 ? end.headers[kVerdictHeader] : undefined;
  if (end.kind !== 'answered' || typeof header !== 'string') {
    return { kind: 'lost', written: true };
  }
  const { unspent, level, retriedBelow, load, limit, kind, reason, status, headers, suspicion } = offerVerdictSchema.parse(
    JSON.parse(header),
  );
  const common = { unspent, level, load: { load, limit } };
  const known = reason !== undefined && isErrorKind(reason) ? reason : 'target_failed';
  switch (kind) {
    case 'answered':
      return { kind, answer: { status: status ?? 502, headers: headers ?? {}, body: end.body }, retriedBelow, ...common };
    case 'refused':
      return { kind, reason: known, ...common, ...(suspicion ? { suspicion } : {}) };
    case 'failed':
      return { kind, reason: known, retriedBelow, ...common, ...(suspicion ? { suspicion } : {}) };
    case 'lost':
      return { kind, written: true };
  }
}

/** The gate's answer as it travels. */
export function verdictHeader(end: OfferResult): string {
  if (end.kind === 'lost') {
    return JSON.stringify({ kind: 'lost', unspent: 0, level: kOpenReport, retriedBelow: false, load: 0, limit: 1 });
  }
  const { load } = end;
  const common = { unspent: end.unspent, level: end.level, load: load?.load ?? 0, limit: load?.limit ?? 1 };
  switch (end.kind) {
    case 'answered':
      return JSON.stringify({
        kind: 'answered',
        retriedBelow: end.retriedBelow,
        status: end.answer.status,
        headers: end.answer.headers,
        ...common,
      });
    case 'refused':
      return JSON.stringify({ kind: 'refused', retriedBelow: false, reason: end.reason, suspicion: end.suspicion, ...common });
    case 'failed':
      return JSON.stringify({ kind: 'failed', retriedBelow: end.retriedBelow, reason: end.reason, suspicion: end.suspicion, ...common });
  }
}
