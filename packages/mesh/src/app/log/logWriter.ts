/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Keeps the records of a zone's hosts in the log: the first reader writes for all, several in one call; a host whose record nobody
 * wrote in time writes it by itself.
 */

import { isLaterRecord, isSameIncarnation, type TargetRecord } from '@gentiandrum/core';
import type { MeshSettings } from '@gentiandrum/protocol';
import type { PeerMessage } from '../../client/peerMessages.js';
import type { RecordLog } from '../../ports.js';
import type { EventLog } from '../eventLog.js';

/** Time over which records are gathered for one call, in milliseconds. */
const kBatchMs = 500;
/** The same for records that tell nothing new of the target, only what was learned of its calls. */
const kLearnedBatchMs = 5_000;
/** Pause after a call that failed, in milliseconds. */
const kWriteRetryMs = 1_000;
/** Time after which a host writes its own record when no reader has said that it is in the log, in milliseconds, and its spread. */
const kOwnWriteDelayMs = 3_000;
const kOwnWriteJitterMs = 3_000;

/** What the writer uses of its daemon. */
export interface LogWriterDeps {
  settings: MeshSettings;
  records: RecordLog;
  own(): TargetRecord;
  sendTo(host: string, message: PeerMessage): void;
  events: EventLog;
}

/** What is known of a record in the log; only its order when its host was told that it was written. */
type LoggedRecord = Pick<TargetRecord, 'host' | 'epoch' | 'revision'> & Partial<Pick<TargetRecord, 'instance' | 'born' | 'state'>>;

/** Writer of records. */
export class LogWriter {
  private readonly _logged = new Map<string, LoggedRecord>();
  /** Whether `_inLog` has all that the log had at some time; what came since comes before anything is written for the zone. */
  private _complete = false;
  private _writing = false;
  private _retryAt = 0;
  /** Since when some record is to be written, and one that tells something new of its target. */
  private _pendingSince: number | undefined;
  private _changedSince: number | undefined;
  private _ownWriteAt: number | undefined;

  constructor(private readonly _deps: LogWriterDeps) {}

  /** A record as the log has it. */
  recordLogged(record: LoggedRecord): void {
    this._logged.set(record.host, record);
  }

  /** A complete reading begins: what it does not bring is not in the log. */
  beginFullRead(): void {
    this._logged.clear();
    this._complete = true;
  }

  /** The log has no record of a host any more. */
  recordErased(host: string): void {
    this._logged.delete(host);
  }

  /** Writes what is due; `first` when this daemon writes for its zone. */
  check(now: number, first: boolean, members: readonly TargetRecord[]): void {
    if (first) {
      this._writeZone(now, members);
    } else {
      this._writeOwn(now);
    }
  }

  private _needsWrite(record: TargetRecord): boolean {
    const logged = this._logged.get(record.host);
    // A daemon that has just started knows nothing of its target: what the log says of it must not be lost by that.
    return logged === undefined || (record.state !== 'unknown' && isLaterRecord(record, logged));
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
    events.notable('log', `Wrote ${pending.length} records of this zone.`, { hosts: pending.map(({ host }) => host) });
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
