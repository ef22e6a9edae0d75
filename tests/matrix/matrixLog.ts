/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** The platform's log in the matrix: streams in memory, with the faults that strike at its effects. */

import type { Reply } from '@gentiandrum/core';
import { claimStream, type ClaimRecord, kConfigStream, kSnapshotStream, type PatchRecord } from '@gentiandrum/protocol';
import type { VirtualTime } from '../support/virtualTime.js';
import type { Fault } from './faults.js';
import type { Journal } from './journal.js';
import type { MatrixDaemon } from './matrixDaemon.js';

/** Stream of the only shard. */
export const kClaimStream = claimStream(0);
const kLostReplyMs = 20;

/** The log. */
export class MatrixLog {
  readonly streams = new Map<string, unknown[]>();

  constructor(
    private readonly _journal: Journal,
    private readonly _time: VirtualTime,
  ) {}

  /** Appends a record; the fault decides what becomes of it. */
  append(stream: string, value: unknown, reply: (value: Reply, ms?: number) => void, fault: Fault | undefined, rival?: () => void): void {
    if (fault === 'refused') {
      reply({ kind: 'refused' });
      return;
    }
    if (fault === 'lost_before') {
      reply({ kind: 'lost' }, kLostReplyMs);
      return;
    }
    if (fault === 'rival') {
      rival?.();
    }
    const records = this.stream(stream);
    const offset = records.push(structuredClone(value)) - 1;
    if (fault === 'duplicate') {
      records.push(structuredClone(value));
    }
    reply(fault === 'lost_after' ? { kind: 'lost' } : { kind: 'appended', offset });
  }

  /** Reads a stream by `read`, unless the log is unavailable. */
  read(reply: (value: Reply) => void, fault: Fault | undefined, read: () => void): void {
    if (fault === 'refused') {
      reply({ kind: 'unavailable' });
      return;
    }
    read();
    reply({ kind: 'read' });
  }

  /** Folds the configuration stream to its end. */
  foldConfig(daemon: MatrixDaemon): void {
    this.stream(kConfigStream).forEach((value, offset) => {
      daemon.fold.apply(offset, value);
    });
  }

  /** Lets a daemon read the snapshots. */
  readSnapshots(daemon: MatrixDaemon, reply: (value: Reply) => void, fault: Fault | undefined): void {
    if (fault === 'refused') {
      reply({ kind: 'unavailable' });
      return;
    }
    const records = this.stream(kSnapshotStream);
    const seen = fault === 'stale' ? records.slice(0, 1) : records;
    seen.forEach((value) => daemon.fold.adopt(value, digest));
    reply({ kind: 'read' });
  }

  /** Another daemon claims the same key just before, and runs its call. */
  rivalClaims(record: ClaimRecord): void {
    const holder = this.stream(kClaimStream).some((batch) => (batch as ClaimRecord[]).some(({ key }) => key === record.key));
    if (record.released !== true && !holder) {
      this.stream(kClaimStream).push([{ ...record, nonce: 'rival', claimant: 'rival/1', address: 'rival' }]);
      this.rivalRuns(record.key);
    }
  }

  /** Notes that a rival runs the call of a key. */
  rivalRuns(key: string): void {
    this._journal.recordRun({
      host: 'rival',
      request: 'rival',
      root: 'rival',
      onceKey: key,
      idempotent: false,
      rank: 0,
      at: this._time.now,
      cut: false,
    });
  }

  /** Another operator's patch against the same version comes in just before. */
  rivalPatch(record: PatchRecord): void {
    this.stream(kConfigStream).push({ ...record, patchId: `rival-of-${record.patchId}`, author: 'rival', patch: { retryRatio: 0.5 } });
  }

  /** Records of a stream of the log. */
  stream(name: string): unknown[] {
    const records = this.streams.get(name) ?? [];
    this.streams.set(name, records);
    return records;
  }
}

/** A digest that tells texts apart; that is all the fold asks of it. */
export function digest(text: string): string {
  return `${text.length}:${text}`;
}
