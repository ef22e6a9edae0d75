/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Gate of one target with a known number of slots: the only way to it. Decides at once whether a call starts, waits or is
 * refused, and never lets more calls run than the target has slots for.
 *
 * Without I/O: `onStart` and `onRefuse` tell the surroundings what became of a waiting call.
 */

import { monotonicMs } from '../util/clock.js';

/** Share of the slots that is used: some targets slow down when they are nearly full. */
const kUsedSlotShare = 0.95;
/** Weight of the newest run in the mean time per run. */
const kMeanWeight = 0.05;
/** Longest queue as a multiple of the slots; beyond it waiting can't help. */
const kQueuePerSlot = 8;
/** Shares of the slots that a target gets at first after its start, and after each second up to all. */
const kColdSlotShares = [0.5, 0.75] as const;

/** Why a gate refuses a call. None of these has run. */
export type GateRefusal =
  | 'not_accepting'
  | 'unreachable'
  | 'overloaded'
  | 'repeat_budget'
  | 'wait_too_long'
  | 'key_not_valid'
  /** Targets may have ended by its kind, and it can't be tried here now. */
  | 'suspected'
  /** Targets have ended by its kind: it does not run. */
  | 'quarantined';

/** A call that asks to be let in. */
export interface GatedCall {
  id: number;
  /** Time up to which it may wait, on the monotonic clock; who has to start sooner goes first. */
  waitUntil: number;
  /** Rank of a person's request, 0 the most urgent; calls of targets have none, as what they are for is not known. */
  rank?: number | undefined;
}

/** What a gate tells its surroundings. */
export interface SlotGateEvents<T extends GatedCall> {
  onStart(call: T): void;
  onRefuse(call: T, reason: GateRefusal): void;
}

/** Gate of one target. */
export class SlotGate<T extends GatedCall> {
  /** Waiting calls, the one that has to start soonest first. */
  private readonly _queue: T[] = [];
  private readonly _running = new Set<number>();
  private _slots = 0;
  /** Why nothing is taken; undefined while calls are. */
  private _closedReason: GateRefusal | undefined = 'not_accepting';
  private _meanMs = 0;
  private _warmFrom = 0;

  /** @param _connections how many connections the target accepts, as known now: each running call takes one */
  constructor(
    private readonly _events: SlotGateEvents<T>,
    private readonly _connections: () => number = () => Infinity,
  ) {}

  /** Calls at the target. */
  get inFlight(): number {
    return this._running.size;
  }

  /** Calls that wait. */
  get queued(): number {
    return this._queue.length;
  }

  /** Calls that may run at once: no more than there are slots and connections for. */
  get limit(): number {
    return Math.max(1, Math.min(Math.floor(this._slots * kUsedSlotShare * this._coldShare()), this._connections()));
  }

  /** Mean time of a run, in milliseconds; 0 until one ended. */
  get meanMs(): number {
    return this._meanMs;
  }

  /** Takes calls from now on; the target stays slow after its start until `warmFrom`, on the monotonic clock. */
  open(slots: number, warmFrom: number): void {
    this._slots = slots;
    this._warmFrom = warmFrom;
    this._closedReason = undefined;
    this._startWaiting();
  }

  /** Takes no new calls, and refuses those that wait. What runs is left to end. */
  close(reason: GateRefusal = 'not_accepting'): void {
    this._closedReason = reason;
    for (const call of this._queue.splice(0)) {
      this._events.onRefuse(call, reason);
    }
  }

  /** Decides on a call; `started` and `refused` are final, a queued call is reported later. */
  offer(call: T): { kind: 'started' } | { kind: 'queued' } | { kind: 'refused'; reason: GateRefusal } {
    if (this._closedReason) {
      return { kind: 'refused', reason: this._closedReason };
    }
    if (this._queue.length === 0 && this._running.size < this.limit) {
      this._running.add(call.id);
      return { kind: 'started' };
    }
    const now = monotonicMs();
    const position = this._positionFor(call);
    const waitMs = ((position + 1) * this._meanMs) / this.limit;
    if (now + waitMs > call.waitUntil || this._queue.length >= this.limit * kQueuePerSlot) {
      return this._displace(call, position, now);
    }
    this._queue.splice(position, 0, call);
    return { kind: 'queued' };
  }

  /**
   * Lets a call take the place of a less urgent one that waits before it, when it can start in time then: the less urgent is shed first,
   * also where it came first. Calls of targets give way to nobody, as the work above them would be lost.
   */
  private _displace(call: T, position: number, now: number): { kind: 'queued' } | { kind: 'refused'; reason: GateRefusal } {
    const startsAt = now + (position * this._meanMs) / this.limit;
    const victim = startsAt > call.waitUntil ? undefined : this._findLeastUrgent(position, call.rank ?? -1);
    if (!victim) {
      return { kind: 'refused', reason: 'overloaded' };
    }
    this._queue.splice(this._queue.indexOf(victim), 1);
    this._queue.splice(position - 1, 0, call);
    this._events.onRefuse(victim, 'overloaded');
    return { kind: 'queued' };
  }

  /** The call of the largest rank above `rank` among the first `count` that wait. */
  private _findLeastUrgent(count: number, rank: number): T | undefined {
    let least: T | undefined;
    for (const waiting of this._queue.slice(0, count)) {
      if (rank >= 0 && (waiting.rank ?? -1) > (least?.rank ?? rank)) {
        least = waiting;
      }
    }
    return least;
  }

  /** Notes that a started call ended; `ranMs` is its time at the target, undefined when that tells nothing. */
  callEnded(id: number, ranMs?: number): void {
    if (!this._running.delete(id)) {
      return;
    }
    if (ranMs !== undefined) {
      this._meanMs = this._meanMs === 0 ? ranMs : this._meanMs + (ranMs - this._meanMs) * kMeanWeight;
    }
    this._startWaiting();
  }

  /** Takes back a call that waits; false when it has started. */
  withdraw(call: T): boolean {
    const index = this._queue.indexOf(call);
    if (index < 0) {
      return false;
    }
    this._queue.splice(index, 1);
    return true;
  }

  /** Refuses calls whose wait is over; called a few times a second or more. */
  expire(): void {
    const now = monotonicMs();
    while (this._queue[0] && this._queue[0].waitUntil <= now) {
      this._refuseFirst();
    }
  }

  private _refuseFirst(): void {
    const call = this._queue.shift();
    if (call) {
      this._events.onRefuse(call, 'wait_too_long');
    }
  }

  /** Place in the queue, behind all that have to start no later. */
  private _positionFor(call: T): number {
    let low = 0;
    let high = this._queue.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this._queue[middle]?.waitUntil ?? Infinity) <= call.waitUntil) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  private _coldShare(): number {
    const coldMs = this._warmFrom - monotonicMs();
    if (coldMs <= 0) {
      return 1;
    }
    return coldMs > 1_000 ? kColdSlotShares[0] : kColdSlotShares[1];
  }

  private _startWaiting(): void {
    this.expire();
    while (this._running.size < this.limit) {
      const call = this._queue.shift();
      if (!call) {
        return;
      }
      this._running.add(call.id);
      this._events.onStart(call);
    }
  }
}
