/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Keeps the records of a zone's hosts in the log: the first reader writes for all, several in one call; a host whose record nobody
 * wrote in time writes it by itself.
 */

import { isLaterRecord, type TargetRecord } from '@gentiandrum/core';
import type { LogDutyDeps } from './logDuty.js';

/** Time over which records are gathered for one call, in milliseconds. */
const kGatherMs = 500;
/** Pause after a call that failed, in milliseconds. */
const kRetryMs = 1_000;
/** Time after which a host writes its own record when no reader has said that it is in the log, in milliseconds, and its spread. */
const kOwnWriteMs = 3_000;
const kOwnWriteSpreadMs = 3_000;

/** What orders the records of a host. */
type RecordPlace = Pick<TargetRecord, 'host' | 'epoch' | 'revision'>;

/** Writer of records. */
export class LogWriter {
  private readonly _inLog = new Map<string, RecordPlace>();
  /** Whether `_inLog` has all that the log had at some time; what came since comes before anything is written for the zone. */
  private _complete = false;
  private _writing = false;
  private _notBefore = 0;
  private _ownDue: number | undefined;

  constructor(private readonly _deps: LogDutyDeps) {}

  /** A record as the log has it. */
  inLog(record: RecordPlace): void {
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
    return logged === undefined || (record.state !== 'unknown' && isLaterRecord(record, logged));
  }

  private _writeFor(now: number, members: readonly TargetRecord[]): void {
    if (this._writing || !this._complete) {
      return;
    }
    const due = members.filter((record) => this._lacks(record));
    if (due.length === 0) {
      this._notBefore = Math.max(this._notBefore, now + kGatherMs);
      return;
    }
    // Alone in its zone, as far as it knows: those that look next should find it.
    if (now >= this._notBefore || members.length === 1) {
      this._notBefore = now + kGatherMs;
      void this._write(now, due);
    }
  }

  private async _write(now: number, due: readonly TargetRecord[]): Promise<void> {
    const { records, events, sendTo, settings } = this._deps;
    this._writing = true;
    const durable = await records.append(due);
    this._writing = false;
    if (!durable) {
      this._notBefore = now + kRetryMs;
      return;
    }
    events.notable('log', `Wrote ${due.length} records of this zone.`, { hosts: due.map(({ host }) => host) });
    for (const { host, epoch, revision } of due) {
      this.inLog({ host, epoch, revision });
      if (host !== settings.id) {
        sendTo(host, { type: 'logged', epoch, revision });
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
