/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Decides what this daemon reads from and writes to the platform's log. The readers of a zone follow the log for all its daemons; other
 * daemons poll the log only while they know of no reader. This keeps the number of log calls from growing with the number of hosts.
 */

import { monotonicMs, ReaderRank, type ReaderRole, type TargetDirectory, type TargetRecord } from '@gentiandrum/core';
import type { PeerMessage } from '../../client/peerMessages.js';
import type { ConfigSource } from '../../ports.js';
import { LogWriter, type LogWriterDeps } from './logWriter.js';

/**
 * Share of `inForceMs` after which a reader without a report is considered failed. The rest of the time covers the local poll, two
 * responses of the log and the propagation to other daemons.
 */
const kWindowShare = 0.5;
/** Number of reports that a reader sends per window, the time that {@link kWindowShare} defines. */
const kReportsPerWindow = 2;
/** Age of the latest response at which the log counts as unavailable, in milliseconds: the longest read plus its response time. */
const kMaxResponseAgeMs = 5_500;
/** Jitter of the polls while no reader is known, as a share of the poll interval; keeps daemons from polling at the same time. */
const kPollJitter = 0.3;
/** Maximum poll interval, in milliseconds; the interval starts at the window, and doubles while the log does not respond. */
const kMaxPollIntervalMs = 8_000;
/** Age of the known records at which a poll reads the records too, in milliseconds. */
const kMaxRecordsAgeMs = 4_000;
/** Time over which the daemons spread their first reads at the initial start of the deployment, in milliseconds. */
const kInitialReadSpreadMs = 1_500;
/**
 * Time after the initial start of the deployment before a daemon becomes a reader, in milliseconds. Until then, each daemon knows only
 * the daemons that read the log before it, so too many of them would become readers.
 */
const kInitialPassiveMs = 2_000;
/** Initial and maximum delay before the first read is retried, in milliseconds. */
const kReadRetryMs = 200;
const kMaxReadRetryMs = 1_600;

/** Daemon services that the follower depends on. */
export interface LogFollowerDeps extends LogWriterDeps {
  directory: TargetDirectory;
  configs: ConfigSource;
  /** Version of the configuration in force. */
  version(): number;
  /** Sends to every linked daemon of the local zone. */
  sendZone(message: PeerMessage): void;
}

/** Reads and writes the platform's log for one daemon. */
export class LogFollower {
  private readonly _rank: ReaderRank;
  private readonly _windowMs: number;
  private readonly _writer: LogWriter;
  /** Hosts that this daemon cannot reach. */
  private readonly _unreachable = new Set<string>();
  private _role: ReaderRole = { kind: 'member', readers: [], ahead: [] };
  private _hasRead = false;
  /** Time until which this daemon only publishes its own record, on the monotonic clock. */
  private _activeFrom = 0;
  private _following = false;
  private _initialReadTimer: NodeJS.Timeout | undefined;
  private _reportedAt = 0;
  /** Start of the current poll interval, on the monotonic clock; undefined before the first. */
  private _pollAt: number | undefined;
  private _pollIntervalMs: number;
  /** Changes that the first reader relays to its zone at the next check. */
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
    return this._role.kind === 'reader';
  }

  /** Other hosts known as readers of this zone; for a reader, those ranked before it. */
  get readers(): readonly string[] {
    return this._role.kind === 'member' ? this._role.readers : this._role.ahead;
  }

  /** Whether the latest call of this daemon to the log has not failed, and the latest response is recent. */
  get logResponds(): boolean {
    const { configs } = this._deps;
    return !configs.failing && monotonicMs() - configs.respondedAt < kMaxResponseAgeMs;
  }

  /** Reads the hosts' records once, delayed at the initial start of the deployment. */
  start(): void {
    const { firstStart } = this._deps.settings.log;
    this._activeFrom = firstStart ? monotonicMs() + kInitialPassiveMs : 0;
    this._scheduleInitialRead(firstStart ? Math.random() * kInitialReadSpreadMs : 0, kReadRetryMs);
  }

  /** Stops the initial read and its timer. */
  stop(): void {
    clearTimeout(this._initialReadTimer);
    this._hasRead = false;
  }

  /** Whether this daemon needs a link to a host to relay or to receive changes read from the log. */
  wantsLink({ host, zone }: TargetRecord): boolean {
    if (zone !== this._deps.settings.zone) {
      return false;
    }
    return this._role.kind === 'reader' || this._role.ahead.includes(host);
  }

  /** Records whether the log responds to another daemon, as that daemon reports. */
  recordReport(host: string, logResponds: boolean): void {
    this._rank.recordReport(host, logResponds, monotonicMs());
  }

  /** Records whether this daemon can reach a host. */
  setReachable(host: string, reachable: boolean): void {
    if (reachable) {
      this._unreachable.delete(host);
    } else {
      this._unreachable.add(host);
    }
  }

  /** Queues a record that is new to this daemon; the first reader relays it to its zone. */
  recordUpdated(record: TargetRecord): void {
    this._updates.set(record.host, record);
  }

  /** Handles the removal of a host's record from the log; `relay` when this daemon read the removal from the log itself. */
  recordErased(host: string, relay: boolean): void {
    this._writer.recordErased(host);
    if (relay) {
      this._erased.add(host);
    }
  }

  /** Marks a record as present in the log. */
  recordLogged(record: TargetRecord): void {
    this._writer.recordLogged(record);
  }

  /** Begins a full read of the records, which follow one by one. */
  beginFullRead(): void {
    this._writer.beginFullRead();
    this._hasRead = true;
  }

  /** Marks the record of this host as present in the log. */
  ownRecordLogged(epoch: number, revision: number): void {
    const { host } = this._deps.own();
    this._writer.recordLogged({ host, epoch, revision });
  }

  /** Updates the role of this daemon, then polls, relays and writes as needed; called several times per second. */
  check(): void {
    if (!this._hasRead) {
      return;
    }
    const now = monotonicMs();
    const members = this._members();
    this._role = this._rank.determineRole(members, (host) => this._unreachable.has(host), now);
    if (now < this._activeFrom) {
      // The only known member of its zone writes its record, so that daemons that read the log later find it.
      this._writer.check(now, members.length === 1, members);
      return;
    }
    this._updateFollowing();
    if (this._role.kind === 'reader') {
      this._report(now);
    } else {
      this._pollWithoutReader(now);
    }
    const first = this._role.kind === 'reader' && this._role.first;
    if (first) {
      this._relay();
    }
    this._updates.clear();
    this._erased.clear();
    this._writer.check(now, first, members);
  }

  private _scheduleInitialRead(delayMs: number, retryMs: number): void {
    this._initialReadTimer = setTimeout(() => {
      void this._readNewest().then((responded) => {
        if (!responded && !this._hasRead) {
          // Other daemons may have sent their records meanwhile; then this daemon continues without the log.
          this._hasRead = this._deps.directory.size > 1;
          this._scheduleInitialRead(retryMs, Math.min(kMaxReadRetryMs, retryMs * 2));
        }
      });
    }, delayMs);
  }

  /** Reads all records; returns false if that or their use failed. */
  private async _readNewest(): Promise<boolean> {
    try {
      return await this._deps.records.readNewest();
    } catch (err) {
      this._deps.events.warn('log', 'Using the records of the hosts failed.', { err: err instanceof Error ? err.stack : String(err) });
      return false;
    }
  }

  private _members(): TargetRecord[] {
    const { directory, settings } = this._deps;
    return [...directory.values()].filter(({ zone, state }) => zone === settings.zone && state !== 'gone');
  }

  private _updateFollowing(): void {
    if (this._following !== this.readsLog) {
      this._following = this.readsLog;
      this._deps.events.info(
        'log',
        this.readsLog
          ? 'Following the log as a reader of the zone.'
          : 'Stopped following the log; other daemons are the readers of the zone.',
      );
    }
    this._deps.configs.follow(this.readsLog);
    this._deps.records.follow(this._role.kind === 'reader' && this._role.first);
  }

  /** Reports to the zone. Other members stop polling on a report, so none is sent before the log has responded or failed. */
  private _report(now: number): void {
    const { configs, directory } = this._deps;
    const known = configs.failing || configs.respondedAt > -Infinity;
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
    if (this._rank.hasHealthyReader(now)) {
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
    const responded = await configs.readNewest();
    if (responded && monotonicMs() - records.respondedAt > kMaxRecordsAgeMs) {
      await records.readNewest();
    }
    this._pollIntervalMs = responded ? this._windowMs : Math.min(kMaxPollIntervalMs, this._pollIntervalMs * 2);
  }
}
