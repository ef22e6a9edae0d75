/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Life of the target on one host, from its own announcements and from what other daemons remember of it. Words may come late and
 * out of order; what was once said of an instance's end stays true.
 */

import type { TargetLifeState, TargetRecord } from './targetRecord.js';

/** Instances whose end is remembered; late heartbeats are seconds late, and a host does not see as many targets in that time. */
const kMaxEnded = 20;

/** One word of a target to the daemon on its host. */
export interface Announcement {
  instance: string;
  state: 'ready' | 'draining' | 'gone';
  /** Grows with each word of the instance; a late one is smaller. */
  sequence: number;
  /** What a `gone` leaves out. */
  details?: { service: string; address: string; slots: number; coldMs: number };
}

/** What is known of a target. */
export interface KnownTarget {
  /** Id of the incarnation; empty until anything was heard of it. */
  instance: string;
  service: string;
  address: string;
  slots: number;
  /** How much longer it stays slow after its start, in milliseconds. */
  coldMs: number;
  state: TargetLifeState;
}

/** Follows one target after another on the same host. */
export class TargetLife {
  private _known: KnownTarget;
  private _sequence = -1;
  /** Instances that have left or were replaced, the oldest first. */
  private readonly _ended = new Set<string>();

  /** @param address of the targets on this host, as the settings tell it */
  constructor(address: string) {
    this._known = { instance: '', service: '', address, slots: 0, coldMs: 0, state: 'unknown' };
  }

  /** What is known as of now. */
  get known(): Readonly<KnownTarget> {
    return this._known;
  }

  /** Takes an announcement of the target; true when it changed anything that others should know. */
  announce(word: Announcement): boolean {
    if (!this._isNews(word)) {
      return false;
    }
    const before = this._known;
    this._known = { ...(word.instance === before.instance ? before : this._replace(word.instance)), ...word.details };
    this._sequence = Math.max(this._sequence, word.sequence);
    this._advance(word.state);
    const { instance, state, slots } = this._known;
    return instance !== before.instance || state !== before.state || slots !== before.slots;
  }

  /**
   * Takes what others remember of the target, until it speaks itself; true when it changed anything. A leaving one stays leaving,
   * whoever acknowledged it. A daemon that stops as planned says "unknown" last of a target that is well, so that one is used again;
   * should it be another instance by now, it refuses what was meant for this one. So is one that took no connections: whether it does
   * now shows with the first call. "Ready" is not believed: the daemon that said so was killed, and may have acknowledged since that
   * the target leaves, with nobody left who knows.
   */
  remember({ instance, service, state, slots }: Pick<TargetRecord, 'instance' | 'service' | 'state' | 'slots'>): boolean {
    const other = this._ended.has(instance) || (this._known.instance !== '' && instance !== this._known.instance);
    if (instance === '' || other || state === 'ready') {
      return false;
    }
    const remembered = state === 'unknown' || state === 'unreachable' ? 'ready' : state;
    if (rankOf(remembered) <= rankOf(this._known.state)) {
      return false;
    }
    if (this._known.instance === '') {
      this._known = { ...this._known, instance, service, slots };
    }
    this._advance(remembered);
    return true;
  }

  /** What is over for an instance stays over: its heartbeats may come late, also after another one took its place. */
  private _isNews({ instance, state, sequence }: Announcement): boolean {
    if (this._ended.has(instance) || (instance === this._known.instance && this._known.state === 'gone')) {
      return false;
    }
    if (state !== 'gone') {
      return instance !== this._known.instance || sequence > this._sequence;
    }
    if (instance !== this._known.instance && this._known.instance !== '') {
      this._end(instance);
      return false;
    }
    return true;
  }

  private _replace(instance: string): KnownTarget {
    if (this._known.instance !== '') {
      this._end(this._known.instance);
    }
    this._sequence = -1;
    return { ...this._known, instance, state: 'unknown' };
  }

  private _end(instance: string): void {
    this._ended.add(instance);
    if (this._ended.size > kMaxEnded) {
      const [oldest = ''] = this._ended;
      this._ended.delete(oldest);
    }
  }

  /** A target's states only go forward. */
  private _advance(state: TargetLifeState): void {
    if (rankOf(state) > rankOf(this._known.state)) {
      this._known = { ...this._known, state };
    }
  }
}

function rankOf(state: TargetLifeState): number {
  switch (state) {
    case 'unknown':
      return 0;
    case 'ready':
      return 1;
    case 'draining':
      return 2;
    case 'gone':
      return 3;
  }
}
