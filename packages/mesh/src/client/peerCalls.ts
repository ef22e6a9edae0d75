/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Tracks calls over links: those that this daemon sent, and those that it received for its target. */

import { bodyBytes, type CallResult, type GateReport, MemoryAccount, type MemoryPlace, monotonicMs } from '@gentiandrum/core';
import type { OfferDone, OfferHandle } from '../app/calls/offeredCall.js';
import { isLongBody } from './bodyFrames.js';
import type { PeerCall } from './callCodec.js';
import { LinkBodies } from './linkBodies.js';
import type { PeerLink } from './peerLink.js';
import type { PeerMessage } from './peerMessages.js';

/** Report for results that do not come from a gate. */
const kEmptyReport: GateReport = { inFlight: 0, queued: 0, limit: 0, meanMs: 0, level: 0, inner: undefined, height: 0, chargeMs: 0 };

/** Result of a call to a daemon that is shutting down and no longer accepts calls. */
const kNotAccepting: CallResult = { kind: 'not_run', reason: 'not_accepting', retryAfterMs: 0 };
/** Longest time for which the body of a call waits for memory, in milliseconds, and as a share of the time until its deadline. */
const kMaxMemoryWaitMs = 2_000;
const kMemoryWaitShare = 0.5;
/** Retry-After of a call that was refused for lack of memory, in milliseconds: long bodies need about as long to be sent. */
const kMemoryRetryMs = 1_000;

/** Result of a call whose body this daemon had no memory for. */
const kNoMemory: CallResult = { kind: 'not_run', reason: 'no_memory', retryAfterMs: kMemoryRetryMs };

/** A sent call and the number of flushes of its link before it was sent. */
interface SentCall {
  done: OfferDone;
  requestId: string;
  flushes: number;
  /** Whether the peer has been sent all of it. */
  complete: boolean;
}

/** Calls on one link by id. The sender assigns increasing ids. */
interface LinkCalls {
  sent: Map<number, SentCall>;
  accepted: Map<number, OfferHandle>;
  bodies: LinkBodies;
  lastAcceptedId: number;
}

/** A call that waits for its link or its result. */
interface PendingOffer {
  link: PeerLink | undefined;
  settled: boolean;
}

/** Messages about calls. */
export type CallMessage = Extract<PeerMessage, { type: 'call' | 'cancel' | 'answer' | 'body_wanted' | 'part' | 'not_run' | 'lost' }>;

/** A body was refused for lack of memory. */
export type MemoryRefused = (place: MemoryPlace, requestId: string, bytes: number) => void;

/** The calls of one daemon. */
export class PeerCalls {
  private readonly _byLink = new Map<PeerLink, LinkCalls>();
  private _nextId = 1;
  private _shuttingDown = false;

  /** @param _onCall handles a call for the target on this host */
  constructor(
    private readonly _onCall: (call: PeerCall, done: OfferDone) => OfferHandle,
    private readonly _memory = new MemoryAccount(Infinity),
    private readonly _onMemoryRefused: MemoryRefused = () => undefined,
  ) {}

  /** Number of long answers that were not sent completely. */
  get unsentAnswers(): number {
    let count = 0;
    for (const { bodies } of this._byLink.values()) {
      count += bodies.unsentAnswers;
    }
    return count;
  }

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
      this._send(link, id, call, done);
    });
    return {
      cancel: () => {
        this._withdraw(pending, id, done);
      },
    };
  }

  /** Handles a message about a call. */
  receive(link: PeerLink, message: CallMessage): void {
    switch (message.type) {
      case 'call':
        this._accept(link, message);
        return;
      case 'cancel':
        this._cancel(link, message.id);
        return;
      case 'answer':
        this._handleAnswer(link, message);
        return;
      case 'body_wanted':
        this._byLink.get(link)?.bodies.send(message.of, message.id);
        return;
      case 'part':
        this._byLink.get(link)?.bodies.addPart(message.of, message.id, message.bytes);
        return;
      case 'not_run':
        this.complete(link, message.id, { kind: 'not_run', reason: message.reason, retryAfterMs: message.retryAfterMs }, message.report);
        return;
      case 'lost':
        this.complete(link, message.id, { kind: 'lost', reason: message.reason }, message.report);
        return;
    }
  }

  /** Refuses calls whose bodies have waited too long for memory; called a few times a second. */
  check(): void {
    for (const { bodies } of this._byLink.values()) {
      bodies.check();
    }
  }

  /** Stops accepting calls, and informs the peers which of their calls were accepted. */
  announceShutdown(links: Iterable<PeerLink>): void {
    this._shuttingDown = true;
    for (const link of links) {
      const calls = this._byLink.get(link);
      for (const id of calls?.bodies.expectedCalls ?? []) {
        calls?.bodies.cancelExpected('call', id);
        link.send(resultMessage(id, kNotAccepting, kEmptyReport));
      }
      link.send({ type: 'goodbye', taken: calls?.lastAcceptedId ?? 0 });
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

  /** Reports the result of a sent call. */
  complete(link: PeerLink, id: number, result: CallResult, load: GateReport = kEmptyReport): void {
    const calls = this._byLink.get(link);
    const call = calls?.sent.get(id);
    if (calls && call) {
      calls.sent.delete(id);
      calls.bodies.cancelOffered('call', id);
      calls.bodies.cancelExpected('answer', id);
      link.pendingCalls--;
      call.done(result, load);
    } else if (result.kind === 'answered') {
      result.answer.memory?.release();
    }
  }

  /** Ends all calls of a lost link. Calls that were not completely written to it have not run. */
  linkLost(link: PeerLink, reason: string): void {
    const calls = this._byLink.get(link);
    if (!calls) {
      return;
    }
    for (const [id, { flushes, complete }] of [...calls.sent]) {
      const written = link.flushes > flushes && complete;
      this.complete(link, id, written ? { kind: 'lost', reason } : { kind: 'not_run', reason: 'unreachable', retryAfterMs: 0 });
    }
    this._byLink.delete(link);
    calls.bodies.close();
    calls.accepted.forEach((handle) => {
      handle.cancel();
    });
  }

  /** Accepts a call from another daemon, once its body is received; refuses it if this daemon has announced its shutdown. */
  private _accept(link: PeerLink, { id, call, longBody }: Extract<PeerMessage, { type: 'call' }>): void {
    if (this._shuttingDown) {
      link.send(resultMessage(id, kNotAccepting, kEmptyReport));
      return;
    }
    const calls = this._callsOf(link);
    calls.lastAcceptedId = Math.max(calls.lastAcceptedId, id);
    if (longBody === undefined) {
      this._acceptShort(link, id, call);
      return;
    }
    const receivedAt = monotonicMs();
    calls.bodies.expect({
      of: 'call',
      id,
      bytes: longBody,
      place: 'received_requests',
      waitUntil: receivedAt + Math.min(kMaxMemoryWaitMs, call.remainingMs * kMemoryWaitShare),
      onReceived: (body, memory) => {
        const remainingMs = Math.max(1, Math.floor(call.remainingMs - (monotonicMs() - receivedAt)));
        this._start(link, id, { ...call, remainingMs, body, memory });
      },
      onRefused: () => {
        this._refuse(link, id, call, longBody);
      },
    });
  }

  /** Receives the answer to a sent call. */
  private _handleAnswer(link: PeerLink, { id, answer, report, longBody }: Extract<PeerMessage, { type: 'answer' }>): void {
    if (longBody === undefined) {
      this.complete(link, id, { kind: 'answered', answer }, report);
      return;
    }
    const calls = this._callsOf(link);
    const sent = calls.sent.get(id);
    if (!sent) {
      link.send({ type: 'cancel', id });
      return;
    }
    calls.bodies.expect({
      of: 'answer',
      id,
      bytes: longBody,
      place: 'received_responses',
      waitUntil: Infinity,
      onReceived: (body, memory) => {
        this.complete(link, id, { kind: 'answered', answer: { ...answer, body, memory } }, report);
      },
      onRefused: () => {
        this._onMemoryRefused('received_responses', sent.requestId, longBody);
        link.send({ type: 'cancel', id });
        this.complete(link, id, { kind: 'lost', reason: 'response too long for the memory of the ingress' }, report);
      },
    });
  }

  /** The peer cancels a call. */
  private _cancel(link: PeerLink, id: number): void {
    const calls = this._byLink.get(link);
    calls?.bodies.cancelExpected('call', id);
    calls?.bodies.cancelOffered('answer', id);
    calls?.accepted.get(id)?.cancel();
  }

  private _send(link: PeerLink, id: number, call: PeerCall, done: OfferDone): void {
    const calls = this._callsOf(link);
    const long = isLongBody(call.body);
    const sent: SentCall = { done, requestId: call.requestId, flushes: link.flushes, complete: !long };
    calls.sent.set(id, sent);
    link.pendingCalls++;
    link.send({ type: 'call', id, call });
    if (long) {
      calls.bodies.offer('call', id, call.body, undefined, () => {
        sent.complete = true;
      });
    }
  }

  private _acceptShort(link: PeerLink, id: number, call: PeerCall): void {
    const bytes = bodyBytes(call.body);
    if (bytes === 0) {
      this._start(link, id, call);
    } else if (this._memory.full) {
      this._refuse(link, id, call, bytes);
    } else {
      const memory = this._memory.open('received_requests');
      memory.hold(bytes);
      call.memory = memory;
      this._start(link, id, call);
    }
  }

  private _refuse(link: PeerLink, id: number, call: PeerCall, bytes: number): void {
    this._onMemoryRefused('received_requests', call.requestId, bytes);
    link.send(resultMessage(id, kNoMemory, kEmptyReport));
  }

  private _start(link: PeerLink, id: number, call: PeerCall): void {
    const progress = { ended: false };
    const handle = this._onCall(call, (result, load) => {
      progress.ended = true;
      call.memory?.release();
      this._byLink.get(link)?.accepted.delete(id);
      this._sendResult(link, id, result, load);
    });
    if (!progress.ended) {
      this._callsOf(link).accepted.set(id, handle);
    }
  }

  private _sendResult(link: PeerLink, id: number, result: CallResult, load: GateReport): void {
    const calls = this._byLink.get(link);
    link.send(resultMessage(id, result, load));
    if (result.kind !== 'answered') {
      return;
    }
    const { body, memory } = result.answer;
    if (calls && link.open && isLongBody(body)) {
      calls.bodies.offer('answer', id, body, memory);
    } else {
      memory?.release();
    }
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
      calls = { sent: new Map(), accepted: new Map(), bodies: new LinkBodies(link, this._memory), lastAcceptedId: 0 };
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
