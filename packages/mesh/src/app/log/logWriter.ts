/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Writes the records of a zone's hosts to the log. The first reader writes the records of the whole zone in batches; a host writes its
 * own record if no reader has written it in time.
 */

import { isNewerRecord, isSameIncarnation, type TargetRecord } from '@gentiandrum/core';
import type { MeshSettings } from '@gentiandrum/protocol';
import type { PeerMessage } from '../../client/peerMessages.js';
import type { RecordLog } from '../../ports.js';
import type { EventLog } from '../eventLog.js';

/** Time over which changed records are collected into one call, in milliseconds. */
const kBatchMs = 500;
/** Time over which records are collected in which neither the target nor its state has changed, in milliseconds. */
const kLearnedBatchMs = 5_000;
/** Delay after a failed write, in milliseconds. */
const kWriteRetryMs = 1_000;
/** Delay and jitter, in milliseconds, after which a host writes its own record if no reader has confirmed it. */
const kOwnWriteDelayMs = 3_000;
const kOwnWriteJitterMs = 3_000;

/** Daemon services that the writer depends on. */
export interface LogWriterDeps {
  settings: MeshSettings;
  records: RecordLog;
  own(): TargetRecord;
  sendTo(host: string, message: PeerMessage): void;
  events: EventLog;
}

/** Known state of a record in the log; without target fields when it comes from a reader's confirmation. */
type LoggedRecord = Pick<TargetRecord, 'host' | 'epoch' | 'revision'> & Partial<Pick<TargetRecord, 'instance' | 'born' | 'state'>>;

/** Writes the records that the log lacks. */
export class LogWriter {
  private readonly _logged = new Map<string, LoggedRecord>();
  /** Whether the log has been read in full, so that `_logged` has every record of the log. */
  private _complete = false;
  private _writing = false;
  private _retryAt = 0;
  /** Time since which any record, or one with a changed target, waits to be written, on the monotonic clock. */
  private _pendingSince: number | undefined;
  private _changedSince: number | undefined;
  private _ownWriteAt: number | undefined;

  constructor(private readonly _deps: LogWriterDeps) {}

  /** Marks a record as present in the log. */
  recordLogged(record: LoggedRecord): void {
    this._logged.set(record.host, record);
  }

  /** Begins a full read: records that it does not return are not in the log. */
  beginFullRead(): void {
    this._logged.clear();
    this._complete = true;
  }

  /** Marks the record of a host as absent from the log. */
  recordErased(host: string): void {
    this._logged.delete(host);
  }

  /** Writes pending records; `first` when this daemon writes for its zone. */
  check(now: number, first: boolean, members: readonly TargetRecord[]): void {
    if (first) {
      this._writeZone(now, members);
    } else {
      this._writeOwn(now);
    }
  }

  private _needsWrite(record: TargetRecord): boolean {
    const logged = this._logged.get(record.host);
    // A daemon that has just started does not know the state of its target, and must not overwrite the state in the log.
    return logged === undefined || (record.state !== 'unknown' && isNewerRecord(record, logged));
  }

  private _writeZone(now: number, members: readonly TargetRecord[]): void {
    if (this._writing || !this._complete) {
      return;
    }
    const pending = members.filter((record) => this._needsWrite(record));
    this._pendingSince = pending.length === 0 ? undefined : (this._pendingSince ?? now);
    this._changedSince = pending.some((record) => this._hasTargetChanged(record)) ? (this._changedSince ?? now) : undefined;
    if (pending.length > 0 && now >= this._retryAt && this._isBatchReady(now, members)) {
      void this._write(now, pending);
    }
  }

  private _isBatchReady(now: number, members: readonly TargetRecord[]): boolean {
    const alone = members.length === 1;
    const changed = this._changedSince !== undefined && now - this._changedSince >= kBatchMs;
    return alone || changed || now - (this._pendingSince ?? now) >= kLearnedBatchMs;
  }

  private _hasTargetChanged(record: TargetRecord): boolean {
    const { instance = '', born, state } = this._logged.get(record.host) ?? {};
    return !isSameIncarnation({ instance, born }, record) || state !== record.state;
  }

  private async _write(now: number, pending: readonly TargetRecord[]): Promise<void> {
    const { records, events, settings } = this._deps;
    this._writing = true;
    const durable = await records.append(pending);
    this._writing = false;
    if (!durable) {
      this._retryAt = now + kWriteRetryMs;
      return;
    }
    events.info('log', `Wrote ${pending.length} records of this zone.`, { hosts: pending.map(({ host }) => host) });
    for (const record of pending) {
      const { host, epoch, revision } = record;
      this.recordLogged(record);
      if (host !== settings.id) {
        this._deps.sendTo(host, { type: 'logged', epoch, revision });
      }
    }
  }

  private _writeOwn(now: number): void {
    const own = this._deps.own();
    if (!this._needsWrite(own)) {
      this._ownWriteAt = undefined;
      return;
    }
    this._ownWriteAt ??= now + kOwnWriteDelayMs + Math.random() * kOwnWriteJitterMs;
    if (now >= this._ownWriteAt && !this._writing) {
      this._ownWriteAt = undefined;
      void this._write(now, [own]);
    }
  }
}
