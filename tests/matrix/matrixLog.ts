/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** In-memory model of the platform's log, with injected faults. */

import type { Reply } from '@gentiandrum/core';
import { claimStreamName, type ClaimRecord, kConfigStream, kSnapshotStream, type PatchRecord } from '@gentiandrum/protocol';
import type { VirtualTime } from '../support/virtualTime.js';
import type { Fault } from './faults.js';
import type { Journal } from './journal.js';
import type { MatrixDaemon } from './matrixDaemon.js';

/** Claim stream of the only shard. */
export const kClaimStream = claimStreamName(0);
const kLostReplyMs = 20;

/** Model of the log, with the records of each stream. */
export class MatrixLog {
  readonly streams = new Map<string, unknown[]>();

  constructor(
    private readonly _journal: Journal,
    private readonly _time: VirtualTime,
  ) {}

  /** Appends a record, subject to the fault. */
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

  /** Calls `read` and reports success, unless the log is unavailable. */
  read(reply: (value: Reply) => void, fault: Fault | undefined, read: () => void): void {
    if (fault === 'refused') {
      reply({ kind: 'unavailable' });
      return;
    }
    read();
    reply({ kind: 'read' });
  }

  /** Folds the configuration stream into a daemon's configuration. */
  foldConfig(daemon: MatrixDaemon): void {
    this.stream(kConfigStream).forEach((value, offset) => {
      daemon.fold.apply(offset, value);
    });
  }

  /** Offers the snapshots to a daemon's configuration for adoption; only the first one if the fault is `stale`. */
  readSnapshots(daemon: MatrixDaemon, reply: (value: Reply) => void, fault: Fault | undefined): void {
    if (fault === 'refused') {
      reply({ kind: 'unavailable' });
      return;
    }
    const records = this.stream(kSnapshotStream);
    const visibleRecords = fault === 'stale' ? records.slice(0, 1) : records;
    visibleRecords.forEach((value) => daemon.fold.adopt(value, digest));
    reply({ kind: 'read' });
  }

  /** Appends a claim of a rival daemon and records the rival's run, unless the key has a claim or `record` is a release. */
  appendRivalClaim(record: ClaimRecord): void {
    const holder = this.stream(kClaimStream).some((batch) => (batch as ClaimRecord[]).some(({ key }) => key === record.key));
    if (record.released !== true && !holder) {
      this.stream(kClaimStream).push([{ ...record, nonce: 'rival', claimant: 'rival/1', address: 'rival' }]);
      this.recordRivalRun(record.key);
    }
  }

  /** Records that a rival runs the call of a key. */
  recordRivalRun(key: string): void {
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

  /** Appends another operator's patch against the same version. */
  appendRivalPatch(record: PatchRecord): void {
    this.stream(kConfigStream).push({ ...record, patchId: `rival-of-${record.patchId}`, author: 'rival', patch: { retryRatio: 0.5 } });
  }

  /** Returns the records of a stream. */
  stream(name: string): unknown[] {
    const records = this.streams.get(name) ?? [];
    this.streams.set(name, records);
    return records;
  }
}

/** Collision-free digest of snapshots. */
export function digest(text: string): string {
  return `${text.length}:${text}`;
}
