/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Calls over links: those that this daemon sent and waits for, and those that others sent for its target. */

import type { CallResult, GateReport } from '@gentiandrum/core';
import type { OfferDone, OfferHandle } from '../app/calls/targetGate.js';
import type { PeerLink } from './peerLink.js';
import type { PeerCall } from './callCodec.js';
import type { PeerMessage } from './peerMessages.js';

/** Load that goes with an end that no gate reported. */
const kNoLoad: GateReport = { inFlight: 0, queued: 0, limit: 0, meanMs: 0, level: 0, inner: undefined, height: 0, chargeMs: 0 };

/** End of a call that came to, or was sent to, a daemon that stops and takes nothing any more. */
const kNotTaken: CallResult = { kind: 'not_run', reason: 'not_accepting', retryAfterMs: 0 };

/** A call that was sent, and how often its link had been written to before. */
interface SentCall {
  done: OfferDone;
  flushes: number;
}

/** Calls on one link, by the ids that the sending end gave them, which grow. */
interface LinkCalls {
  sent: Map<number, SentCall>;
  taken: Map<number, OfferHandle>;
  /** Largest id that came. */
  lastTaken: number;
}

/** Waits for a link and then for the end of a call; also the handle to withdraw it. */
interface Wait {
  link: PeerLink | undefined;
  over: boolean;
}

/** The calls of one daemon. */
export class PeerCalls {
  private readonly _byLink = new Map<PeerLink, LinkCalls>();
  private _nextId = 1;
  private _leaving = false;

  /** @param _onCall takes a call for the target on this host */
  constructor(private readonly _onCall: (call: PeerCall, done: OfferDone) => OfferHandle) {}

  /** Sends a call over the link that `withLink` brings, now or later. */
  offer(withLink: (use: (link: PeerLink | undefined) => void) => void, call: PeerCall, done: OfferDone): OfferHandle {
    const id = this._nextId++;
    const wait: Wait = { link: undefined, over: false };
    withLink((link) => {
      if (wait.over) {
        return;
      }
      if (!link?.open) {
        wait.over = true;
        done({ kind: 'not_run', reason: 'unreachable', retryAfterMs: 0 }, kNoLoad);
        return;
      }
      wait.link = link;
      link.owed++;
      this._of(link).sent.set(id, { done, flushes: link.flushes });
      link.send({ type: 'call', id, call });
    });
    return {
      cancel: () => {
        this._withdraw(wait, id, done);
      },
    };
  }

  /** Takes a call from another daemon; none once this one has told the others which calls it took. */
  take(link: PeerLink, id: number, call: PeerCall): void {
    if (this._leaving) {
      link.send(replyOf(id, kNotTaken, kNoLoad));
      return;
    }
    const calls = this._of(link);
    calls.lastTaken = Math.max(calls.lastTaken, id);
    const progress = { ended: false };
    const handle = this._onCall(call, (end, load) => {
      progress.ended = true;
      this._byLink.get(link)?.taken.delete(id);
      link.send(replyOf(id, end, load));
    });
    if (!progress.ended) {
      calls.taken.set(id, handle);
    }
  }

  /** This daemon is about to end: takes nothing more, and tells the other ends which calls it took. */
  leave(links: Iterable<PeerLink>): void {
    this._leaving = true;
    for (const link of links) {
      link.send({ type: 'goodbye', taken: this._byLink.get(link)?.lastTaken ?? 0 });
    }
  }

  /** The other daemon ends, and never took calls with ids above `taken`. */
  left(link: PeerLink, taken: number): void {
    for (const id of [...(this._byLink.get(link)?.sent.keys() ?? [])]) {
      if (id > taken) {
        this.settle(link, id, kNotTaken);
      }
    }
  }

  /** The other daemon withdraws a call. */
  cancel(link: PeerLink, id: number): void {
    this._byLink.get(link)?.taken.get(id)?.cancel();
  }

  /** A call that was sent has ended. */
  settle(link: PeerLink, id: number, end: CallResult, load: GateReport = kNoLoad): void {
    const sent = this._byLink.get(link)?.sent;
    const call = sent?.get(id);
    if (call) {
      sent?.delete(id);
      link.owed--;
      call.done(end, load);
    }
  }

  /** Ends all calls of a link that was lost. Those that were not yet written to it have not run. */
  lost(link: PeerLink, reason: string): void {
    const calls = this._byLink.get(link);
    if (!calls) {
      return;
    }
    for (const [id, { flushes }] of [...calls.sent]) {
      const written = link.flushes > flushes;
      this.settle(link, id, written ? { kind: 'lost', reason } : { kind: 'not_run', reason: 'unreachable', retryAfterMs: 0 });
    }
    this._byLink.delete(link);
    calls.taken.forEach((handle) => {
      handle.cancel();
    });
  }

  private _withdraw(wait: Wait, id: number, done: OfferDone): void {
    const { link, over } = wait;
    wait.over = true;
    if (link) {
      if (this._byLink.get(link)?.sent.has(id)) {
        link.send({ type: 'cancel', id });
        this.settle(link, id, { kind: 'lost', reason: 'cancelled' });
      }
    } else if (!over) {
      done({ kind: 'not_run', reason: 'cancelled', retryAfterMs: 0 }, kNoLoad);
    }
  }

  private _of(link: PeerLink): LinkCalls {
    let calls = this._byLink.get(link);
    if (!calls) {
      calls = { sent: new Map(), taken: new Map(), lastTaken: 0 };
      this._byLink.set(link, calls);
    }
    return calls;
  }
}

function replyOf(id: number, end: CallResult, load: GateReport): PeerMessage {
  switch (end.kind) {
    case 'answered':
      return { type: 'answer', id, answer: end.answer, load };
    case 'not_run':
      return { type: 'not_run', id, reason: end.reason, retryAfterMs: Math.round(end.retryAfterMs), load };
    case 'lost':
      return { type: 'lost', id, reason: end.reason, load };
  }
}
