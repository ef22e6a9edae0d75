/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Long bodies that are received or sent over one link. The receiver asks for a body once it has memory for it; until then its bytes stay
 * with the sender.
 */

import { type MemoryAccount, type MemoryLease, type MemoryPlace, type MessageBody, monotonicMs } from '@gentiandrum/core';
import { BodyCollector } from '../http/bodyCollector.js';
import type { BodyOwner } from './bodyFrames.js';
import type { PeerLink } from './peerLink.js';

/** A body that is received. */
export interface ExpectedBody {
  of: BodyOwner;
  id: number;
  bytes: number;
  place: MemoryPlace;
  /** Time until which it waits for memory, on the monotonic clock. */
  waitUntil: number;
  onReceived(body: MessageBody, memory: MemoryLease): void;
  /** There is no memory for it; its sender still has it. */
  onRefused(): void;
}

interface IncomingBody extends ExpectedBody {
  memory: MemoryLease;
  collector: BodyCollector;
  waiting: boolean;
}

/** A body that the peer has not received completely. */
interface OfferedBody {
  body: MessageBody;
  memory: MemoryLease | undefined;
  onSent: () => void;
}

export class LinkBodies {
  private readonly _incoming = new Map<string, IncomingBody>();
  private readonly _offered = new Map<string, OfferedBody>();

  constructor(
    private readonly _link: PeerLink,
    private readonly _account: MemoryAccount,
  ) {}

  /** Number of bodies of answers that the peer has not received. */
  get unsentAnswers(): number {
    return [...this._offered.keys()].filter((key) => key.startsWith('answer')).length;
  }

  /** Ids of the calls whose bodies have not been received. */
  get expectedCalls(): number[] {
    return [...this._incoming.values()].filter(({ of }) => of === 'call').map(({ id }) => id);
  }

  /** Asks for a body as soon as there is memory for it. */
  expect(expected: ExpectedBody): void {
    const { of, id, bytes, place } = expected;
    const incoming = { ...expected, memory: this._account.open(place), collector: new BodyCollector(), waiting: false };
    const reservation = incoming.memory.reserve(bytes, () => {
      incoming.waiting = false;
      this._link.send({ type: 'body_wanted', of, id });
    });
    switch (reservation) {
      case 'granted':
        this._incoming.set(keyOf(of, id), incoming);
        this._link.send({ type: 'body_wanted', of, id });
        return;
      case 'waiting':
        incoming.waiting = true;
        this._incoming.set(keyOf(of, id), incoming);
        return;
      case 'too_long':
        incoming.memory.release();
        expected.onRefused();
        return;
    }
  }

  /** Adds a part that was received; parts of a body that is not expected any more are ignored. Throws if it is longer than stated. */
  addPart(of: BodyOwner, id: number, bytes: Buffer): void {
    const incoming = this._incoming.get(keyOf(of, id));
    if (!incoming) {
      return;
    }
    incoming.collector.append(bytes);
    const missing = incoming.bytes - incoming.collector.bytes;
    if (missing < 0) {
      throw new Error(`expected a body of ${incoming.bytes} bytes, got a longer one`);
    }
    if (missing === 0) {
      this._incoming.delete(keyOf(of, id));
      incoming.onReceived(incoming.collector.take(), incoming.memory);
    }
  }

  /** Keeps a body until the peer asks for it; `memory` is released as it is sent. */
  offer(of: BodyOwner, id: number, body: MessageBody, memory?: MemoryLease, onSent: () => void = () => undefined): void {
    this._offered.set(keyOf(of, id), { body, memory, onSent });
  }

  /** The peer asks for a body. */
  send(of: BodyOwner, id: number): void {
    const offered = this._offered.get(keyOf(of, id));
    if (!offered) {
      return;
    }
    const { body, memory, onSent } = offered;
    offered.body = [];
    this._link.sendBody(of, id, body, (bytes, last) => {
      memory?.shrink(bytes);
      if (last) {
        this._offered.delete(keyOf(of, id));
        memory?.release();
        onSent();
      }
    });
  }

  /** Gives up a body that is received. */
  cancelExpected(of: BodyOwner, id: number): void {
    if (this._incoming.size === 0) {
      return;
    }
    const key = keyOf(of, id);
    this._incoming.get(key)?.memory.release();
    this._incoming.delete(key);
  }

  /** Gives up a body that is sent. */
  cancelOffered(of: BodyOwner, id: number): void {
    if (this._offered.size === 0) {
      return;
    }
    const key = keyOf(of, id);
    const offered = this._offered.get(key);
    if (offered) {
      this._offered.delete(key);
      this._link.cancelBody(of, id);
      offered.memory?.release();
    }
  }

  /** Refuses the bodies that have waited for too long. */
  check(): void {
    const now = monotonicMs();
    for (const incoming of [...this._incoming.values()]) {
      if (incoming.waiting && now > incoming.waitUntil) {
        this.cancelExpected(incoming.of, incoming.id);
        incoming.onRefused();
      }
    }
  }

  /** Gives up all bodies, because the link was lost. */
  close(): void {
    for (const { memory } of [...this._incoming.values(), ...this._offered.values()]) {
      memory?.release();
    }
    this._incoming.clear();
    this._offered.clear();
  }
}

function keyOf(of: BodyOwner, id: number): string {
  return `${of} ${id}`;
}
