/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Life of the target on one host, from its own announcements and from what other daemons remember of it. Words may come late and
 * out of order; what was once said of an instance's end stays true.
 */

import type { TargetLifecycleState, TargetRecord } from './targetRecord.js';

/** Instances whose end is remembered; late heartbeats are seconds late, and a host does not see as many targets in that time. */
const kMaxEndedIncarnations = 20;

/** One word of a target to the daemon on its host. */
export interface Announcement {
  instance: string;
  /** Start of the incarnation, in milliseconds of the wall clock: a target may start again under its id. Some targets don't say. */
  born?: number | undefined;
  state: 'ready' | 'draining' | 'gone';
  /** Grows with each word of the instance; a late one is smaller. */
  sequence: number;
  /** What a `gone` leaves out. */
  details?: { service: string; address: string; slots: number; coldMs: number };
}

/** What is known of a target. */
export interface KnownTarget {
  /** Id of the target; empty until anything was heard of it. */
  instance: string;
  /** Start of its incarnation; 0 when it doesn't say. */
  born: number;
  service: string;
  address: string;
  slots: number;
  /** How much longer it stays slow after its start, in milliseconds. */
  coldMs: number;
  state: TargetLifecycleState;
}

/** Follows one target after another on the same host. */
export class TargetLifecycle {
  private _known: KnownTarget;
  private _sequence = -1;
  /** Incarnations that have left or were replaced, the oldest first. */
  private readonly _ended = new Set<string>();

  /** @param address of the targets on this host, as the settings tell it */
  constructor(address: string) {
    this._known = { instance: '', born: 0, service: '', address, slots: 0, coldMs: 0, state: 'unknown' };
  }

  /** What is known as of now. */
  get known(): Readonly<KnownTarget> {
    return this._known;
  }

  /** Takes an announcement of the target; true when it changed anything that others should know. */
  announce(announcement: Announcement): boolean {
    if (!this._shouldApply(announcement)) {
      return false;
    }
    const before = this._known;
    const known = this._isCurrent(announcement) ? before : this._startIncarnation(announcement);
    this._known = { ...known, ...announcement.details, born: Math.max(known.born, announcement.born ?? 0) };
    this._sequence = Math.max(this._sequence, announcement.sequence);
    this._advance(announcement.state);
    const { instance, born, state, slots } = this._known;
    return instance !== before.instance || born !== before.born || state !== before.state || slots !== before.slots;
  }

  /**
   * Takes what others remember of the target, until it speaks itself; true when it changed anything. A leaving one stays leaving,
   * whoever acknowledged it. A daemon that stops as planned says "unknown" last of a target that is well, so that one is used again;
   * should it be another instance by now, it refuses what was meant for this one. So is one that took no connections: whether it does
   * now shows with the first call. "Ready" is not believed: the daemon that said so was killed, and may have acknowledged since that
   * the target leaves, with nobody left who knows.
   */
  applyRecord({
    instance,
    born = 0,
    service,
    state,
    slots,
  }: Pick<TargetRecord, 'instance' | 'born' | 'service' | 'state' | 'slots'>): boolean {
    const isOtherIncarnation =
      this._ended.has(incarnationKey(instance, born)) || (this._known.instance !== '' && !this._isCurrent({ instance, born }));
    if (instance === '' || isOtherIncarnation || state === 'ready') {
      return false;
    }
    const nextState = state === 'unknown' || state === 'unreachable' ? 'ready' : state;
    if (stateOrder(nextState) <= stateOrder(this._known.state)) {
      return false;
    }
    if (this._known.instance === '') {
      this._known = { ...this._known, instance, born, service, slots };
    }
    this._advance(nextState);
    return true;
  }

  /**
   * What is over for an incarnation stays over: its heartbeats may come late, also after another one took its place, and also to a daemon
   * that started meanwhile and never heard of it. One that was born earlier than the known one is over.
   */
  private _shouldApply(announcement: Announcement): boolean {
    const { instance, born = 0, state, sequence } = announcement;
    const current = this._isCurrent(announcement);
    if (this._ended.has(incarnationKey(instance, born)) || (current && this._known.state === 'gone') || this._isEarlier(born)) {
      return false;
    }
    if (state !== 'gone') {
      return !current || sequence > this._sequence;
    }
    if (!current && this._known.instance !== '') {
      this._markEnded(instance, born);
      return false;
    }
    return true;
  }

  /** Whether an incarnation is the known one. One that doesn't say when it was born is told by its id alone. */
  private _isCurrent({ instance, born = 0 }: Pick<Announcement, 'instance' | 'born'>): boolean {
    return instance === this._known.instance && (born === 0 || this._known.born === 0 || born === this._known.born);
  }

  private _isEarlier(born: number): boolean {
    return born > 0 && born < this._known.born;
  }

  private _startIncarnation({ instance, born = 0 }: Announcement): KnownTarget {
    if (this._known.instance !== '') {
      this._markEnded(this._known.instance, this._known.born);
    }
    this._sequence = -1;
    return { ...this._known, instance, born, state: 'unknown' };
  }

  private _markEnded(instance: string, born: number): void {
    this._ended.add(incarnationKey(instance, born));
    if (this._ended.size > kMaxEndedIncarnations) {
      const [oldest = ''] = this._ended;
      this._ended.delete(oldest);
    }
  }

  /** A target's states only go forward. */
  private _advance(state: TargetLifecycleState): void {
    if (stateOrder(state) > stateOrder(this._known.state)) {
      this._known = { ...this._known, state };
    }
  }
}

function incarnationKey(instance: string, born: number): string {
  return `${instance} ${born}`;
}

function stateOrder(state: TargetLifecycleState): number {
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
