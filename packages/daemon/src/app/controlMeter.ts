/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Measures control traffic: messages to and from the platform's log and the other daemons. */

import type { Socket } from 'node:net';
import type { LogTraffic } from '../client/logClient.js';

/** Control traffic of one daemon since its start. */
export class ControlMeter {
  private _peerBytes = 0;
  private readonly _countedBytes = new WeakMap<Socket, number>();

  constructor(private readonly _logTraffic: LogTraffic) {}

  /** Total size of the control messages, in bytes. */
  get bytes(): number {
    return this._peerBytes + this._logTraffic.bytes;
  }

  /** Number of appends to the log. */
  get appends(): number {
    return this._logTraffic.appends;
  }

  /** Number of reads of the log. */
  get reads(): number {
    return this._logTraffic.reads;
  }

  /** Adds the traffic of a peer connection; `total` is the cumulative size in both directions with headers, in bytes. */
  addConnectionBytes(socket: Socket, total: number): void {
    this._peerBytes += total - (this._countedBytes.get(socket) ?? 0);
    this._countedBytes.set(socket, total);
  }
}
