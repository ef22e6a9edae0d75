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
  callDownstream: ((done: (ok: boolean) => void) => Cancel) | undefined;
  /** Called when the call gets a slot. */
  onStarted: () => void;
  /** Called once with the result, unless the call is cancelled. */
  onDone: (result: 'ok' | 'failed' | 'dead') => void;
}

interface ActiveCall {
  call: TargetCall;
  phase: 'queued' | 'running' | 'ended';
  timer: Scheduled | undefined;
  cancelDownstream: Cancel | undefined;
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
    for (const activeCall of [...this._active]) {
      this._remove(activeCall);
      activeCall.call.onDone('dead');
    }
  }

  /** Restarts cold: calls take longer until the warm-up has passed. */
  restart(): void {
    this.crashed = false;
    this._restartedAt = this._time.now;
  }

  /** Serves or queues a call. Cancelling the call releases its slot at once. */
  serve(call: TargetCall): Cancel {
    const activeCall: ActiveCall = { call, phase: 'queued', timer: undefined, cancelDownstream: undefined };
    this._active.add(activeCall);
    if (this._running < this._slots) {
      this._start(activeCall);
    } else {
      this._queue.push(activeCall);
    }
    return () => {
      this._remove(activeCall);
    };
  }

  private _start(activeCall: ActiveCall): void {
    this._running++;
    activeCall.phase = 'running';
    activeCall.call.onStarted();
    const coldSlowdown = this._time.now - this._restartedAt < kWarmupMs ? kColdSlowdown : 1;
    const spread = 0.5 + this._random();
    activeCall.timer = this._time.schedule(this._workMs * spread * coldSlowdown * this.slowFactor, () => {
      this._callDownstream(activeCall);
    });
  }

  private _callDownstream(activeCall: ActiveCall): void {
    if (this._random() < this.failureRate) {
      this._finish(activeCall, 'failed');
    } else if (activeCall.call.callDownstream) {
      activeCall.cancelDownstream = activeCall.call.callDownstream((ok) => {
        this._finish(activeCall, ok ? 'ok' : 'failed');
      });
    } else {
      this._finish(activeCall, 'ok');
    }
  }

  private _finish(activeCall: ActiveCall, result: 'ok' | 'failed'): void {
    if (activeCall.phase !== 'running') {
      return;
    }
    activeCall.cancelDownstream = undefined;
    this._remove(activeCall);
    activeCall.call.onDone(result);
  }

  private _remove(activeCall: ActiveCall): void {
    const wasRunning = activeCall.phase === 'running';
    if (activeCall.phase === 'ended') {
      return;
    }
    activeCall.phase = 'ended';
    this._active.delete(activeCall);
    if (activeCall.timer) {
      this._time.cancel(activeCall.timer);
    }
    activeCall.cancelDownstream?.();
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
