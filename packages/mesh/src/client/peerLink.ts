/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** One connection between two routing daemons: messages both ways, written once per turn of the loop, with a watch on silence. */

import type { Socket } from 'node:net';
import { monotonicMs } from '@gentiandrum/core';
import { MessageReader, MessageWriter, type PeerMessage } from './peerMessages.js';

/** Silence after which a peer that owes an answer is asked for a sign of life, in milliseconds: far above a round trip. */
const kPingAfterMs = 150;
/** Time without the sign that was asked for, after which other targets are taken where there are some, in milliseconds. */
const kUnresponsiveAfterMs = 150;
/** Silence after which a peer counts as lost, in milliseconds: a daemon on a slow host may need most of a second. */
const kLostAfterMs = 1_200;
/** Pause between two checks from which on this process itself stood still, in milliseconds; what came meanwhile is read first. */
const kStalledCheckMs = 400;
/** Silence on an idle link after which it is probed, in milliseconds: a dead one should be known before it is needed. */
const kIdlePingAfterMs = 2_000;
/**
 * How often both times double while probes are answered. A link that is sound is probed after 600 ms of silence, which still finds
 * a dead one within a second; with 70 links and calls of half a second, probes at the shortest interval were a quarter to half
 * of all messages of a daemon.
 */
const kMaxPingBackoff = 2;
/** The same for idle links: a dead one is found within the time in which daemons have to notice a cut. */
const kMaxIdlePingBackoff = 1;

/** What a link tells its owner. */
export interface PeerLinkEvents {
  onMessage(link: PeerLink, message: PeerMessage): void;
  onClose(link: PeerLink, reason: string): void;
  /** The other end doesn't give the sign of life that it was asked for, or was heard of again. */
  onUnresponsive(link: PeerLink, unresponsive: boolean): void;
}

/** A connection to another daemon. */
export class PeerLink {
  /** Name of the host at the other end; empty until its hello came. */
  host = '';
  /** Answers that the other end owes. */
  pendingCalls = 0;
  private readonly _reader = new MessageReader();
  private readonly _writer = new MessageWriter();
  private _outbox: Buffer[] = [];
  private _flushing = false;
  private _flushes = 0;
  private _receivedAt = monotonicMs();
  private _pingedAt = 0;
  private _checkedAt = monotonicMs();
  private _unresponsive = false;
  /** Probes in a row that were answered in time, as far as they count. */
  private _pingBackoff = 0;
  private _closed = false;

  constructor(
    private readonly _socket: Socket,
    private readonly _events: PeerLinkEvents,
  ) {
    _socket.setNoDelay(true);
    _socket.on('data', (chunk: Buffer) => {
      this._handleData(chunk);
    });
    _socket.on('error', (err) => {
      this.close(err.message);
    });
    _socket.on('close', () => {
      this.close('closed by the other end');
    });
  }

  /** Whether messages can be sent. */
  get open(): boolean {
    return !this._closed;
  }

  /** Times that messages were handed to the socket: what was sent since the latest can't have reached the other end. */
  get flushes(): number {
    return this._flushes;
  }

  /** Sends a message, together with all others of this turn of the loop. */
  send(message: PeerMessage): void {
    if (this._closed) {
      return;
    }
    this._outbox.push(this._writer.encode(message));
    if (!this._flushing) {
      this._flushing = true;
      setImmediate(() => {
        this._flush();
      });
    }
  }

  /** Looks for silence; called a few times a second. */
  check(): void {
    const now = monotonicMs();
    const stalled = now - this._checkedAt > kStalledCheckMs;
    this._checkedAt = now;
    if (stalled) {
      return;
    }
    const idleMs = now - this._receivedAt;
    const pinged = this._pingedAt > this._receivedAt;
    if (pinged && now - this._pingedAt > kLostAfterMs - kPingAfterMs) {
      this.close('no sign of life');
    } else if (pinged && now - this._pingedAt > kUnresponsiveAfterMs) {
      this._setUnresponsive(true);
    } else if (!pinged && idleMs > this._pingIntervalMs()) {
      this._pingedAt = now;
      this.send({ type: 'ping' });
    }
  }

  /** Ends the link. */
  close(reason: string): void {
    if (this._closed) {
      return;
    }
    this._closed = true;
    this._socket.destroy();
    this._events.onClose(this, reason);
  }

  private _pingIntervalMs(): number {
    return this.pendingCalls > 0
      ? kPingAfterMs * 2 ** this._pingBackoff
      : kIdlePingAfterMs * 2 ** Math.min(kMaxIdlePingBackoff, this._pingBackoff);
  }

  private _setUnresponsive(unresponsive: boolean): void {
    if (this._unresponsive !== unresponsive) {
      this._pingBackoff = 0;
      this._unresponsive = unresponsive;
      this._events.onUnresponsive(this, unresponsive);
    }
  }

  private _flush(): void {
    this._flushing = false;
    const frames = this._outbox;
    this._outbox = [];
    if (!this._closed) {
      this._flushes++;
      this._socket.write(frames.length === 1 && frames[0] ? frames[0] : Buffer.concat(frames));
    }
  }

  private _handleData(chunk: Buffer): void {
    this._receivedAt = monotonicMs();
    this._setUnresponsive(false);
    try {
      for (const message of this._reader.push(chunk)) {
        this._handleMessage(message);
      }
    } catch (err) {
      this.close(err instanceof Error ? err.message : String(err));
    }
  }

  private _handleMessage(message: PeerMessage): void {
    if (message.type === 'ping') {
      this.send({ type: 'pong' });
    } else if (message.type === 'pong') {
      this._pingBackoff = Math.min(kMaxPingBackoff, this._pingBackoff + 1);
    } else {
      this._events.onMessage(this, message);
    }
  }
}
