/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Gate of one target with a known number of slots, which all calls to the target pass. It decides at once whether a call
 * starts, waits or is refused, and never runs more calls than the target has slots, or starts more than its rate limit allows.
 *
 * It does no I/O: `onStart` and `onRefuse` report the outcome of a waiting call.
 */

import { RunDurations, type RunStart } from '../targetLoad/runDurations.js';
import { monotonicMs } from '../util/clock.js';
import type { GatedCall, GateRefusal, SlotGateEvents } from './gatedCall.js';
import { TargetRateLimiter } from './targetRateLimiter.js';

/** Maximum queue length, as a multiple of the limit. */
const kQueuePerSlot = 8;
/** Shares of the slots that are used while a cold target has more than {@link kLastColdMs} left to warm up, and after that. */
const kColdSlotShares = [0.5, 0.75] as const;
/** Remaining warm-up time at which a cold target uses more slots, in milliseconds. */
export const kLastColdMs = 1_000;

/** Share of the slots that is used of a target that is warm in `coldMs` milliseconds. */
export function coldSlotShare(coldMs: number): number {
  if (coldMs <= 0) {
    return 1;
  }
  return coldMs > kLastColdMs ? kColdSlotShares[0] : kColdSlotShares[1];
}

/** Place of a call in the order of the queue. */
function orderOf({ waitUntil, chainUntil }: GatedCall): number {
  return chainUntil ?? waitUntil;
}

/** Gate of one target. */
export class SlotGate<T extends GatedCall> {
  /** Enforces the rate limit that the target states. */
  readonly rateLimiter = new TargetRateLimiter();
  /** Waiting calls, sorted by {@link orderOf}. */
  private readonly _queue: T[] = [];
  /** Whether a call has been queued since the queue was last empty whose place in the order is not its latest start. */
  private _hasChainOrder = false;
  private readonly _running = new Map<number, RunStart>();
  private readonly _durations: RunDurations;
  private _slots = 0;
  /** Why the gate refuses all calls; undefined while it is open. */
  private _closedReason: GateRefusal | undefined = 'not_accepting';
  private _warmFrom = 0;

  /**
   * @param _connections returns the number of connections that the target accepts; each running call uses one
   * @param slowness returns how long work takes at the target now, in percent of the usual time; undefined when it does not state it
   */
  constructor(
    private readonly _events: SlotGateEvents<T>,
    private readonly _connections: () => number = () => Infinity,
    slowness: () => number | undefined = () => undefined,
  ) {
    this._durations = new RunDurations(slowness);
  }

  /** Number of calls that run at the target. */
  get inFlight(): number {
    return this._running.size;
  }

  get queued(): number {
    return this._queue.length;
  }

  /** Number of calls that may run concurrently, limited by slots and connections. */
  get limit(): number {
    return Math.max(1, Math.min(Math.floor(this._slots * this._durations.usedSlotShare * this._coldShare()), this._connections()));
  }

  /** Mean duration of a run, in milliseconds; 0 before the first run ends. */
  get meanMs(): number {
    return this._durations.meanMs;
  }

  /** Expected duration of a run that starts now, in milliseconds: the mean duration, corrected by the slowness of the target. */
  get expectedMs(): number {
    return this._durations.expectedMs;
  }

  /** Time until the target is warm, in milliseconds; at most 0 when it is. */
  get coldMs(): number {
    return this._warmFrom - monotonicMs();
  }

  /** Expected wait of a call at the end of the queue, in milliseconds. */
  get queueWaitMs(): number {
    return this._startDelayMs(this._queue.length, monotonicMs());
  }

  /** Work of a run that takes `ms`, in milliseconds of the whole gate. */
  workMs(ms: number): number {
    return Math.max(ms / this.limit, this.rateLimiter.intervalMs(monotonicMs()));
  }

  /** Accepts calls. The target counts as cold until `warmFrom`, on the monotonic clock. */
  open(slots: number, warmFrom: number): void {
    this._slots = slots;
    this._warmFrom = warmFrom;
    this._closedReason = undefined;
    this.startWaiting();
  }

  /** Stops accepting calls and refuses the waiting ones. Running calls continue. */
  close(reason: GateRefusal = 'not_accepting'): void {
    this._closedReason = reason;
    for (const call of this._queue.splice(0)) {
      this._events.onRefuse(call, reason);
    }
  }

  /** Decides on a call. The outcome of a queued call is reported by `onStart` or `onRefuse`. */
  offer(call: T): { kind: 'started' } | { kind: 'queued' } | { kind: 'refused'; reason: GateRefusal } {
    if (this._closedReason) {
      return { kind: 'refused', reason: this._closedReason };
    }
    const now = monotonicMs();
    this.rateLimiter.recordArrival(now);
    if (this._queue.length === 0 && this._running.size < this.limit && this.rateLimiter.tryTake(now)) {
      this._addRunning(call);
      return { kind: 'started' };
    }
    const position = this._positionFor(call);
    const waitMs = this._startDelayMs(position + 1, now);
    if (now + waitMs > call.waitUntil || this._queue.length >= this.limit * kQueuePerSlot) {
      return this._displace(call, position, now);
    }
    this._insert(position, call);
    return { kind: 'queued' };
  }

  /**
   * Queues a call of known rank in place of the least urgent one ahead of it, if that one is less urgent and the call can then start in
   * time. Calls without a rank are never displaced, because the work of their callers, which may be urgent, would be lost, and displace no
   * others.
   */
  private _displace(call: T, position: number, now: number): { kind: 'queued' } | { kind: 'refused'; reason: GateRefusal } {
    const startsAt = now + this._startDelayMs(position, now);
    const victim = startsAt > call.waitUntil ? undefined : this._findLeastUrgent(position, call.rank ?? -1);
    if (!victim) {
      return { kind: 'refused', reason: this._capacityReason(now, 'overloaded') };
    }
    this._queue.splice(this._queue.indexOf(victim), 1);
    this._insert(position - 1, call);
    this._events.onRefuse(victim, this._capacityReason(now, 'overloaded'));
    return { kind: 'queued' };
  }

  /**
   * Finds the call with the largest rank above `rank` among the first `count` waiting calls. Among equal ranks, external requests come
   * first, because no work of a caller is lost with them.
   */
  private _findLeastUrgent(count: number, rank: number): T | undefined {
    let least: T | undefined;
    for (const waiting of this._queue.slice(0, count)) {
      const margin = (waiting.rank ?? -1) - (least?.rank ?? rank);
      if (rank >= 0 && (margin > 0 || (margin === 0 && least?.inner === true && waiting.inner !== true))) {
        least = waiting;
      }
    }
    return least;
  }

  /** Records that a started call ended. `ranMs` is its duration at the target; undefined leaves the mean duration as it is. */
  callEnded(id: number, ranMs?: number): void {
    const start = this._running.get(id);
    if (!start) {
      return;
    }
    if (ranMs !== undefined) {
      this._durations.ended(start, ranMs, this._running.size, this._slots);
    }
    this._running.delete(id);
    this.startWaiting();
  }

  /** Records that a started call was not sent to the target. */
  callNotSent(id: number): void {
    this.rateLimiter.returnToken(monotonicMs());
    this.callEnded(id);
  }

  /** Removes a waiting call; false when it is not in the queue. */
  withdraw(call: T): boolean {
    const index = this._queue.indexOf(call);
    if (index < 0) {
      return false;
    }
    this._queue.splice(index, 1);
    return true;
  }

  /** Refuses calls whose latest start has passed; called at least a few times a second. */
  expire(): void {
    const now = monotonicMs();
    this._hasChainOrder &&= this._queue.length > 0;
    if (this._hasChainOrder) {
      this._expireAnywhere(now);
      return;
    }
    while (this._queue[0] && this._queue[0].waitUntil <= now) {
      const call = this._queue.shift();
      if (call) {
        this._events.onRefuse(call, this._capacityReason(now, 'wait_too_long'));
      }
    }
  }

  /** Refuses the calls whose latest start has passed when the queue is not sorted by it. */
  private _expireAnywhere(now: number): void {
    for (const call of this._queue.filter(({ waitUntil }) => waitUntil <= now)) {
      if (this.withdraw(call)) {
        this._events.onRefuse(call, this._capacityReason(now, 'wait_too_long'));
      }
    }
  }

  private _insert(position: number, call: T): void {
    this._queue.splice(position, 0, call);
    this._hasChainOrder ||= call.chainUntil !== undefined;
  }

  private _addRunning(call: T): void {
    this._running.set(call.id, this._durations.started(this._running.size + 1));
  }

  /** Time until `count` more calls have started, in milliseconds. */
  private _startDelayMs(count: number, now: number): number {
    return Math.max((count * this.expectedMs) / this.limit, this.rateLimiter.msUntil(count, now));
  }

  /** Names the rate limit as the reason of a refusal while the next call waits for it, rather than for a slot. */
  private _capacityReason(now: number, otherwise: GateRefusal): GateRefusal {
    const rateLimited = this._running.size < this.limit && this.rateLimiter.msUntil(this._queue.length + 1, now) > 0;
    return rateLimited ? 'rate_limited' : otherwise;
  }

  /** Position in the queue, after all calls with the same or an earlier place in the order. */
  private _positionFor(call: T): number {
    let low = 0;
    let high = this._queue.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const waiting = this._queue[middle];
      if (waiting && orderOf(waiting) <= orderOf(call)) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  private _coldShare(): number {
    return coldSlotShare(this.coldMs);
  }

  /** Starts the waiting calls that slots and the rate limit allow, and refuses those whose latest start has passed. */
  startWaiting(): void {
    this.expire();
    const now = monotonicMs();
    while (this._queue.length > 0 && this._running.size < this.limit && this.rateLimiter.tryTake(now)) {
      const call = this._queue.shift();
      if (call) {
        this._addRunning(call);
        this._events.onStart(call);
      }
    }
  }
}
