/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Membership view of one daemon. Records spread by gossip with the daemons' pings. Only the daemon itself changes its record, with a new
 * revision for each change; others may only suspect it, which it refutes with a higher revision. A suspicion that is not refuted in time
 * marks the daemon dead. Dead daemons are still probed occasionally, to detect the end of a network partition.
 */

import type { Random } from '../util/random.js';
import { RendezvousRank } from '../util/rendezvousRank.js';

export type MemberState = 'alive' | 'suspect' | 'dead' | 'left';
export type TargetState = 'absent' | 'serving' | 'leaving';

/** Record of a daemon and of the target on its host. */
export interface Member {
  id: string;
  /** Increases with each start of the daemon. */
  incarnation: number;
  /** Increases with each change that the daemon makes to its record. */
  revision: number;
  address: string;
  zone: string;
  region: string;
  state: MemberState;
  target: string;
  service: string;
  targetState: TargetState;
  slots: number;
  /** Version of the configuration that the daemon last reported. */
  configVersion: number;
  /** Attempts that may be unsettled; undefined before the daemon has left, and when there are too many to list. */
  leaveProof?: LeaveProof | undefined;
}

/** Attempts whose senders may not know the result. All other attempts were answered or never accepted. */
export interface LeaveProof {
  unsettled: string[];
}

/** Whether the last record of a daemon proves that this incarnation never accepted an attempt whose result was lost. */
export function provesNeverAccepted(member: Member | undefined, incarnation: number, attempt: string): boolean {
  const left = member?.state === 'left' && member.incarnation === incarnation;
  return left && member.leaveProof !== undefined && !member.leaveProof.unsettled.includes(attempt);
}

interface MemberEntry {
  member: Member;
  /** Monotonic time of the latest change, or of the restart of its suspicion timeout, in milliseconds. */
  changedAt: number;
  /** Number of times that the latest change was sent. */
  sendCount: number;
}

/** Time after which a suspected daemon is marked dead, in milliseconds. */
export const kSuspicionTimeoutMs = 2_000;
/** Time after which the record of a daemon that is dead or has left is removed, in milliseconds. */
const kRetentionMs = 3_600_000;
const kMaxChanges = 24;
const kRetransmitFactor = 3;
/** Send count of a record that is not sent again. */
const kFullySpread = 1_000;
/** Share of the probes that go to dead daemons. */
const kDeadProbeShare = 0.1;
/** Number of daemons that receive the last record of a daemon directly when it shuts down; two of them may be unreachable or slow. */
const kRecordHolders = 3;
const kStateRank: Record<MemberState, number> = { alive: 0, suspect: 1, dead: 2, left: 3 };

/** Records of all known daemons, with the state that this daemon assigns to them. */
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

  /** Record of the local daemon. */
  get self(): Member {
    return this._self;
  }

  /** Increases with every change of the view. */
  get changeCount(): number {
    return this._changeCount;
  }

  all(): Member[] {
    return [...this._entries.values()].map(({ member }) => member);
  }

  get(id: string): Member | undefined {
    return this._entries.get(id)?.member;
  }

  /** Changes the local daemon's record, and increases its revision if any value differs. */
  update(change: Partial<Member>, now: number): void {
    const next = { ...this._self, ...change };
    if (JSON.stringify(next) === JSON.stringify(this._self)) {
      return;
    }
    this._setSelf({ ...next, revision: this._self.revision + 1 }, now);
  }

  /**
   * Merges a record from another daemon; returns whether it was newer. Records from a complete view are not retransmitted, as other
   * daemons fetch complete views too.
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

  /** Sets the configuration version that a daemon reported. The change is not retransmitted, as each new version changes all records. */
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

  /** Marks a daemon alive in this view after it responded. */
  markAlive(id: string, now: number): void {
    const known = this._entries.get(id);
    if (!known || known.member.state === 'alive' || known.member.state === 'left') {
      return;
    }
    this._entries.set(id, { member: { ...known.member, state: 'alive' }, changedAt: now, sendCount: kFullySpread });
    this._changeCount++;
  }

  /** Suspects a daemon that did not respond. */
  suspect(id: string, now: number): void {
    const known = this._entries.get(id);
    if (known?.member.state !== 'alive' || id === this._self.id) {
      return;
    }
    this._entries.set(id, { member: { ...known.member, state: 'suspect' }, changedAt: now, sendCount: 0 });
    this._changeCount++;
  }

  /** Marks daemons dead when their suspicion times out, and removes expired records. */
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

  /** Restarts the suspicion timeouts after this process was paused, as refutations may not have been received. */
  restartSuspicionTimers(now: number): void {
    for (const known of this._entries.values()) {
      if (known.member.state === 'suspect') {
        known.changedAt = now;
      }
    }
  }

  /** Returns the changes to send with a ping, the latest first, and counts them as sent. */
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

  /** Returns the next daemon to ping: each in turn, in a random order for each round, and occasionally a dead one. */
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

  /** Returns up to `count` random daemons that are alive, limited to `zone` if given. */
  sampleAlive(count: number, zone?: string): Member[] {
    const alive = this._others((state) => state === 'alive').filter((member) => zone === undefined || member.zone === zone);
    const drawn: Member[] = [];
    while (drawn.length < count && alive.length > 0) {
      drawn.push(...alive.splice(Math.floor(this._random() * alive.length), 1));
    }
    return drawn;
  }

  /**
   * Returns the daemons to which a daemon sends its last record when it shuts down, and from which others request it. All daemons compute
   * the same ranking.
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

/** Whether a record replaces the current one: it is newer, or has the same revision and a state of higher rank. */
function supersedes(member: Member, current: Member): boolean {
  if (member.incarnation !== current.incarnation) {
    return member.incarnation > current.incarnation;
  }
  if (member.revision !== current.revision) {
    return member.revision > current.revision;
  }
  return kStateRank[member.state] > kStateRank[current.state];
}
