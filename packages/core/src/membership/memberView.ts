/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * What one daemon knows of the others.
 *
 * Records spread with the daemons' pings. A daemon alone changes its own record and numbers each change; others may only
 * raise suspicion, which the suspected daemon refutes with a higher number. Suspicion that stands becomes death; the dead
 * are still tried now and then, so that a healed partition is noticed.
 */

import type { Random } from '../util/random.js';
import { RendezvousRank } from '../util/rendezvous.js';

/** State of a daemon. */
export type MemberState = 'alive' | 'suspect' | 'dead' | 'left';
/** State of the target on a daemon's host. */
export type TargetState = 'absent' | 'serving' | 'leaving';

/** Record of a daemon. */
export interface Member {
  id: string;
  /** Grows with each start. */
  incarnation: number;
  /** Grows with each change that the daemon announces of itself. */
  revision: number;
  address: string;
  zone: string;
  region: string;
  state: MemberState;
  target: string;
  service: string;
  targetState: TargetState;
  slots: number;
  /** Version of the configuration when last heard from the daemon itself. */
  configVersion: number;
  /** What a daemon that left says of the offers that it took; undefined while it is there, and when it can't tell. */
  leaveProof?: LeaveProof | undefined;
}

/** Offers whose senders may not know how they ended. All others were answered, or never taken. */
export interface LeaveProof {
  unsettled: string[];
}

/** Whether a daemon's last record proves that this incarnation of it never took an offer whose end its sender doesn't know. */
export function provesNeverTaken(member: Member | undefined, incarnation: number, attempt: string): boolean {
  const left = member?.state === 'left' && member.incarnation === incarnation;
  return left && member.leaveProof !== undefined && !member.leaveProof.unsettled.includes(attempt);
}

interface MemberEntry {
  member: Member;
  /** Monotonic time of the latest change of state, in milliseconds. */
  changedAt: number;
  /** How often the latest change was passed on. */
  sendCount: number;
}

/** Time from suspicion to death. */
export const kSuspicionTimeoutMs = 2_000;
/** Time after which a dead or departed daemon is forgotten. */
const kRetentionMs = 3_600_000;
const kMaxChanges = 24;
const kRetransmitFactor = 3;
/** Count of sendings of a record that need not be passed on any more. */
const kFullySpread = 1_000;
/** Share of the probes that go to the dead. */
const kDeadProbeShare = 0.1;
/** Daemons that keep the last record of another one: two may be unreachable, or short of time, at the same moment. */
const kRecordHolders = 3;
const kStateRank: Record<MemberState, number> = { alive: 0, suspect: 1, dead: 2, left: 3 };

/** Membership view of one daemon. */
export class MemberView {
  private readonly _entries = new Map<string, MemberEntry>();
  private _probeOrder: string[] = [];
  private _changeCount = 0;

  constructor(
    private _self: Member,
    private readonly _random: Random,
    now: number,
  ) {
    this._entries.set(_self.id, { member: _self, changedAt: now, sendCount: 0 });
  }

  /** Own record. */
  get self(): Member {
    return this._self;
  }

  /** Number that grows with every change of the view. */
  get changeCount(): number {
    return this._changeCount;
  }

  /** All records. */
  all(): Member[] {
    return [...this._entries.values()].map(({ member }) => member);
  }

  /** Record of one daemon. */
  get(id: string): Member | undefined {
    return this._entries.get(id)?.member;
  }

  /** Changes the own record; nothing happens when all values are as they were. */
  update(change: Partial<Member>, now: number): void {
    const next = { ...this._self, ...change };
    if (JSON.stringify(next) === JSON.stringify(this._self)) {
      return;
    }
    this._setSelf({ ...next, revision: this._self.revision + 1 }, now);
  }

  /**
   * Takes a record from another daemon; true when it was news. What came with a whole view is not passed on: others
   * fetch whole views too.
   */
  merge(member: Member, now: number, retransmit = true): boolean {
    if (member.id === this._self.id) {
      this._refute(member, now);
      return false;
    }
    const known = this._entries.get(member.id);
    if (known && !supersedes(member, known.member)) {
      return false;
    }
    if (!known && (member.state === 'dead' || member.state === 'left')) {
      return false;
    }
    this._entries.set(member.id, { member, changedAt: now, sendCount: retransmit ? 0 : kFullySpread });
    this._changeCount++;
    return true;
  }

  /**
   * Notes the configuration version that a daemon holds, as heard from itself. It makes no news to pass on: each new
   * version would otherwise change every record.
   */
  setConfigVersion(id: string, configVersion: number): void {
    const known = this._entries.get(id);
    if (!known) {
      return;
    }
    const member = { ...known.member, configVersion };
    this._entries.set(id, { ...known, member });
    if (id === this._self.id) {
      this._self = member;
    }
  }

  /** Notes that a daemon answered: suspicion of it, raised here, is dropped. */
  markAlive(id: string, now: number): void {
    const known = this._entries.get(id);
    if (!known || known.member.state === 'alive' || known.member.state === 'left') {
      return;
    }
    this._entries.set(id, { member: { ...known.member, state: 'alive' }, changedAt: now, sendCount: kFullySpread });
    this._changeCount++;
  }

  /** Raises suspicion of a daemon that didn't answer. */
  suspect(id: string, now: number): void {
    const known = this._entries.get(id);
    if (known?.member.state !== 'alive' || id === this._self.id) {
      return;
    }
    this._entries.set(id, { member: { ...known.member, state: 'suspect' }, changedAt: now, sendCount: 0 });
    this._changeCount++;
  }

  /** Turns suspicion that stands into death, and forgets what died long ago. */
  tick(now: number): void {
    for (const [id, known] of this._entries) {
      const age = now - known.changedAt;
      if (known.member.state === 'suspect' && age >= kSuspicionTimeoutMs) {
        this._entries.set(id, { member: { ...known.member, state: 'dead' }, changedAt: now, sendCount: 0 });
        this._changeCount++;
      } else if (kStateRank[known.member.state] >= kStateRank.dead && age >= kRetentionMs) {
        this._entries.delete(id);
        this._changeCount++;
      }
    }
  }

  /** After the process was paused: what the view knows may be stale, so nobody's suspicion may ripen from it. */
  restartSuspicionTimers(now: number): void {
    for (const known of this._entries.values()) {
      if (known.member.state === 'suspect') {
        known.changedAt = now;
      }
    }
  }

  /** Changes to pass on with a ping, the latest first: an old one has spread, or comes with a whole view. */
  takeChanges(): Member[] {
    const maxSends = kRetransmitFactor * Math.ceil(Math.log2(this._entries.size + 1));
    const pending = [...this._entries.values()].filter((known) => known.sendCount < maxSends);
    pending.sort((a, b) => b.changedAt - a.changedAt || a.sendCount - b.sendCount);
    const taken = pending.slice(0, kMaxChanges);
    for (const known of taken) {
      known.sendCount++;
    }
    return taken.map(({ member }) => member);
  }

  /** Next daemon to ping: each in turn, in an order drawn anew each round; now and then a dead one. */
  nextProbe(): Member | undefined {
    const dead = this._others((state) => state === 'dead');
    if (dead.length > 0 && this._random() < kDeadProbeShare) {
      return dead[Math.floor(this._random() * dead.length)];
    }
    for (let i = 0; i < 2; i++) {
      for (let id = this._probeOrder.pop(); id !== undefined; id = this._probeOrder.pop()) {
        const member = this.get(id);
        if (member && (member.state === 'alive' || member.state === 'suspect')) {
          return member;
        }
      }
      this._probeOrder = this._shuffled();
    }
    return dead[0];
  }

  /** Up to `count` daemons at random that are believed alive, those of the own zone if `zone` is given. */
  sampleAlive(count: number, zone?: string): Member[] {
    const alive = this._others((state) => state === 'alive').filter((member) => zone === undefined || member.zone === zone);
    const drawn: Member[] = [];
    while (drawn.length < count && alive.length > 0) {
      drawn.push(...alive.splice(Math.floor(this._random() * alive.length), 1));
    }
    return drawn;
  }

  /**
   * Daemons that know the last record of one that leaves before anybody else: that one tells them, and whoever needs the record asks them.
   * All rank alike, so no message is needed to agree.
   */
  recordHoldersOf(id: string): Member[] {
    const ranked = new RendezvousRank(id).order(
      this._others((state) => state === 'alive' || state === 'suspect').map((member) => ({ host: member.id, member })),
    );
    return ranked
      .map(({ member }) => member)
      .filter((member) => member.id !== id)
      .slice(0, kRecordHolders);
  }

  private _others(wanted: (state: MemberState) => boolean): Member[] {
    return this.all().filter((member) => member.id !== this._self.id && wanted(member.state));
  }

  private _shuffled(): string[] {
    const ids = this._others((state) => state === 'alive' || state === 'suspect').map((member) => member.id);
    for (let i = ids.length - 1; i > 0; i--) {
      const j = Math.floor(this._random() * (i + 1));
      [ids[i], ids[j]] = [ids[j] ?? '', ids[i] ?? ''];
    }
    return ids;
  }

  private _refute(claimed: Member, now: number): void {
    const sameIncarnation = claimed.incarnation === this._self.incarnation;
    if (sameIncarnation && claimed.state !== this._self.state && claimed.revision >= this._self.revision) {
      this._setSelf({ ...this._self, revision: claimed.revision + 1 }, now);
    }
  }

  private _setSelf(self: Member, now: number): void {
    this._self = self;
    this._entries.set(self.id, { member: self, changedAt: now, sendCount: 0 });
    this._changeCount++;
  }
}

/** Whether a record is newer than the one held. */
function supersedes(member: Member, current: Member): boolean {
  if (member.incarnation !== current.incarnation) {
    return member.incarnation > current.incarnation;
  }
  if (member.revision !== current.revision) {
    return member.revision > current.revision;
  }
  return kStateRank[member.state] > kStateRank[current.state];
}
