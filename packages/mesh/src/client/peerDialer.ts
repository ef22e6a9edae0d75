/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Opens connections to other daemons: one attempt at a time for each host, with exponential backoff after failures. */

import { connect, type Socket } from 'node:net';
import type { TargetRecord } from '@gentiandrum/core';
import { splitAddress } from '../app/addresses.js';
import type { PeerLink } from './peerLink.js';

/** Timeout of a connection attempt, in milliseconds: far above a round trip within a region. */
const kConnectMs = 700;
/** Initial and longest delay between connection attempts, in milliseconds. */
const kInitialRedialMs = 100;
const kMaxRedialMs = 1_600;

/** Called with the open link, or with undefined when it could not be opened. */
export type LinkCallback = (link: PeerLink | undefined) => void;

export interface PeerDialerEvents {
  /** A connection to a host was established; returns the link over it. */
  onOpen(host: string, socket: Socket): PeerLink;
  /** The attempt failed; returns the link that the peer has opened in the meantime, if any. */
  onFailed(host: string, reason: string): PeerLink | undefined;
}

interface Dial {
  socket: Socket | undefined;
  notBefore: number;
  retryDelayMs: number;
  /** Whether the last attempt failed. Such a host is retried until it is reachable, because calls exclude it until then. */
  failed: boolean;
  callbacks: LinkCallback[];
}

/** Opens the outgoing connections of one daemon. */
export class PeerDialer {
  private readonly _dials = new Map<string, Dial>();

  constructor(private readonly _events: PeerDialerEvents) {}

  /** Whether the last attempt to connect to a host failed. */
  failed(host: string): boolean {
    return this._dials.get(host)?.failed ?? false;
  }

  /** Starts to open a link unless an attempt is in progress or the retry delay has not elapsed. */
  dial(record: TargetRecord): void {
    this._dialIfAllowed(record);
  }

  /** Like {@link dial}, and passes the link to `callback`; passes undefined at once during the retry delay. */
  requestLink(record: TargetRecord, callback: LinkCallback): void {
    const dial = this._dialIfAllowed(record);
    if (dial.socket) {
      dial.callbacks.push(callback);
    } else {
      callback(undefined);
    }
  }

  /** Aborts all attempts. */
  close(): void {
    for (const dial of this._dials.values()) {
      dial.socket?.destroy();
    }
  }

  private _dialIfAllowed(record: TargetRecord): Dial {
    const dial = this._dialOf(record.host);
    if (!dial.socket && performance.now() >= dial.notBefore) {
      this._connect(record, dial);
    }
    return dial;
  }

  private _dialOf(host: string): Dial {
    let dial = this._dials.get(host);
    if (!dial) {
      dial = { socket: undefined, notBefore: 0, retryDelayMs: kInitialRedialMs, failed: false, callbacks: [] };
      this._dials.set(host, dial);
    }
    return dial;
  }

  private _connect(record: TargetRecord, dial: Dial): void {
    const socket = connect(splitAddress(record.peers));
    dial.socket = socket;
    const timer = setTimeout(() => {
      fail(`no connection within ${kConnectMs} ms`);
    }, kConnectMs);
    const fail = (reason: string): void => {
      clearTimeout(timer);
      socket.destroy();
      this._handleFailure(record.host, dial, reason);
    };
    const onError = (err: Error): void => {
      fail(err.message);
    };
    socket.once('error', onError);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', onError);
      this._handleConnect(record.host, dial, socket);
    });
  }

  private _handleConnect(host: string, dial: Dial, socket: Socket): void {
    dial.socket = undefined;
    dial.retryDelayMs = kInitialRedialMs;
    dial.failed = false;
    const link = this._events.onOpen(host, socket);
    dial.callbacks.splice(0).forEach((callback) => {
      callback(link);
    });
  }

  private _handleFailure(host: string, dial: Dial, reason: string): void {
    if (!dial.socket) {
      return;
    }
    dial.socket = undefined;
    dial.failed = true;
    dial.notBefore = performance.now() + dial.retryDelayMs * (0.75 + Math.random() / 2);
    dial.retryDelayMs = Math.min(kMaxRedialMs, dial.retryDelayMs * 2);
    const link = this._events.onFailed(host, reason);
    dial.callbacks.splice(0).forEach((callback) => {
      callback(link);
    });
  }
}
