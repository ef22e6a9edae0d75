/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Keeps the membership view: pings others, answers their pings, and notices when the process was paused. */

import { type Member, type MemberView, monotonicMs, provesNeverTaken } from '@gentiandrum/core';
import type { PeerClient, Pong } from '../client/peerClient.js';
import type { Logger } from './logger.js';
import type { OpenOffers } from './openOffers.js';

const kPeriodMs = 1_000;
/** A period that took this long means that the process was paused. */
const kPauseMs = 2_500;
const kSpread = 3;
/** Periods after which the whole view of another daemon is fetched, against whatever pings did not carry. */
const kFetchPeriods = 60;
/** Pause before others are asked again for the record of a daemon that ended, in milliseconds. */
const kAskAgainMs = 1_000;
/** Times that a daemon which leaves tries to reach those who keep its last record; a ping waits half a second at most. */
const kLeaveTries = 3;
/** Keepers of it that may be left untold: one that stands still would hold up the stop. */
const kUntoldKeepers = 1;

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
  private _announced = -1;
  private _periods = Math.floor(Math.random() * kFetchPeriods);
  /** Latest questions for the records of others, by their ids. */
  private readonly _asked = new Map<string, { at: number; done: Promise<void> }>();

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
    }, kPeriodMs);
  }

  /** Stops to ping. */
  stop(): void {
    clearInterval(this._timer);
  }

  /** Answers a ping. */
  pinged(from: string, configVersion: number, changes: Member[]): Pong {
    this._merge(changes);
    const now = monotonicMs();
    this.view.markAlive(from, now);
    this._compareConfig(from, configVersion);
    this._notify();
    const { self } = this.view;
    return { configVersion: self.configVersion, changes: [self, ...this.view.takeChanges()], openOffers: this._openOffers.at(from) };
  }

  /** A call could not connect to a daemon: it is suspected at once, and pinged. */
  doubt(id: string): void {
    const member = this.view.get(id);
    if (member?.state === 'alive') {
      this.view.suspect(id, monotonicMs());
      this._notify();
      void this.ping(member);
    }
  }

  /** Takes records that came otherwise, such as from a seed. */
  learn(members: Member[]): void {
    this._merge(members, false);
    this._notify();
  }

  /** Tells some others at once of what changed. */
  async spread(): Promise<void> {
    await this._tell([...this.view.sampleAlive(kSpread, this.view.self.zone), ...this.view.sampleAlive(1)]);
  }

  /** Tells the same of a leave, and again to those who keep the last record until nearly all know it. */
  async spreadLeave(): Promise<void> {
    const [, first] = await Promise.all([this.spread(), this._tell(this.view.recordHoldersOf(this.view.self.id))]);
    let untold = first;
    for (let tries = 1; untold.length > kUntoldKeepers && tries < kLeaveTries; tries++) {
      untold = await this._tell(untold);
    }
  }

  /**
   * Whether a daemon left and proved that it never took an attempt. When its record isn't known here, as may be after a pause of this
   * process, others are asked for it.
   */
  async neverTook(id: string, incarnation: number, attempt: string): Promise<boolean> {
    if (provesNeverTaken(this.view.get(id), incarnation, attempt)) {
      return true;
    }
    await this._askForRecord(id);
    return provesNeverTaken(this.view.get(id), incarnation, attempt);
  }

  /** Pings one daemon; true when it answered. */
  async ping(member: Member): Promise<boolean> {
    return (await this._ping(member)) !== undefined;
  }

  /** Tells daemons that this one leaves; returns those that know it, and have no open offers here. */
  async askForRelease(senders: readonly string[]): Promise<string[]> {
    const members = senders.flatMap((id) => this.view.get(id) ?? []);
    const pongs = await Promise.all(members.map((member) => this._ping(member)));
    return members.filter((_, at) => pongs[at]?.openOffers === 0).map(({ id }) => id);
  }

  private async _ping(member: Member): Promise<Pong | undefined> {
    const { self } = this.view;
    const rumour = member.state === 'alive' ? [] : [member];
    const changes = [self, ...rumour, ...this.view.takeChanges()];
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
    if (elapsed > kPauseMs) {
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
    if (this._periods % kFetchPeriods === 0) {
      void this._fetchView();
    }
  }

  /** At most one question a second for each daemon: when one crashes, many offers are lost at once. */
  private _askForRecord(id: string): Promise<void> {
    const now = monotonicMs();
    for (const [other, { at }] of this._asked) {
      if (now - at > kAskAgainMs) {
        this._asked.delete(other);
      }
    }
    let asked = this._asked.get(id);
    if (!asked) {
      asked = { at: now, done: this._fetchRecords(id) };
      this._asked.set(id, asked);
    }
    return asked.done;
  }

  private async _fetchRecords(id: string): Promise<void> {
    const views = await Promise.all(this.view.recordHoldersOf(id).map(({ address }) => this._peers.fetchMembers(address)));
    this.learn(views.flatMap((members) => members ?? []));
  }

  /** Pings daemons; returns those that did not answer. */
  private async _tell(members: readonly Member[]): Promise<Member[]> {
    const told = await Promise.all(members.map((member) => this.ping(member)));
    return members.filter((_, at) => told[at] !== true);
  }

  private async _fetchView(): Promise<void> {
    const [other] = this.view.sampleAlive(1);
    const members = other && (await this._peers.fetchMembers(other.address));
    this.learn(members ?? []);
  }

  private _merge(members: Member[], passOn = true): void {
    const now = monotonicMs();
    for (const member of members) {
      const before = this.view.get(member.id);
      if (this.view.merge(member, now, passOn) && before?.state !== member.state) {
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
    if (this._announced !== this.view.changeCount) {
      this._announced = this.view.changeCount;
      this._events.onChange();
    }
  }
}
