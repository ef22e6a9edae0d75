/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** What a daemon believes of all hosts: the latest record of each, whichever way it came. */

import { hashText } from '../util/hashText.js';
import { isNewerRecord, type TargetRecord } from './targetRecord.js';

const kNoRecords: readonly TargetRecord[] = [];

/** The latest record of each host. */
export class TargetDirectory {
  private readonly _records = new Map<string, TargetRecord>();
  /** Ready targets by service; a list is never changed, but replaced, so that what is worked out from one holds as long as it does. */
  private readonly _ready = new Map<string, readonly TargetRecord[]>();
  private _membersRevision = 0;
  private readonly _digests = new Map<string, number>();
  /** What each host adds to the digest of its zone. */
  private readonly _digested = new Map<string, { zone: string; hash: number }>();

  /** Takes a record; true when it is news. */
  merge(record: TargetRecord): boolean {
    const known = this._records.get(record.host);
    if (known && !isNewerRecord(record, known)) {
      return false;
    }
    this._addToDigest(record);
    this._store(record, known);
    return true;
  }

  /** Takes a host for gone, though nobody has said so; whatever is later than what was known of it counts again. */
  presumeGone(host: string): void {
    const known = this._records.get(host);
    if (known) {
      this._store({ ...known, state: 'gone' }, known);
    }
  }

  /** Forgets a host that left for good. */
  remove(host: string): void {
    const known = this._records.get(host);
    if (known) {
      this._membersRevision++;
      this._records.delete(host);
      this._removeFromDigest(host);
      this._removeReady(known);
    }
  }

  /** Changes whenever a host joins or leaves. */
  get membersRevision(): number {
    return this._membersRevision;
  }

  /** The record of a host. */
  get(host: string): TargetRecord | undefined {
    return this._records.get(host);
  }

  /** Hosts that a record is known of. */
  get size(): number {
    return this._records.size;
  }

  /** All records. */
  all(): TargetRecord[] {
    return [...this._records.values()];
  }

  /** All records, one by one, in the order in which the hosts became known. */
  values(): IterableIterator<TargetRecord> {
    return this._records.values();
  }

  /** Records of the targets of a service that take new work. */
  ready(service: string): readonly TargetRecord[] {
    return this._ready.get(service) ?? kNoRecords;
  }

  /**
   * A number for the records of each zone, the same in two daemons that hold the same ones: thus they compare what they know in some
   * bytes instead of 180 a host. Hosts that said that they are gone don't count, as some daemons forget them sooner; what is only presumed
   * here changes nothing, or this daemon would differ from all others for good.
   */
  get digests(): Readonly<Record<string, number>> {
    return Object.fromEntries(this._digests);
  }

  /** Targets of a service that take no connections now, and may again. */
  unreachableCount(service: string): number {
    return this.all().filter((record) => record.service === service && record.state === 'unreachable').length;
  }

  /** Whether any host's record names the service. */
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

  /** Exclusive or: what is toggled twice is out again. */
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
