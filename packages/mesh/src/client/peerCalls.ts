/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Tracks calls over links: those that this daemon sent, and those that it received for its target. */

import type { CallResult, GateReport } from '@gentiandrum/core';
import type { OfferDone, OfferHandle } from '../app/calls/offeredCall.js';
import type { PeerLink } from './peerLink.js';
import type { PeerCall } from './callCodec.js';
import type { PeerMessage } from './peerMessages.js';

/** Report for results that do not come from a gate. */
const kEmptyReport: GateReport = { inFlight: 0, queued: 0, limit: 0, meanMs: 0, level: 0, inner: undefined, height: 0, chargeMs: 0 };

/** Result of a call to a daemon that is shutting down and no longer accepts calls. */
const kNotAccepting: CallResult = { kind: 'not_run', reason: 'not_accepting', retryAfterMs: 0 };

/** A sent call and the number of flushes of its link before it was sent. */
interface SentCall {
  done: OfferDone;
  flushes: number;
}

/** Calls on one link by id. The sender assigns increasing ids. */
interface LinkCalls {
  sent: Map<number, SentCall>;
  accepted: Map<number, OfferHandle>;
  lastAcceptedId: number;
}

/** A call that waits for its link or its result. */
interface PendingOffer {
  link: PeerLink | undefined;
  settled: boolean;
}

/** The calls of one daemon. */
export class PeerCalls {
  private readonly _byLink = new Map<PeerLink, LinkCalls>();
  private _nextId = 1;
  private _shuttingDown = false;

  /** @param _onCall handles a call for the target on this host */
  constructor(private readonly _onCall: (call: PeerCall, done: OfferDone) => OfferHandle) {}

  /** Sends a call over the link that `withLink` passes to its callback, synchronously or later. */
  offer(withLink: (callback: (link: PeerLink | undefined) => void) => void, call: PeerCall, done: OfferDone): OfferHandle {
    const id = this._nextId++;
    const pending: PendingOffer = { link: undefined, settled: false };
    withLink((link) => {
      if (pending.settled) {
        return;
      }
      if (!link?.open) {
        pending.settled = true;
        done({ kind: 'not_run', reason: 'unreachable', retryAfterMs: 0 }, kEmptyReport);
        return;
      }
      pending.link = link;
      link.pendingCalls++;
      this._callsOf(link).sent.set(id, { done, flushes: link.flushes });
      link.send({ type: 'call', id, call });
    });
    return {
      cancel: () => {
        this._withdraw(pending, id, done);
      },
    };
  }

  /** Accepts a call from another daemon; refuses it once this daemon has announced its shutdown. */
  accept(link: PeerLink, id: number, call: PeerCall): void {
    if (this._shuttingDown) {
      link.send(resultMessage(id, kNotAccepting, kEmptyReport));
      return;
    }
    const calls = this._callsOf(link);
    calls.lastAcceptedId = Math.max(calls.lastAcceptedId, id);
    const progress = { ended: false };
    const handle = this._onCall(call, (result, load) => {
      progress.ended = true;
      this._byLink.get(link)?.accepted.delete(id);
      link.send(resultMessage(id, result, load));
    });
    if (!progress.ended) {
      calls.accepted.set(id, handle);
    }
  }

  /** Stops accepting calls, and informs the peers which of their calls were accepted. */
  announceShutdown(links: Iterable<PeerLink>): void {
    this._shuttingDown = true;
    for (const link of links) {
      link.send({ type: 'goodbye', taken: this._byLink.get(link)?.lastAcceptedId ?? 0 });
    }
  }

  /** The peer is shutting down and has not accepted calls with ids above `lastAcceptedId`. */
  peerShutDown(link: PeerLink, lastAcceptedId: number): void {
    for (const id of [...(this._byLink.get(link)?.sent.keys() ?? [])]) {
      if (id > lastAcceptedId) {
        this.complete(link, id, kNotAccepting);
      }
    }
  }

  /** The peer cancels a call. */
  cancel(link: PeerLink, id: number): void {
    this._byLink.get(link)?.accepted.get(id)?.cancel();
  }

  /** Reports the result of a sent call. */
  complete(link: PeerLink, id: number, result: CallResult, load: GateReport = kEmptyReport): void {
    const sent = this._byLink.get(link)?.sent;
    const call = sent?.get(id);
    if (call) {
      sent?.delete(id);
      link.pendingCalls--;
      call.done(result, load);
    }
  }

  /** Ends all calls of a lost link. Calls that were not yet written to it have not run. */
  linkLost(link: PeerLink, reason: string): void {
    const calls = this._byLink.get(link);
    if (!calls) {
      return;
    }
    for (const [id, { flushes }] of [...calls.sent]) {
      const written = link.flushes > flushes;
      this.complete(link, id, written ? { kind: 'lost', reason } : { kind: 'not_run', reason: 'unreachable', retryAfterMs: 0 });
    }
    this._byLink.delete(link);
    calls.accepted.forEach((handle) => {
      handle.cancel();
    });
  }

  private _withdraw(pending: PendingOffer, id: number, done: OfferDone): void {
    const { link, settled } = pending;
    pending.settled = true;
    if (link) {
      if (this._byLink.get(link)?.sent.has(id)) {
        link.send({ type: 'cancel', id });
        this.complete(link, id, { kind: 'lost', reason: 'cancelled' });
      }
    } else if (!settled) {
      done({ kind: 'not_run', reason: 'cancelled', retryAfterMs: 0 }, kEmptyReport);
    }
  }

  private _callsOf(link: PeerLink): LinkCalls {
    let calls = this._byLink.get(link);
    if (!calls) {
      calls = { sent: new Map(), accepted: new Map(), lastAcceptedId: 0 };
      this._byLink.set(link, calls);
    }
    return calls;
  }
}

function resultMessage(id: number, result: CallResult, load: GateReport): PeerMessage {
  switch (result.kind) {
    case 'answered':
      return { type: 'answer', id, answer: result.answer, report: load };
    case 'not_run':
      return { type: 'not_run', id, reason: result.reason, retryAfterMs: Math.round(result.retryAfterMs), report: load };
    case 'lost':
      return { type: 'lost', id, reason: result.reason, report: load };
  }
}
