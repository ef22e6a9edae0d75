/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Lifecycle of the target on one host, derived from its announcements and from records that other daemons hold. Announcements may arrive
 * late and out of order; an incarnation that has ended stays ended.
 */

import type { TargetLifecycleState, TargetRecord } from './targetRecord.js';

/** Ended incarnations that are kept to reject their late heartbeats; exceeds the number that a host starts within seconds. */
const kMaxEndedIncarnations = 20;

/** Announcement of a target to the daemon on its host. */
export interface Announcement {
  instance: string;
  /** Start of the incarnation, in milliseconds of the wall clock; undefined if the target does not report it. */
  born?: number | undefined;
  state: 'ready' | 'draining' | 'gone';
  /** Increases with each announcement of the instance. */
  sequence: number;
  /** Undefined for `gone`. */
  details?: { service: string; address: string; slots: number; coldMs: number };
}

/** Known state of a target. */
export interface KnownTarget {
  /** Id of the target; empty until it is known. */
  instance: string;
  /** Start of its incarnation, in milliseconds of the wall clock; 0 if unknown. */
  born: number;
  service: string;
  address: string;
  slots: number;
  /** Remaining warm-up time, in milliseconds. */
  coldMs: number;
  state: TargetLifecycleState;
}

/** Tracks the successive targets on one host. */
export class TargetLifecycle {
  private _known: KnownTarget;
  private _sequence = -1;
  /** Keys of incarnations that are gone or were replaced, the oldest first. */
  private readonly _ended = new Set<string>();

  /** @param address address of the targets on this host, from the settings */
  constructor(address: string) {
    this._known = { instance: '', born: 0, service: '', address, slots: 0, coldMs: 0, state: 'unknown' };
  }

  get known(): Readonly<KnownTarget> {
    return this._known;
  }

  /** Applies an announcement; returns whether it changed anything that other daemons need to know. */
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

  /** Marks the known target as draining, as it stated in a response; returns whether that changed its state. Later announcements do not undo it. */
  drain(): boolean {
    const before = this._known;
    this._advance('draining');
    return this._known !== before;
  }

  /**
   * Applies a record of this host from another daemon; returns whether it changed anything. A target that was draining or gone stays so.
   * `unknown`, the last state from a daemon that shut down while its target was ready, and `unreachable` count as ready; the first call
   * shows whether the target responds. `ready` is ignored: the daemon that wrote it crashed, and may have acknowledged since then that the
   * target is draining.
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
   * Rejects late and repeated announcements: those of ended incarnations, of incarnations that started before the known one, and those with
   * an outdated sequence number. The heartbeat of an ended incarnation may arrive after the next one has announced itself, and at a daemon
   * that started meanwhile and never heard of the ended one.
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

  /** Whether an incarnation is the known one. Without a start time, the ids are compared alone. */
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

  /** Changes the state unless the new one precedes the current one. */
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
