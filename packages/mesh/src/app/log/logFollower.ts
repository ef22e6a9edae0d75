/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * What this daemon reads from the platform's log and writes there: as one of its zone's readers for all of them, otherwise only when
 * no reader is known to follow the log. The calls of a fleet grow with its zones and its changes, not with its hosts.
 */

import { monotonicMs, ReaderRank, type ReaderPlace, type TargetDirectory, type TargetRecord } from '@gentiandrum/core';
import type { PeerMessage } from '../../client/peerMessages.js';
import type { ConfigSource } from '../../ports.js';
import { LogWriter, type LogWriterDeps } from './logWriter.js';

/**
 * Share of the time for a configuration to be in force after which a reader without a report is passed over: what is left is for
 * the own poll, two answers of the log and the way to the others.
 */
const kWindowShare = 0.5;
/** Reports of a reader in that time. */
const kReportsPerWindow = 2;
/** Age of the latest answer from which on the log counts as silent, in milliseconds: the longest read and the time for its answer. */
const kMaxAnswerAgeMs = 5_500;
/** Spread of the own polls while no reader is known, as a share of the pause between two of them: members should not poll together. */
const kPollJitter = 0.3;
/** Longest pause between two own polls, in milliseconds; it begins at the window, and is doubled while the log does not answer. */
const kMaxPollIntervalMs = 8_000;
/** Age of the records known from which on an own poll reads them too, in milliseconds. */
const kMaxRecordsAgeMs = 4_000;
/** Time over which the first reads of a new deployment are spread, in milliseconds: each then finds those before it in the log. */
const kInitialReadSpreadMs = 1_500;
/**
 * Time after the start of a new deployment in which nobody reads for others, in milliseconds: as long as each daemon knows only those
 * that read before it, half of them would take themselves for readers.
 */
const kInitialPassiveMs = 2_000;
/** Pause before a first read is repeated that had no answer, in milliseconds, at first and at most. */
const kReadRetryMs = 200;
const kMaxReadRetryMs = 1_600;

/** What the follower uses of its daemon. */
export interface LogFollowerDeps extends LogWriterDeps {
  directory: TargetDirectory;
  configs: ConfigSource;
  /** Version of the configuration in force. */
  version(): number;
  /** Sends to every linked daemon of the own zone. */
  sendZone(message: PeerMessage): void;
}

/** The part of one daemon in reading and writing the log. */
export class LogFollower {
  private readonly _rank: ReaderRank;
  private readonly _windowMs: number;
  private readonly _writer: LogWriter;
  /** Hosts that can't be reached from here. */
  private readonly _unreachable = new Set<string>();
  private _place: ReaderPlace = { kind: 'member', readers: [], ahead: [] };
  private _hasRead = false;
  /** Until then this daemon only makes itself known. */
  private _activeFrom = 0;
  private _following = false;
  private _initialReadTimer: NodeJS.Timeout | undefined;
  private _reportedAt = 0;
  /** From when on the pause until the next own poll counts. */
  private _pollAt: number | undefined;
  private _pollIntervalMs: number;
  /** What the next relay to the zone carries. */
  private _updates = new Map<string, TargetRecord>();
  private _erased = new Set<string>();

  constructor(private readonly _deps: LogFollowerDeps) {
    const { settings } = _deps;
    this._windowMs = settings.inForceMs * kWindowShare;
    this._pollIntervalMs = this._windowMs;
    this._rank = new ReaderRank(settings.zone, settings.id, this._windowMs);
    this._writer = new LogWriter(_deps);
  }

  /** Whether this daemon follows the log for its zone. */
  get readsLog(): boolean {
    return this._place.kind === 'reader';
  }

  /** Other hosts that follow the log for this zone. */
  get readers(): readonly string[] {
    return this._place.kind === 'member' ? this._place.readers : this._place.ahead;
  }

  /** Whether the log, as far as this daemon uses it, answers. */
  get logResponds(): boolean {
    const { configs } = this._deps;
    return !configs.failing && monotonicMs() - configs.answeredAt < kMaxAnswerAgeMs;
  }

  /** Begins with one reading of the hosts' records. */
  start(): void {
    const { firstStart } = this._deps.settings.log;
    this._activeFrom = firstStart ? monotonicMs() + kInitialPassiveMs : 0;
    this._scheduleInitialRead(firstStart ? Math.random() * kInitialReadSpreadMs : 0, kReadRetryMs);
  }

  /** Ends timers. */
  stop(): void {
    clearTimeout(this._initialReadTimer);
    this._hasRead = false;
  }

  /** Whether a link to a host is of use for following the log, or for those that do. */
  wantsLink({ host, zone }: TargetRecord): boolean {
    if (zone !== this._deps.settings.zone) {
      return false;
    }
    return this._place.kind === 'reader' || this._place.ahead.includes(host);
  }

  /** Another daemon reports whether the log answers it. */
  reported(host: string, logResponds: boolean): void {
    this._rank.reported(host, logResponds, monotonicMs());
  }

  /** A host can be reached, or can't. */
  setReachable(host: string, reachable: boolean): void {
    if (reachable) {
      this._unreachable.delete(host);
    } else {
      this._unreachable.add(host);
    }
  }

  /** A record that this daemon did not have; the first reader relays it to its zone. */
  recordUpdated(record: TargetRecord): void {
    this._updates.set(record.host, record);
  }

  /** A host whose record was removed from the log; `relay` when the log itself said so. */
  recordErased(host: string, relay: boolean): void {
    this._writer.recordErased(host);
    if (relay) {
      this._erased.add(host);
    }
  }

  /** A record as the log has it. */
  recordLogged(record: TargetRecord): void {
    this._writer.recordLogged(record);
  }

  /** A complete reading of the records begins; its records follow. */
  beginFullRead(): void {
    this._writer.beginFullRead();
    this._hasRead = true;
  }

  /** A reader says that the log has the own record. */
  ownRecordLogged(epoch: number, revision: number): void {
    const { host } = this._deps.own();
    this._writer.recordLogged({ host, epoch, revision });
  }

  /** Takes up, goes on with and ends what is due; called a few times a second. */
  check(): void {
    if (!this._hasRead) {
      return;
    }
    const now = monotonicMs();
    const members = this._members();
    this._place = this._rank.place(members, (host) => this._unreachable.has(host), now);
    if (now < this._activeFrom) {
      // Alone in its zone, as far as it knows: those that read next should find it.
      this._writer.check(now, members.length === 1, members);
      return;
    }
    this._updateFollowing();
    if (this._place.kind === 'reader') {
      this._report(now);
    } else {
      this._pollWithoutReader(now);
    }
    const first = this._place.kind === 'reader' && this._place.first;
    if (first) {
      this._relay();
    }
    this._updates.clear();
    this._erased.clear();
    this._writer.check(now, first, members);
  }

  private _scheduleInitialRead(delayMs: number, retryMs: number): void {
    this._initialReadTimer = setTimeout(() => {
      void this._deps.records.readNewest().then((answered) => {
        if (!answered && !this._hasRead) {
          // Other daemons may have sent everything meanwhile; then this one goes on without the log.
          this._hasRead = this._deps.directory.size > 1;
          this._scheduleInitialRead(retryMs, Math.min(kMaxReadRetryMs, retryMs * 2));
        }
      });
    }, delayMs);
  }

  private _members(): TargetRecord[] {
    const { directory, settings } = this._deps;
    return [...directory.values()].filter(({ zone, state }) => zone === settings.zone && state !== 'gone');
  }

  private _updateFollowing(): void {
    if (this._following !== this.readsLog) {
      this._following = this.readsLog;
      this._deps.events.notable('log', this.readsLog ? 'Follows the log for its zone.' : 'Leaves the log to other readers of its zone.');
    }
    this._deps.configs.follow(this.readsLog);
    this._deps.records.follow(this._place.kind === 'reader' && this._place.first);
  }

  /** Members take a report for a sign that they need not poll, so there is none before the log has answered or failed. */
  private _report(now: number): void {
    const { configs, directory } = this._deps;
    const known = configs.failing || configs.answeredAt > -Infinity;
    if (known && now - this._reportedAt >= this._windowMs / kReportsPerWindow) {
      this._reportedAt = now;
      this._deps.sendZone({ type: 'reading', well: this.logResponds, version: this._deps.version(), digests: directory.digests });
    }
  }

  private _relay(): void {
    if (this._updates.size > 0) {
      this._deps.sendZone({ type: 'records', records: [...this._updates.values()] });
    }
    if (this._erased.size > 0) {
      this._deps.sendZone({ type: 'erased', hosts: [...this._erased] });
    }
  }

  private _pollWithoutReader(now: number): void {
    if (this._rank.served(now)) {
      this._pollIntervalMs = this._windowMs;
      this._pollAt = now + this._windowMs * Math.random() * kPollJitter;
      return;
    }
    this._pollAt ??= now + this._windowMs * Math.random() * kPollJitter;
    if (now < this._pollAt + this._pollIntervalMs) {
      return;
    }
    this._pollAt = now + this._pollIntervalMs * Math.random() * kPollJitter;
    void this._pollOnce();
  }

  private async _pollOnce(): Promise<void> {
    const { configs, records } = this._deps;
    const answered = await configs.readNewest();
    if (answered && monotonicMs() - records.answeredAt > kMaxRecordsAgeMs) {
      await records.readNewest();
    }
    this._pollIntervalMs = answered ? this._windowMs : Math.min(kMaxPollIntervalMs, this._pollIntervalMs * 2);
  }
}
