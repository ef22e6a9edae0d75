/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Checks over TCP whether the local target is alive. */

import { connect, type Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { checkLiveness, type Liveness, type LivenessEffect, type LivenessObservation } from '@gentiandrum/core';

const kConnectTimeoutMs = 1_000;

/** Checks the target at an origin such as `http://10.1.2.3:80`. */
export async function checkConnection(url: string): Promise<Liveness> {
  const connection = new CheckedConnection(url);
  const check = checkLiveness();
  let step = check.next();
  while (step.done !== true) {
    step = check.next(await connection.perform(step.value));
  }
  connection.close();
  return step.value;
}

/** Performs the effects of one check. */
class CheckedConnection {
  private _socket: Socket | undefined;

  constructor(private readonly _url: string) {}

  async perform(effect: LivenessEffect): Promise<LivenessObservation> {
    switch (effect.kind) {
      case 'connect':
        return this._connect();
      case 'hold':
        return this._hold(effect.ms);
      case 'pause':
        return pause(effect.ms, 'open' as const);
    }
  }

  close(): void {
    this._socket?.destroy();
  }

  private _connect(): Promise<LivenessObservation> {
    this.close();
    const { hostname, port } = new URL(this._url);
    const socket = connect({ host: hostname, port: Number(port), timeout: kConnectTimeoutMs });
    this._socket = socket;
    return new Promise((resolve) => {
      socket.once('connect', () => {
        resolve('open');
      });
      socket.once('timeout', () => {
        resolve('failed');
      });
      // The listener stays for resets while the connection is held.
      socket.on('error', (err: NodeJS.ErrnoException) => {
        resolve(err.code === 'ECONNREFUSED' ? 'refused' : 'closed');
      });
    });
  }

  private _hold(ms: number): Promise<LivenessObservation> {
    const socket = this._socket;
    return new Promise((resolve) => {
      // After a stall of this process, a pending close is processed before the immediate.
      const timer = setTimeout(() => setImmediate(resolve, 'open'), ms);
      const onClosed = (): void => {
        clearTimeout(timer);
        resolve('closed');
      };
      if (!socket || socket.destroyed) {
        onClosed();
        return;
      }
      socket.once('close', onClosed);
      socket.once('end', onClosed);
      // Without a reader, the end of the stream would not be noticed.
      socket.resume();
    });
  }
}
