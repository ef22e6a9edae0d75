/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Keeps the records of a zone's hosts in the log: the first reader writes for all, several in one call; a host whose record nobody
 * wrote in time writes it by itself.
 */

import { isNewerRecord, isSameIncarnation, type TargetRecord } from '@gentiandrum/core';
import type { MeshSettings } from '@gentiandrum/protocol';
import type { PeerMessage } from '../../client/peerMessages.js';
import type { RecordLog } from '../../ports.js';
import type { EventLog } from '../eventLog.js';

/** Time over which records are gathered for one call, in milliseconds. */
const kGatherMs = 500;
/** The same for records that tell nothing new of the target, only what was learned of its calls. */
const kGatherLearnedMs = 5_000;
/** Pause after a call that failed, in milliseconds. */
const kRetryMs = 1_000;
/** Time after which a host writes its own record when no reader has said that it is in the log, in milliseconds, and its spread. */
const kOwnWriteMs = 3_000;
const kOwnWriteSpreadMs = 3_000;

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
  private readonly _inLog = new Map<string, LoggedRecord>();
  /** Whether `_inLog` has all that the log had at some time; what came since comes before anything is written for the zone. */
  private _complete = false;
  private _writing = false;
  private _retryAt = 0;
  /** Since when some record is to be written, and one that tells something new of its target. */
  private _dueSince: number | undefined;
  private _changedSince: number | undefined;
  private _ownDue: number | undefined;

  constructor(private readonly _deps: LogWriterDeps) {}

  /** A record as the log has it. */
  inLog(record: LoggedRecord): void {
    this._inLog.set(record.host, record);
  }

  /** A complete reading begins: what it does not bring is not in the log. */
  beginReading(): void {
    this._inLog.clear();
    this._complete = true;
  }

  /** The log has no record of a host any more. */
  erased(host: string): void {
    this._inLog.delete(host);
  }

  /** Writes what is due; `first` when this daemon writes for its zone. */
  check(now: number, first: boolean, members: readonly TargetRecord[]): void {
    if (first) {
      this._writeFor(now, members);
    } else {
      this._writeOwn(now);
    }
  }

  private _lacks(record: TargetRecord): boolean {
    const logged = this._inLog.get(record.host);
    // A daemon that has just started knows nothing of its target: what the log says of it must not be lost by that.
    return logged === undefined || (record.state !== 'unknown' && isNewerRecord(record, logged));
  }

  private _writeFor(now: number, members: readonly TargetRecord[]): void {
    if (this._writing || !this._complete) {
      return;
    }
    const due = members.filter((record) => this._lacks(record));
    this._dueSince = due.length === 0 ? undefined : (this._dueSince ?? now);
    this._changedSince = due.some((record) => this._changed(record)) ? (this._changedSince ?? now) : undefined;
    if (due.length > 0 && now >= this._retryAt && this._gathered(now, members)) {
      void this._write(now, due);
    }
  }

  private _gathered(now: number, members: readonly TargetRecord[]): boolean {
    const alone = members.length === 1;
    const changed = this._changedSince !== undefined && now - this._changedSince >= kGatherMs;
    return alone || changed || now - (this._dueSince ?? now) >= kGatherLearnedMs;
  }

  private _changed(record: TargetRecord): boolean {
    const { instance = '', born, state } = this._inLog.get(record.host) ?? {};
    return !isSameIncarnation({ instance, born }, record) || state !== record.state;
  }

  private async _write(now: number, due: readonly TargetRecord[]): Promise<void> {
    const { records, events, settings } = this._deps;
    this._writing = true;
    const durable = await records.append(due);
    this._writing = false;
    if (!durable) {
      this._retryAt = now + kRetryMs;
      return;
    }
    events.notable('log', `Wrote ${due.length} records of this zone.`, { hosts: due.map(({ host }) => host) });
    for (const record of due) {
      const { host, epoch, revision } = record;
      this.inLog(record);
      if (host !== settings.id) {
        this._deps.sendTo(host, { type: 'logged', epoch, revision });
      }
    }
  }

  private _writeOwn(now: number): void {
    const own = this._deps.own();
    if (!this._lacks(own)) {
      this._ownDue = undefined;
      return;
    }
    this._ownDue ??= now + kOwnWriteMs + Math.random() * kOwnWriteSpreadMs;
    if (now >= this._ownDue && !this._writing) {
      this._ownDue = undefined;
      void this._write(now, [own]);
    }
  }
}
