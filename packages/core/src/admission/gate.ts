/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Gate of one target, which all calls to the target pass. It decides at once whether a call starts, waits or is refused.
 *
 * It does no I/O: `onStart` and `onShed` report the outcome of a waiting call.
 */

import type { ErrorKind } from '../errors/errorKind.js';
import { monotonicMs } from '../util/clock.js';
import { AdaptiveLimit } from './adaptiveLimit.js';
import { AdmissionLevel, type GateState } from './admissionLevel.js';
import { AdmissionQueue, type QueuedCall } from './admissionQueue.js';
import { kOpenLevel } from './rank.js';

/** Maximum queue length, in calls. */
const kMaxQueue = 2_048;
/** Share of a call's slack (remaining time minus the mean duration) that it may spend in the queue. */
const kMaxWaitShare = 0.5;
/**
 * Smallest weight of the latest call in the mean duration. The first calls have equal weights: with the first call as the initial mean, one
 * that was stalled for three seconds would count for a third of its duration after 20 ordinary calls.
 */
const kMinMeanWeight = 0.05;
/** Wait of the least important call above which the queue is a standing queue, in milliseconds. */
const kStandingQueueMs = 20;

/** Decision on an offered call. */
export type GateDecision = { kind: 'started' } | { kind: 'queued' } | { kind: 'refused'; reason: ErrorKind };

/** Result of a started call. */
export type GateResult =
  /** `totalMs` is its duration at the target, and `selfMs` excludes time spent in downstream calls. */
  | { kind: 'completed'; totalMs: number; selfMs: number }
  /** The connection closed before the response was complete. The duration says nothing about the target. */
  | { kind: 'interrupted' }
  | { kind: 'shed_by_target' }
  | { kind: 'not_run' };

/** Callbacks for waiting calls. */
export interface GateEvents<T extends QueuedCall> {
  onStart(call: T): void;
  onShed(call: T, reason: ErrorKind): void;
}

/** Why a gate accepts no calls. */
export type ClosedReason = 'target_leaving' | 'stopping' | 'no_target';

/** Gate of one target. */
export class Gate<T extends QueuedCall> {
  private readonly _queue = new AdmissionQueue<T>();
  private readonly _running = new Map<string, T>();
  private readonly _level: AdmissionLevel;
  private readonly _limit: AdaptiveLimit;
  private _meanMs = 0;
  private _completed = 0;
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

  /** Number of calls that run at the target. */
  get inFlight(): number {
    return this._running.size;
  }

  /** Number of calls that wait for a slot. */
  get queued(): number {
    return this._queue.size;
  }

  /** Number of calls that may run concurrently. */
  get limit(): number {
    return this._limit.current(monotonicMs());
  }

  /** Current admission level; {@link kOpenLevel} while the gate is closed. */
  get level(): number {
    return this._closed ? kOpenLevel : this._level.current(monotonicMs());
  }

  /** Why the gate is closed; undefined while it is open. */
  get closed(): ClosedReason | undefined {
    return this._closed;
  }

  /** Mean duration of a call at the target, in milliseconds; 0 before the first call ends. */
  get meanMs(): number {
    return this._meanMs;
  }

  /** Returns a call that runs at the target. */
  runningCall(id: string): T | undefined {
    return this._running.get(id);
  }

  /** Applies the slots that the target announced. */
  announce(slots: number): void {
    if (this._limit.slots === 0 && slots > 0) {
      this._level.discardWindow(monotonicMs());
    }
    this._limit.announce(slots);
    this._startWaiting();
  }

  /** Stops accepting calls and sheds the waiting ones. Running calls continue. */
  close(reason: ClosedReason): void {
    this._closed = reason;
    for (const call of this._queue.takeAll()) {
      this._events.onShed(call, reason);
    }
  }

  /** Accepts calls again. */
  reopen(): void {
    this._closed = undefined;
  }

  /** Decides on a call. The outcome of a queued call is reported by `onStart` or `onShed`. */
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

  /** Records the result of a started call, and starts waiting calls. */
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

  /** Cancels a waiting call; false when it is not in the queue. */
  cancel(id: string): boolean {
    return this._queue.remove(id);
  }

  private _state(): GateState {
    const limit = this._limit.current(monotonicMs());
    return {
      delayMs: (this._queue.size * this._meanMs) / limit,
      meanMs: this._meanMs,
      limit,
      hasSlots: this._limit.slots > 0,
      usedShare: this._running.size / limit,
    };
  }

  private _recordResult(result: GateResult, inFlight: number, now: number): void {
    switch (result.kind) {
      case 'completed':
        this._limit.recordCompletion(result.selfMs, inFlight, now);
        this._completed++;
        this._meanMs += (result.totalMs - this._meanMs) * Math.max(kMinMeanWeight, 1 / this._completed);
        return;
      case 'shed_by_target':
        this._limit.recordTargetShed(inFlight);
        this._level.recordShed();
        return;
      case 'interrupted':
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
    this._level.recordStart(this._running.size / this._limit.current(now));
  }

  private _shed(call: T, reason: ErrorKind): void {
    this._level.recordShed();
    this._events.onShed(call, reason);
  }
}
