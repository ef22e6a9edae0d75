/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** A connection between two routing daemons. Batches the messages of one event loop iteration, and detects an unresponsive peer. */

import type { Socket } from 'node:net';
import { type MessageBody, monotonicMs } from '@gentiandrum/core';
import type { BodyOwner } from './bodyFrames.js';
import { BodySender, type PartSent } from './bodySender.js';
import { MessageReader, MessageWriter, type PeerMessage } from './peerMessages.js';

/** Idle time after which a peer with pending calls is pinged, in milliseconds: far above a round trip. */
const kPingAfterMs = 150;
/** Time without a response to a ping after which the peer counts as unresponsive, in milliseconds; calls then prefer other targets. */
const kUnresponsiveAfterMs = 150;
/**
 * Idle time after which a peer counts as lost at the shortest ping interval, in milliseconds: a daemon on a slow host may need most
 * of a second to respond.
 */
const kLostAfterMs = 1_200;
/** Interval between two checks above which this process was stalled, in milliseconds; pending data is read before the next check. */
const kStalledCheckMs = 400;
/** Idle time after which a link without pending calls is pinged, in milliseconds: detects a dead link before it is needed. */
const kIdlePingAfterMs = 2_000;
/**
 * Largest number of times the ping interval doubles while the peer responds: a sound link is pinged after 600 ms of silence, which still
 * finds a dead one within a second. With 70 links, pings at the shortest interval were a quarter to half of all messages of a daemon.
 */
const kMaxPingBackoff = 2;
/** Largest number of times the ping interval doubles for a link without pending calls. */
const kMaxIdlePingBackoff = 1;

export interface PeerLinkEvents {
  onMessage(link: PeerLink, message: PeerMessage): void;
  onClose(link: PeerLink, reason: string): void;
  /** The peer does not respond to a ping, or has responded again. */
  onUnresponsive(link: PeerLink, unresponsive: boolean): void;
}

export class PeerLink {
  /** Name of the peer's host; empty until its hello is received. */
  host = '';
  /** Number of sent calls without a result. */
  pendingCalls = 0;
  private readonly _reader = new MessageReader();
  private readonly _writer = new MessageWriter();
  private readonly _bodies: BodySender;
  private _outbox: Buffer[] = [];
  private _flushing = false;
  private _flushes = 0;
  private _receivedAt = monotonicMs();
  private _pingedAt = 0;
  private _checkedAt = monotonicMs();
  private _unresponsive = false;
  /** Number of consecutive pings with a response, up to {@link kMaxPingBackoff}; the ping interval doubles with each. */
  private _pingBackoff = 0;
  private _closed = false;

  constructor(
    private readonly _socket: Socket,
    private readonly _events: PeerLinkEvents,
  ) {
    this._bodies = new BodySender(_socket);
    _socket.setNoDelay(true);
    _socket.on('data', (chunk: Buffer) => {
      this._handleData(chunk);
    });
    _socket.on('error', (err) => {
      this.close(err.message);
    });
    _socket.on('close', () => {
      this.close('closed by the peer');
    });
  }

  get open(): boolean {
    return !this._closed;
  }

  /** Number of writes to the socket. Messages sent after the last one cannot have reached the peer. */
  get flushes(): number {
    return this._flushes;
  }

  /** Sends a message, batched with the others of this event loop iteration. */
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

  /** Sends a long body in parts, between the messages. `onSent` is not called any more once the link is closed. */
  sendBody(of: BodyOwner, id: number, body: MessageBody, onSent: PartSent): void {
    if (!this._closed) {
      this._bodies.add(of, id, body, onSent);
      this._bodies.pump();
    }
  }

  /** Stops sending a long body. */
  cancelBody(of: BodyOwner, id: number): void {
    this._bodies.cancel(of, id);
  }

  /** Pings an idle peer and closes the link to a lost one; called a few times a second. */
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
      this.close('no response to a ping');
    } else if (pinged && now - this._pingedAt > kUnresponsiveAfterMs) {
      this._setUnresponsive(true);
    } else if (!pinged && idleMs > this._pingIntervalMs()) {
      this._pingedAt = now;
      this.send({ type: 'ping' });
    }
  }

  close(reason: string): void {
    if (this._closed) {
      return;
    }
    this._closed = true;
    this._bodies.clear();
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
