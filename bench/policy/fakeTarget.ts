/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Simulates a target in virtual time, with slots and an unbounded queue. A call works for a time and makes at most one downstream call. */

import type { Random } from '@gentiandrum/core';
import type { Scheduled, VirtualTime } from './virtualTime.js';

/** Cancels the operation that returned it. */
export type Cancel = () => void;

/** A call that a target serves. */
export interface TargetCall {
  /** Makes the downstream call and reports whether it succeeded; undefined at the end of the chain. */
  onward: ((done: (ok: boolean) => void) => Cancel) | undefined;
  /** Called when the call gets a slot. */
  onStarted: () => void;
  /** Called once with the result, unless the call is cancelled. */
  onDone: (result: 'ok' | 'failed' | 'dead') => void;
}

interface ActiveCall {
  call: TargetCall;
  phase: 'queued' | 'running' | 'ended';
  timer: Scheduled | undefined;
  cancelOnward: Cancel | undefined;
}

const kWarmupMs = 5_000;
const kColdSlowdown = 3;

/** A simulated target. */
export class FakeTarget {
  crashed = false;
  slowFactor = 1;
  failureRate = 0;
  /** Computes a false load to report from the actual load; undefined when the target reports the actual load. */
  reportedLoadOverride: ((actualLoad: number) => number) | undefined;
  private _running = 0;
  private readonly _queue: ActiveCall[] = [];
  private readonly _active = new Set<ActiveCall>();
  private _restartedAt = -Infinity;

  constructor(
    private readonly _time: VirtualTime,
    private readonly _random: Random,
    private readonly _slots: number,
    private readonly _workMs: number,
  ) {}

  /** Reported load, in running and queued calls per slot. */
  get reportedLoad(): number {
    const actualLoad = (this._running + this._queue.length) / this._slots;
    return this.reportedLoadOverride ? this.reportedLoadOverride(actualLoad) : actualLoad;
  }

  /** Crashes; all running and queued calls are lost. */
  crash(): void {
    this.crashed = true;
    for (const work of [...this._active]) {
      this._remove(work);
      work.call.onDone('dead');
    }
  }

  /** Restarts cold: calls take longer until the warm-up has passed. */
  restart(): void {
    this.crashed = false;
    this._restartedAt = this._time.now;
  }

  /** Serves or queues a call. Cancelling the call releases its slot at once. */
  serve(call: TargetCall): Cancel {
    const work: ActiveCall = { call, phase: 'queued', timer: undefined, cancelOnward: undefined };
    this._active.add(work);
    if (this._running < this._slots) {
      this._start(work);
    } else {
      this._queue.push(work);
    }
    return () => {
      this._remove(work);
    };
  }

  private _start(work: ActiveCall): void {
    this._running++;
    work.phase = 'running';
    work.call.onStarted();
    const coldSlowdown = this._time.now - this._restartedAt < kWarmupMs ? kColdSlowdown : 1;
    const spread = 0.5 + this._random();
    work.timer = this._time.schedule(this._workMs * spread * coldSlowdown * this.slowFactor, () => {
      this._callOnward(work);
    });
  }

  private _callOnward(work: ActiveCall): void {
    if (this._random() < this.failureRate) {
      this._finish(work, 'failed');
    } else if (work.call.onward) {
      work.cancelOnward = work.call.onward((ok) => {
        this._finish(work, ok ? 'ok' : 'failed');
      });
    } else {
      this._finish(work, 'ok');
    }
  }

  private _finish(work: ActiveCall, result: 'ok' | 'failed'): void {
    if (work.phase !== 'running') {
      return;
    }
    work.cancelOnward = undefined;
    this._remove(work);
    work.call.onDone(result);
  }

  private _remove(work: ActiveCall): void {
    const wasRunning = work.phase === 'running';
    if (work.phase === 'ended') {
      return;
    }
    work.phase = 'ended';
    this._active.delete(work);
    if (work.timer) {
      this._time.cancel(work.timer);
    }
    work.cancelOnward?.();
    if (wasRunning) {
      this._running--;
      this._startNext();
    }
  }

  private _startNext(): void {
    while (this._running < this._slots) {
      const next = this._queue.shift();
      if (!next) {
        return;
      }
      if (next.phase === 'queued') {
        this._start(next);
      }
    }
  }
}
