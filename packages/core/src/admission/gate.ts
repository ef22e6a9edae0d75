/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Gate of one target: the only way to it. Decides at once whether a call starts, waits or is refused.
 *
 * Without I/O: `onStart` and `onShed` tell the surroundings what became of a waiting call.
 */

import type { ErrorKind } from '../errors/errorKind.js';
import { monotonicMs } from '../util/clock.js';
import { AdaptiveLimit } from './adaptiveLimit.js';
import { AdmissionLevel, type GateState } from './admissionLevel.js';
import { AdmissionQueue, type QueuedCall } from './admissionQueue.js';
import { kOpenLevel } from './rank.js';

/** Longest queue, in calls. */
const kMaxQueue = 2_048;
/** Share of a call's remaining time that it may spend waiting here. */
const kMaxWaitShare = 0.5;
/** Weight of the newest call in the mean time per call. */
const kMeanWeight = 0.05;
const kStandingQueueMs = 20;
/** Share of the limit below which slots count as free. */
const kFreeBelowShare = 0.9;

/** Fate of an offered call. */
export type GateDecision = { kind: 'started' } | { kind: 'queued' } | { kind: 'refused'; reason: ErrorKind };

/** How a started call ended. `totalMs` is its time at the target, `ownMs` the same without the time of onward calls. */
export type GateResult = { kind: 'completed'; totalMs: number; selfMs: number } | { kind: 'shed_by_target' } | { kind: 'not_run' };

/** What a gate tells its surroundings. */
export interface GateEvents<T extends QueuedCall> {
  onStart(call: T): void;
  onShed(call: T, reason: ErrorKind): void;
}

/** Why a gate takes no new work. */
export type ClosedReason = 'target_leaving' | 'stopping' | 'no_target';

/** Gate of one target. */
export class Gate<T extends QueuedCall> {
  private readonly _queue = new AdmissionQueue<T>();
  private readonly _running = new Map<string, T>();
  private readonly _level: AdmissionLevel;
  private readonly _limit: AdaptiveLimit;
  private _meanMs = 0;
  private _closed: ClosedReason | undefined;

  constructor(
    slots: number,
    favour: () => 'goodput' | 'recovery',
    private readonly _events: GateEvents<T>,
    startedAt: number,
  ) {
    const now = monotonicMs();
    this._level = new AdmissionLevel(favour, () => this._state(), now);
    this._limit = new AdaptiveLimit(slots, startedAt, now);
  }

  /** Calls at the target. */
  get inFlight(): number {
    return this._running.size;
  }

  /** Calls that wait for a slot. */
  get queued(): number {
    return this._queue.size;
  }

  /** Calls that may run at once. */
  get limit(): number {
    return this._limit.current(monotonicMs());
  }

  /** Current admission level. */
  get level(): number {
    return this._closed ? kOpenLevel : this._level.current(monotonicMs());
  }

  /** Why the gate is closed, if it is. */
  get closed(): ClosedReason | undefined {
    return this._closed;
  }

  /** Mean time of a call at the target, in milliseconds; 0 until one ended. */
  get meanMs(): number {
    return this._meanMs;
  }

  /** A call that runs at the target. */
  runningCall(id: string): T | undefined {
    return this._running.get(id);
  }

  /** Takes the target's latest announcement of its slots. */
  announce(slots: number): void {
    this._limit.announce(slots);
    this._startWaiting();
  }

  /** Takes no new work from now on, and hands back what waits. What runs is left to end. */
  close(reason: ClosedReason): void {
    this._closed = reason;
    for (const call of this._queue.takeAll()) {
      this._events.onShed(call, reason);
    }
  }

  /** Takes work again. */
  reopen(): void {
    this._closed = undefined;
  }

  /** Decides on a call. A call that is queued is reported later by `onStart` or `onShed`. */
  offer(call: T): GateDecision {
    if (this._closed) {
      return { kind: 'refused', reason: this._closed };
    }
    const now = monotonicMs();
    if (!this._level.admits(call.rank, call.depth, now)) {
      return { kind: 'refused', reason: 'overloaded' };
    }
    if (call.deadline <= now) {
      return { kind: 'refused', reason: 'deadline_before_start' };
    }
    if (this._queue.size === 0 && this._running.size < this._limit.current(now)) {
      this._start(call, now);
      return { kind: 'started' };
    }
    return this._enqueue(call, now);
  }

  /** Notes that a started call ended, and starts what waits. */
  callEnded(id: string, result: GateResult): void {
    if (!this._running.has(id)) {
      return;
    }
    const now = monotonicMs();
    const inFlight = this._running.size;
    this._running.delete(id);
    this._recordResult(result, inFlight, now);
    this._startWaiting();
  }

  /** Cancels a call; true when it had not started, and never will. */
  cancel(id: string): boolean {
    return this._queue.remove(id);
  }

  private _state(): GateState {
    const limit = this._limit.current(monotonicMs());
    return {
      delayMs: (this._queue.size * this._meanMs) / limit,
      meanMs: this._meanMs,
      limit,
      hasFreeSlots: this._running.size < limit * kFreeBelowShare,
    };
  }

  private _recordResult(result: GateResult, inFlight: number, now: number): void {
    switch (result.kind) {
      case 'completed':
        this._limit.recordCompletion(result.selfMs, inFlight, now);
        this._meanMs = this._meanMs === 0 ? result.totalMs : this._meanMs + (result.totalMs - this._meanMs) * kMeanWeight;
        return;
      case 'shed_by_target':
        this._limit.recordTargetShed(inFlight);
        this._level.recordShed();
        return;
      case 'not_run':
        return;
    }
  }

  private _enqueue(call: T, now: number): GateDecision {
    if (!this._canWait(call, now)) {
      this._level.recordShed();
      return { kind: 'refused', reason: 'overloaded' };
    }
    if (this._queue.size >= kMaxQueue) {
      const last = this._queue.leastImportant();
      if (!last || last.rank <= call.rank) {
        this._level.recordShed();
        return { kind: 'refused', reason: 'overloaded' };
      }
      this._queue.takeLeastImportant();
      this._shed(last, 'overloaded');
    }
    this._queue.add(call, this._isQueueStanding(now));
    return { kind: 'queued' };
  }

  private _canWait(call: T, now: number): boolean {
    const expectedMs = ((this._queue.countAhead(call) + 1) * this._meanMs) / this._limit.current(now);
    const slackMs = call.deadline - now - this._meanMs;
    return expectedMs <= slackMs * kMaxWaitShare;
  }

  private _isQueueStanding(now: number): boolean {
    const last = this._queue.leastImportant();
    return last !== undefined && now - last.queuedAt > kStandingQueueMs;
  }

  private _startWaiting(): void {
    const now = monotonicMs();
    while (this._running.size < this._limit.current(now)) {
      const call = this._queue.takeMostImportant();
      if (!call) {
        return;
      }
      if (call.deadline <= now + this._meanMs / 2) {
        this._shed(call, 'deadline_before_start');
        continue;
      }
      this._start(call, now);
      this._events.onStart(call);
    }
  }

  private _start(call: T, now: number): void {
    this._running.set(call.id, call);
    if (this._running.size < this._limit.current(now) * kFreeBelowShare) {
      this._level.recordFreeSlots();
    }
  }

  private _shed(call: T, reason: ErrorKind): void {
    this._level.recordShed();
    this._events.onShed(call, reason);
  }
}
