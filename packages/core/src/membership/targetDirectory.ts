/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** What a daemon believes of all hosts: the latest record of each, whichever way it came. */

import { isLaterRecord, type TargetRecord } from './targetRecord.js';

const kNone: readonly TargetRecord[] = [];

/** The latest record of each host. */
export class TargetDirectory {
  private readonly _records = new Map<string, TargetRecord>();
  private _ready = new Map<string, TargetRecord[]>();

  /** Takes a record; true when it is news. */
  learn(record: TargetRecord): boolean {
    const known = this._records.get(record.host);
    if (known && !isLaterRecord(record, known)) {
      return false;
    }
    this._records.set(record.host, record);
    this._index();
    return true;
  }

  /** Takes a host for gone, though nobody has said so; whatever is later than what was known of it counts again. */
  presumeGone(host: string): void {
    const known = this._records.get(host);
    if (known) {
      this._records.set(host, { ...known, state: 'gone' });
      this._index();
    }
  }

  /** Forgets a host that left for good. */
  forget(host: string): void {
    if (this._records.delete(host)) {
      this._index();
    }
  }

  /** The record of a host. */
  get(host: string): TargetRecord | undefined {
    return this._records.get(host);
  }

  /** All records. */
  all(): TargetRecord[] {
    return [...this._records.values()];
  }

  /** Records of the targets of a service that take new work. */
  ready(service: string): readonly TargetRecord[] {
    return this._ready.get(service) ?? kNone;
  }

  /** Whether any host's record names the service. */
  knows(service: string): boolean {
    return this.all().some((record) => record.service === service);
  }

  private _index(): void {
    this._ready = new Map();
    for (const record of this._records.values()) {
      if (record.state === 'ready') {
        const list = this._ready.get(record.service) ?? [];
        list.push(record);
        this._ready.set(record.service, list);
      }
    }
  }
}
