/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Measures what control costs in bytes: messages to and from the log and the other daemons. */

import type { Socket } from 'node:net';
import type { LogTraffic } from '../client/logClient.js';

/** Meter of one daemon's control traffic. */
export class ControlMeter {
  private _peerBytes = 0;
  private readonly _countedBytes = new WeakMap<Socket, number>();

  constructor(private readonly _logTraffic: LogTraffic) {}

  /** Bytes of control messages since the start. */
  get bytes(): number {
    return this._peerBytes + this._logTraffic.bytes;
  }

  /** Appends to the log since the start. */
  get appends(): number {
    return this._logTraffic.appends;
  }

  /** Reads of the log since the start. */
  get reads(): number {
    return this._logTraffic.reads;
  }

  /** Takes the total that a peer's connection has carried so far, both ways, with its headers. */
  addConnectionBytes(socket: Socket, total: number): void {
    this._peerBytes += total - (this._countedBytes.get(socket) ?? 0);
    this._countedBytes.set(socket, total);
  }
}
