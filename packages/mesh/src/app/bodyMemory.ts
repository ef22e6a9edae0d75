/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Memory of the daemon for the bodies of requests and responses, with its log lines. */

import { MemoryAccount, type MemoryPlace } from '@gentiandrum/core';
import type { EventFields, EventLog } from './eventLog.js';
import type { MeshMetrics } from './meshMetrics.js';

/** Memory that a busy daemon needs without bodies, in MiB: program, heap, connections and control. */
const kOwnMb = 96;
/** Share of the rest that bodies may hold: buffers that were released keep their memory until the next garbage collection. */
const kBodyShare = 1 / 2;
/** Smallest share of the process's memory for bodies, for limits that are near the daemon's own need. */
const kMinShare = 1 / 8;
const kBytesPerMb = 2 ** 20;

/** Memory limit for bodies, in bytes; `memoryMb` is that of the process, in MiB. */
export function bodyMemoryLimit(memoryMb: number): number {
  return Math.max((memoryMb - kOwnMb) * kBodyShare, memoryMb * kMinShare) * kBytesPerMb;
}

export class BodyMemory {
  readonly account: MemoryAccount;

  constructor(
    memoryMb: number,
    private readonly _metrics: Pick<MeshMetrics, 'memoryRefused'>,
    private readonly _log: Pick<EventLog, 'info' | 'warn'>,
  ) {
    this.account = new MemoryAccount(bodyMemoryLimit(memoryMb));
    this.account.events = {
      onExhausted: () => {
        _log.warn('memory', 'Bodies have used up their memory; further ones wait or are refused.', this._fields());
      },
      onRelieved: () => {
        _log.info('memory', 'Bodies have memory again.', this._fields());
      },
    };
  }

  /** Counts and logs a body that was refused; `bytes` is its stated length, or what was received of it. */
  refused(place: MemoryPlace, requestId: string, bytes: number): void {
    this._metrics.memoryRefused(place);
    this._log.info('memory', 'Refused a body for lack of memory.', { req: requestId, place, bytes, ...this._fields() });
  }

  private _fields(): EventFields {
    const { account } = this;
    return { held: account.held, limit: Math.round(account.limitBytes), waiting: account.waiting };
  }
}
