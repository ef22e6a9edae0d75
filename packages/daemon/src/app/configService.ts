/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Keeps the configuration current. A few readers in each zone follow the log, and the other daemons fetch new versions from their
 * peers. Every daemon also polls the log at a low rate.
 */

import { type Config, kConfigStream, kSnapshotStream, type PatchRecord, patchRecordSchema } from '@gentiandrum/protocol';
import {
  type AppendResult,
  ConfigFold,
  type MemberView,
  type ReadResult,
  runProcedure,
  refreshSnapshot,
  type SubmitResult,
  submitPatch,
} from '@gentiandrum/core';
import type { LogClient } from '../client/logClient.js';
import type { PeerClient } from '../client/peerClient.js';
import { StreamTail } from '../client/streamTail.js';
import { hash32, hexDigest } from './digests.js';
import type { Logger } from './logger.js';

/** Number of daemons in each zone that follow the log. */
const kReadersPerZone = 2;
/** Long-poll wait of one read that follows the log, in milliseconds. */
const kFollowWaitMs = 10_000;
const kRetryMs = 500;
/** Period with which a daemon polls the log, in milliseconds; longer in a large fleet, to stay within {@link kMaxPollsPerSecond}. */
const kMinPollPeriodMs = 3_000;
/** Poll rate of all daemons together. */
const kMaxPollsPerSecond = 100;
const kMaxCachedRecords = 300;
/** Number of records after which a new snapshot is appended. */
const kRecordsPerSnapshot = 100;
/** Age at which a snapshot is appended again, before the log's retention removes it, in milliseconds. */
const kMaxSnapshotAgeMs = 600_000;

interface CachedRecord {
  offset: number;
  value: unknown;
}

/** Configuration of one daemon, with the records it can pass on to peers. */
export class ConfigService {
  readonly fold = new ConfigFold();
  private readonly _tail: StreamTail;
  private readonly _snapshots: StreamTail;
  private _cachedRecords: CachedRecord[] = [];
  private _snapshotOffset = 0;
  private _snapshotAt = 0;
  private _snapshotNext = 0;
  private _stopped = false;
  private _pollTimer: NodeJS.Timeout | undefined;
  private _fetching = false;

  /** @param _onVersion called when this daemon applies a new version */
  constructor(
    private readonly _log: LogClient,
    private readonly _peers: PeerClient,
    private readonly _view: MemberView,
    private readonly _logger: Logger,
    private readonly _onVersion: (cfg: Config) => void,
  ) {
    const fold = {
      apply: (offset: number, value: unknown) => {
        this._apply(offset, value);
      },
    };
    this._tail = new StreamTail(
      _log,
      kConfigStream,
      Object.defineProperty(fold, 'next', { get: () => this.fold.next }) as typeof fold & { next: number },
    );
    const snapshots = {
      apply: (offset: number, value: unknown) => {
        this._snapshotNext = offset + 1;
        this._adopt(value);
      },
      skipTo: (offset: number) => {
        this._snapshotNext = offset;
      },
    };
    this._snapshots = new StreamTail(
      _log,
      kSnapshotStream,
      Object.defineProperty(snapshots, 'next', { get: () => this._snapshotNext }) as typeof snapshots & { next: number },
    );
  }

  /** Whether this daemon is a reader for its zone. */
  get isReader(): boolean {
    return this._rank((member) => member.zone === this._view.self.zone) < kReadersPerZone;
  }

  /** Starts following and polling the log. */
  start(): void {
    void this._followLoop();
    this._schedulePoll();
  }

  /** Stops following and polling the log after the current reads. */
  stop(): void {
    this._stopped = true;
    clearTimeout(this._pollTimer);
  }

  /** Applies the records of the log up to an offset, or up to its current end. */
  read(upTo?: number): Promise<ReadResult> {
    return this._tail.readUpTo(upTo);
  }

  /** Adopts the latest snapshot in the log. */
  readSnapshots(): Promise<ReadResult> {
    return this._snapshots.readUpTo();
  }

  /** Appends an operator's patch to the log and returns its verdict. */
  submit(record: PatchRecord): Promise<SubmitResult> {
    return runProcedure(submitPatch(record, this.fold), {
      readConfig: ({ upTo }) => this.read(upTo),
      appendPatch: (effect) => this._log.append(kConfigStream, effect.record),
    });
  }

  /** Fetches missing records from a peer; false when the peer did not respond. */
  async fetchFrom(address: string): Promise<boolean> {
    const res = await this._peers.fetchConfig(address, this.fold.next);
    if (!res) {
      return false;
    }
    for (const { offset, value } of res.records) {
      if (Number(offset) === this.fold.next) {
        this._apply(Number(offset), JSON.parse(value));
      }
    }
    if (res.snapshot !== '') {
      this._adopt(JSON.parse(res.snapshot));
    }
    return true;
  }

  /** Like {@link fetchFrom}, but does nothing while another call of this method is in progress. */
  async fetchOnce(address: string): Promise<void> {
    if (this._fetching) {
      return;
    }
    this._fetching = true;
    try {
      await this.fetchFrom(address);
    } finally {
      this._fetching = false;
    }
  }

  /** The records from an offset on, or a snapshot if those are no longer cached. */
  changesSince(next: number): { next: number; records: CachedRecord[]; snapshot: string } {
    const records = this._cachedRecords.filter((record) => record.offset >= next);
    const complete = next >= this.fold.next || records[0]?.offset === next;
    const snapshot = complete ? '' : JSON.stringify(this.fold.snapshot(hexDigest));
    return { next: this.fold.next, records: complete ? records : [], snapshot };
  }

  private async _followLoop(): Promise<void> {
    while (!this._stopped) {
      const result = this.isReader ? await this._follow() : undefined;
      if (result?.kind !== 'read') {
        await this._wait(kRetryMs);
      } else if (this._isSnapshotPending()) {
        await runProcedure(refreshSnapshot(), { readConfig: ({ upTo }) => this.read(upTo), appendSnapshot: () => this._appendSnapshot() });
      }
    }
  }

  /** Waits for new records. An error in the use of a record is a failed read, so that the records after it are read. */
  private async _follow(): Promise<ReadResult> {
    try {
      return await this._tail.follow(kFollowWaitMs);
    } catch (err) {
      this._logger.error('config', 'Using a record of the log failed.', { err: err instanceof Error ? err.stack : String(err) });
      return { kind: 'unavailable' };
    }
  }

  private async _appendSnapshot(): Promise<AppendResult> {
    const result = await this._log.append(kSnapshotStream, this.fold.snapshot(hexDigest));
    if (result.kind === 'appended') {
      this._snapshotOffset = this.fold.next;
      this._snapshotAt = Date.now();
      this._logger.info('config', 'Appended a configuration snapshot.', { version: this.fold.version, offset: this.fold.next });
    }
    return result;
  }

  private _isSnapshotPending(): boolean {
    const isFirst = this._rank(() => true) === 0;
    const records = this.fold.next - this._snapshotOffset;
    const isOld = Date.now() - this._snapshotAt >= kMaxSnapshotAgeMs;
    return isFirst && this.fold.version > 0 && (records >= kRecordsPerSnapshot || isOld);
  }

  private _schedulePoll(): void {
    const sharedPeriodMs = (this._view.all().length / kMaxPollsPerSecond) * 1_000;
    const jitter = 0.8 + Math.random() * 0.4;
    this._pollTimer = setTimeout(
      () => {
        void this.read().finally(() => {
          if (!this._stopped) {
            this._schedulePoll();
          }
        });
      },
      Math.max(kMinPollPeriodMs, sharedPeriodMs) * jitter,
    );
  }

  private _apply(offset: number, value: unknown): void {
    if (offset < this.fold.next) {
      return;
    }
    const changed = this.fold.apply(offset, value);
    // Other daemons need the offset of every record, but only the content of patches; anything else may be impossible to serialize.
    this._cachedRecords.push({ offset, value: patchRecordSchema.safeParse(value).data ?? null });
    this._cachedRecords = this._cachedRecords.slice(-kMaxCachedRecords);
    if (changed) {
      this._notifyVersion();
    }
  }

  private _adopt(value: unknown): void {
    if (this.fold.adopt(value, hexDigest)) {
      this._notifyVersion();
    }
    this._cachedRecords = this._cachedRecords.filter((record) => record.offset >= this.fold.next);
  }

  private _notifyVersion(): void {
    this._logger.info('config', `Version ${this.fold.version} is in force.`, { version: this.fold.version });
    this._onVersion(this.fold.config);
  }

  /** Rank of this daemon by hashed id among the alive daemons of a group; all daemons compute the same order. */
  private _rank(isInGroup: (member: { zone: string }) => boolean): number {
    const { self } = this._view;
    const selfHash = hash32(self.id);
    const others = this._view.all().filter((other) => other.id !== self.id && other.state === 'alive' && isInGroup(other));
    return others.filter((other) => hash32(other.id) < selfHash).length;
  }

  private _wait(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }
}
