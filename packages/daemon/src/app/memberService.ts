/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Maintains the membership view: pings other daemons, responds to their pings, and detects pauses of the process. */

import { type Member, type MemberView, monotonicMs, provesNeverAccepted } from '@gentiandrum/core';
import type { PeerClient, Pong } from '../client/peerClient.js';
import type { Logger } from './logger.js';
import type { OpenOffers } from './openOffers.js';

const kPingPeriodMs = 1_000;
/** Time between two ticks from which the process counts as paused, in milliseconds. */
const kPauseThresholdMs = 2_500;
/** Number of daemons in the local zone that an update is sent to; one more is drawn from all zones. */
const kUpdateFanout = 3;
/** Number of periods between fetches of another daemon's whole view, which contains changes that pings have missed. */
const kPeriodsPerFetch = 60;
/** Minimum time between queries for the record of one daemon, in milliseconds. */
const kRecordQueryPeriodMs = 1_000;
/** Maximum number of rounds in which a leaving daemon pings the holders of its last record. */
const kMaxLeaveRounds = 3;
/** Number of holders that may remain without the record, so that one paused daemon does not delay the stop. */
const kMaxUnnotifiedHolders = 1;

/** Callbacks for membership changes. */
export interface MemberEvents {
  /** Another daemon reported a newer configuration version than the local one. */
  onNewerConfig(from: string): void;
  onChange(): void;
  /** Digest of the suspicions that this daemon knows. */
  suspectsDigest(): number;
  /** Another daemon knows other suspicions than this one. */
  onOtherSuspects(member: Member): void;
  /** The process was paused for about `ms` milliseconds. */
  onPause(ms: number): void;
}

/** Membership of one daemon. */
export class MemberService {
  private _timer: NodeJS.Timeout | undefined;
  private _lastTick = monotonicMs();
  private _notifiedChangeCount = -1;
  private _periods = Math.floor(Math.random() * kPeriodsPerFetch);
  /** Recent queries for the records of other daemons, by id. */
  private readonly _recordQueries = new Map<string, { at: number; done: Promise<void> }>();

  constructor(
    readonly view: MemberView,
    private readonly _peers: PeerClient,
    private readonly _events: MemberEvents,
    private readonly _logger: Logger,
    private readonly _openOffers: OpenOffers,
  ) {}

  /** Starts pinging. */
  start(): void {
    this._lastTick = monotonicMs();
    this._timer = setInterval(() => {
      this._tick();
    }, kPingPeriodMs);
  }

  /** Stops pinging. */
  stop(): void {
    clearInterval(this._timer);
  }

  /** Processes a ping and returns the response. */
  onPing(from: string, configVersion: number, changes: Member[]): Pong {
    this._merge(changes);
    const now = monotonicMs();
    this.view.markAlive(from, now);
    this._compareConfig(from, configVersion);
    this._notify();
    const { self } = this.view;
    return {
      configVersion: self.configVersion,
      changes: [self, ...this.view.takeChanges()],
      openOffers: this._openOffers.countFor(from),
      suspectsDigest: this._events.suspectsDigest(),
    };
  }

  /** Suspects a daemon that a call could not connect to, and pings it. */
  suspectUnreachable(id: string): void {
    const member = this.view.get(id);
    if (member?.state === 'alive') {
      this.view.suspect(id, monotonicMs());
      this._notify();
      void this.ping(member);
    }
  }

  /** Merges records from another source than a ping, without sending them on. */
  mergeRecords(members: Member[]): void {
    this._merge(members, false);
    this._notify();
  }

  /** Sends recent changes to some random daemons at once. */
  async sendUpdate(): Promise<void> {
    await this._pingAll([...this.view.sampleAlive(kUpdateFanout, this.view.self.zone), ...this.view.sampleAlive(1)]);
  }

  /** Sends an update, and sends the last record to its holders in up to {@link kMaxLeaveRounds} rounds until nearly all have it. */
  async sendLeave(): Promise<void> {
    const [, unnotifiedHolders] = await Promise.all([this.sendUpdate(), this._pingAll(this.view.recordHoldersOf(this.view.self.id))]);
    let unnotified = unnotifiedHolders;
    for (let rounds = 1; unnotified.length > kMaxUnnotifiedHolders && rounds < kMaxLeaveRounds; rounds++) {
      unnotified = await this._pingAll(unnotified);
    }
  }

  /**
   * Whether a daemon left and proved that it never accepted an attempt. If the known record is no proof, as may be the case after a pause
   * of this process, queries the holders of the record.
   */
  async neverAccepted(id: string, incarnation: number, attempt: string): Promise<boolean> {
    if (provesNeverAccepted(this.view.get(id), incarnation, attempt)) {
      return true;
    }
    await this._queryRecord(id);
    return provesNeverAccepted(this.view.get(id), incarnation, attempt);
  }

  /** Pings one daemon; returns whether it responded. */
  async ping(member: Member): Promise<boolean> {
    return (await this._ping(member)) !== undefined;
  }

  /** Pings senders of offers; returns those that responded and reported no open offers at this daemon. */
  async requestRelease(senders: readonly string[]): Promise<string[]> {
    const members = senders.flatMap((id) => this.view.get(id) ?? []);
    const pongs = await Promise.all(members.map((member) => this._ping(member)));
    return members.filter((_, at) => pongs[at]?.openOffers === 0).map(({ id }) => id);
  }

  private async _ping(member: Member): Promise<Pong | undefined> {
    const { self } = this.view;
    const refutable = member.state === 'alive' ? [] : [member];
    const changes = [self, ...refutable, ...this.view.takeChanges()];
    const pong = await this._peers.ping(member.address, { from: self.id, to: member.id, configVersion: self.configVersion, changes });
    const now = monotonicMs();
    if (!pong) {
      this.view.suspect(member.id, now);
      this._notify();
      return undefined;
    }
    this._merge(pong.changes);
    this.view.markAlive(member.id, now);
    this._compareConfig(member.id, pong.configVersion);
    // Suspicions are sent once, when they change. A daemon that was cut off or paused at that time would not learn of them otherwise.
    if (pong.suspectsDigest !== this._events.suspectsDigest()) {
      this._events.onOtherSuspects(member);
    }
    this._notify();
    return pong;
  }

  private _tick(): void {
    const now = monotonicMs();
    const elapsed = now - this._lastTick;
    this._lastTick = now;
    if (elapsed > kPauseThresholdMs) {
      this.view.restartSuspicionTimers(now);
      this._events.onPause(elapsed);
    }
    this.view.tick(now);
    this._notify();
    const next = this.view.nextProbe();
    if (next) {
      void this.ping(next);
    }
    this._periods++;
    if (this._periods % kPeriodsPerFetch === 0) {
      void this._fetchView();
    }
  }

  /** Limits queries to one per period and daemon, because a crash of a daemon loses many offers at once. */
  private _queryRecord(id: string): Promise<void> {
    const now = monotonicMs();
    for (const [other, { at }] of this._recordQueries) {
      if (now - at > kRecordQueryPeriodMs) {
        this._recordQueries.delete(other);
      }
    }
    let query = this._recordQueries.get(id);
    if (!query) {
      query = { at: now, done: this._fetchRecords(id) };
      this._recordQueries.set(id, query);
    }
    return query.done;
  }

  private async _fetchRecords(id: string): Promise<void> {
    const views = await Promise.all(this.view.recordHoldersOf(id).map(({ address }) => this._peers.fetchMembers(address)));
    this.mergeRecords(views.flatMap((members) => members ?? []));
  }

  /** Pings daemons; returns those that did not respond. */
  private async _pingAll(members: readonly Member[]): Promise<Member[]> {
    const responded = await Promise.all(members.map((member) => this.ping(member)));
    return members.filter((_, at) => responded[at] !== true);
  }

  private async _fetchView(): Promise<void> {
    const [other] = this.view.sampleAlive(1);
    const members = other && (await this._peers.fetchMembers(other.address));
    this.mergeRecords(members ?? []);
  }

  private _merge(members: Member[], retransmit = true): void {
    const now = monotonicMs();
    for (const member of members) {
      const before = this.view.get(member.id);
      if (this.view.merge(member, now, retransmit) && before?.state !== member.state) {
        this._logger.info('members', `Daemon ${member.id} is ${member.state}.`, {
          member: member.id,
          zone: member.zone,
          state: member.state,
        });
      }
    }
  }

  private _compareConfig(from: string, version: number): void {
    this.view.setConfigVersion(from, version);
    if (version > this.view.self.configVersion) {
      this._events.onNewerConfig(from);
    }
  }

  private _notify(): void {
    if (this._notifiedChangeCount !== this.view.changeCount) {
      this._notifiedChangeCount = this.view.changeCount;
      this._events.onChange();
    }
  }
}
