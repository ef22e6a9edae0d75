/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Keeps the membership view: pings others, answers their pings, and notices when the process was paused. */

import { type Member, type MemberView, monotonicMs, provesNeverTaken } from '@gentiandrum/core';
import type { PeerClient, Pong } from '../client/peerClient.js';
import type { Logger } from './logger.js';
import type { OpenOffers } from './openOffers.js';

const kPingPeriodMs = 1_000;
/** A period that took this long means that the process was paused. */
const kPauseThresholdMs = 2_500;
const kUpdateFanout = 3;
/** Periods after which the whole view of another daemon is fetched, against whatever pings did not carry. */
const kPeriodsPerFetch = 60;
/** Pause before others are asked again for the record of a daemon that ended, in milliseconds. */
const kRecordQueryPeriodMs = 1_000;
/** Times that a daemon which leaves tries to reach those who keep its last record; a ping waits half a second at most. */
const kMaxLeaveRounds = 3;
/** Keepers of it that may be left untold: one that stands still would hold up the stop. */
const kMaxUnnotifiedHolders = 1;

/** What others do with membership news. */
export interface MemberEvents {
  /** A ping or an answer told a configuration version ahead of the own one. */
  onNewerConfig(from: string): void;
  /** The view changed. */
  onChange(): void;
  /** The process was paused for about that long. */
  onPause(ms: number): void;
}

/** Membership of one daemon. */
export class MemberService {
  private _timer: NodeJS.Timeout | undefined;
  private _lastTick = monotonicMs();
  private _notifiedChangeCount = -1;
  private _periods = Math.floor(Math.random() * kPeriodsPerFetch);
  /** Latest questions for the records of others, by their ids. */
  private readonly _recordQueries = new Map<string, { at: number; done: Promise<void> }>();

  constructor(
    readonly view: MemberView,
    private readonly _peers: PeerClient,
    private readonly _events: MemberEvents,
    private readonly _logger: Logger,
    private readonly _openOffers: OpenOffers,
  ) {}

  /** Starts to ping. */
  start(): void {
    this._lastTick = monotonicMs();
    this._timer = setInterval(() => {
      this._tick();
    }, kPingPeriodMs);
  }

  /** Stops to ping. */
  stop(): void {
    clearInterval(this._timer);
  }

  /** Answers a ping. */
  onPing(from: string, configVersion: number, changes: Member[]): Pong {
    this._merge(changes);
    const now = monotonicMs();
    this.view.markAlive(from, now);
    this._compareConfig(from, configVersion);
    this._notify();
    const { self } = this.view;
    return { configVersion: self.configVersion, changes: [self, ...this.view.takeChanges()], openOffers: this._openOffers.countFor(from) };
  }

  /** A call could not connect to a daemon: it is suspected at once, and pinged. */
  suspectUnreachable(id: string): void {
    const member = this.view.get(id);
    if (member?.state === 'alive') {
      this.view.suspect(id, monotonicMs());
      this._notify();
      void this.ping(member);
    }
  }

  /** Takes records that came otherwise, such as from a seed. */
  mergeRecords(members: Member[]): void {
    this._merge(members, false);
    this._notify();
  }

  /** Tells some others at once of what changed. */
  async sendUpdate(): Promise<void> {
    await this._pingAll([...this.view.sampleAlive(kUpdateFanout, this.view.self.zone), ...this.view.sampleAlive(1)]);
  }

  /** Tells the same of a leave, and again to those who keep the last record until nearly all know it. */
  async sendLeave(): Promise<void> {
    const [, unnotifiedHolders] = await Promise.all([this.sendUpdate(), this._pingAll(this.view.recordHoldersOf(this.view.self.id))]);
    let unnotified = unnotifiedHolders;
    for (let rounds = 1; unnotified.length > kMaxUnnotifiedHolders && rounds < kMaxLeaveRounds; rounds++) {
      unnotified = await this._pingAll(unnotified);
    }
  }

  /**
   * Whether a daemon left and proved that it never took an attempt. When its record isn't known here, as may be after a pause of this
   * process, others are asked for it.
   */
  async neverAccepted(id: string, incarnation: number, attempt: string): Promise<boolean> {
    if (provesNeverTaken(this.view.get(id), incarnation, attempt)) {
      return true;
    }
    await this._queryRecord(id);
    return provesNeverTaken(this.view.get(id), incarnation, attempt);
  }

  /** Pings one daemon; true when it answered. */
  async ping(member: Member): Promise<boolean> {
    return (await this._ping(member)) !== undefined;
  }

  /** Tells daemons that this one leaves; returns those that know it, and have no open offers here. */
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

  /** At most one question a second for each daemon: when one crashes, many offers are lost at once. */
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

  /** Pings daemons; returns those that did not answer. */
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
        this._logger.info('members', `${member.id} is ${member.state}`, { member: member.id, zone: member.zone, state: member.state });
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
