/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Latest known record of each host. */

import { hashText } from '../util/hashText.js';
import { isNewerRecord, type TargetRecord } from './targetRecord.js';

const kNoRecords: readonly TargetRecord[] = [];

/** Stores the records, an index of ready targets by service, and a digest of the records of each zone. */
export class TargetDirectory {
  private readonly _records = new Map<string, TargetRecord>();
  /** Ready targets by service. Lists are immutable, so that callers can cache results by list. */
  private readonly _ready = new Map<string, readonly TargetRecord[]>();
  private _membersRevision = 0;
  private readonly _digests = new Map<string, number>();
  /** Contribution of each host to the digest of its zone. */
  private readonly _digested = new Map<string, { zone: string; hash: number }>();

  /** Merges a record; returns whether it was newer than the known one. */
  merge(record: TargetRecord): boolean {
    const known = this._records.get(record.host);
    if (known && !isNewerRecord(record, known)) {
      return false;
    }
    this._addToDigest(record);
    this._store(record, known);
    return true;
  }

  /** Marks a host as gone without a record from it; its next newer record replaces this state. */
  presumeGone(host: string): void {
    const known = this._records.get(host);
    if (known) {
      this._store({ ...known, state: 'gone' }, known);
    }
  }

  /** Removes a host that was decommissioned. */
  remove(host: string): void {
    const known = this._records.get(host);
    if (known) {
      this._membersRevision++;
      this._records.delete(host);
      this._removeFromDigest(host);
      this._removeReady(known);
    }
  }

  /** Increases whenever a host joins or leaves. */
  get membersRevision(): number {
    return this._membersRevision;
  }

  get(host: string): TargetRecord | undefined {
    return this._records.get(host);
  }

  get size(): number {
    return this._records.size;
  }

  all(): TargetRecord[] {
    return [...this._records.values()];
  }

  /** Iterates over all records in the order in which the hosts became known. */
  values(): IterableIterator<TargetRecord> {
    return this._records.values();
  }

  /** Returns the records of the targets of a service that accept requests. */
  ready(service: string): readonly TargetRecord[] {
    return this._ready.get(service) ?? kNoRecords;
  }

  /**
   * Digest of the records of each zone, by which two daemons compare their records in some bytes instead of 180 a host. Excludes hosts that
   * announced `gone`, as daemons remove them at different times. Ignores presumed states, which are local to this daemon, as its digest
   * would otherwise differ from all others for good.
   */
  get digests(): Readonly<Record<string, number>> {
    return Object.fromEntries(this._digests);
  }

  /** Returns the number of targets of a service that currently accept no connections. */
  unreachableCount(service: string): number {
    return this.all().filter((record) => record.service === service && record.state === 'unreachable').length;
  }

  /** Whether the record of any host names the service. */
  hasService(service: string): boolean {
    return this.all().some((record) => record.service === service);
  }

  private _store(record: TargetRecord, known: TargetRecord | undefined): void {
    this._records.set(record.host, record);
    if (known === undefined || (known.state === 'gone') !== (record.state === 'gone')) {
      this._membersRevision++;
    }
    if (known?.state === 'ready' && record.state === 'ready' && known.service === record.service) {
      this._replaceReady(known, record);
      return;
    }
    if (known) {
      this._removeReady(known);
    }
    if (record.state === 'ready') {
      this._ready.set(record.service, [...this.ready(record.service), record]);
    }
  }

  private _addToDigest({ host, zone, state, epoch, revision }: TargetRecord): void {
    this._removeFromDigest(host);
    if (state !== 'gone') {
      const hash = hashText(`${host}\0${epoch}\0${revision}`);
      this._digested.set(host, { zone, hash });
      this._toggleInDigest(zone, hash);
    }
  }

  private _removeFromDigest(host: string): void {
    const digested = this._digested.get(host);
    if (digested) {
      this._digested.delete(host);
      this._toggleInDigest(digested.zone, digested.hash);
    }
  }

  /** Adds a hash to the digest of a zone, or removes it, by exclusive or. */
  private _toggleInDigest(zone: string, hash: number): void {
    this._digests.set(zone, ((this._digests.get(zone) ?? 0) ^ hash) >>> 0);
  }

  private _replaceReady(known: TargetRecord, record: TargetRecord): void {
    const list = this.ready(record.service).map((listed) => (listed.host === known.host ? record : listed));
    this._ready.set(record.service, list);
  }

  private _removeReady({ host, service, state }: TargetRecord): void {
    if (state === 'ready') {
      const list = this.ready(service).filter((listed) => listed.host !== host);
      this._ready.set(service, list);
    }
  }
}
