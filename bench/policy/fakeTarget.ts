/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** A target in virtual time: slots, a queue without bound of its own, work, and one onward call. */

import type { Random } from '@gentiandrum/core';
import type { Scheduled, VirtualTime } from './virtualTime.js';

/** Cancels what was begun. */
export type Cancel = () => void;

/** A call as targets see it. */
export interface TargetCall {
  /** Makes the onward call, if the chain goes on; calls back whether it went well. */
  onward: ((done: (ok: boolean) => void) => Cancel) | undefined;
  /** Called when the work starts. */
  started: () => void;
  /** Called once with the end, unless the call was cancelled. */
  done: (end: 'ok' | 'failed' | 'dead') => void;
}

interface Work {
  call: TargetCall;
  phase: 'queued' | 'running' | 'ended';
  timer: Scheduled | undefined;
  cancelOnward: Cancel | undefined;
}

const kColdMs = 5_000;
const kColdFactor = 3;

/** A target. */
export class FakeTarget {
  dead = false;
  slowFactor = 1;
  failureRate = 0;
  /** What its load report says instead of the truth. */
  lie: ((truth: number) => number) | undefined;
  private _running = 0;
  private readonly _queue: Work[] = [];
  private readonly _open = new Set<Work>();
  private _bornAt = -Infinity;

  constructor(
    private readonly _time: VirtualTime,
    private readonly _random: Random,
    private readonly _slots: number,
    private readonly _workMs: number,
  ) {}

  /** Load that the target reports, in calls per slot. */
  get reported(): number {
    const truth = (this._running + this._queue.length) / this._slots;
    return this.lie ? this.lie(truth) : truth;
  }

  /** Dies: everything that it has is lost. */
  die(): void {
    this.dead = true;
    for (const work of [...this._open]) {
      this._end(work);
      work.call.done('dead');
    }
  }

  /** Is replaced by a cold one. */
  restart(): void {
    this.dead = false;
    this._bornAt = this._time.now;
  }

  /** Takes a call. It accepts cancellation: the slot is free at once. */
  serve(call: TargetCall): Cancel {
    const work: Work = { call, phase: 'queued', timer: undefined, cancelOnward: undefined };
    this._open.add(work);
    if (this._running < this._slots) {
      this._start(work);
    } else {
      this._queue.push(work);
    }
    return () => {
      this._end(work);
    };
  }

  private _start(work: Work): void {
    this._running++;
    work.phase = 'running';
    work.call.started();
    const cold = this._time.now - this._bornAt < kColdMs ? kColdFactor : 1;
    const spread = 0.5 + this._random();
    work.timer = this._time.after(this._workMs * spread * cold * this.slowFactor, () => {
      this._goOnward(work);
    });
  }

  private _goOnward(work: Work): void {
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

  private _finish(work: Work, end: 'ok' | 'failed'): void {
    if (work.phase !== 'running') {
      return;
    }
    work.cancelOnward = undefined;
    this._end(work);
    work.call.done(end);
  }

  private _end(work: Work): void {
    const ran = work.phase === 'running';
    if (work.phase === 'ended') {
      return;
    }
    work.phase = 'ended';
    this._open.delete(work);
    if (work.timer) {
      this._time.cancel(work.timer);
    }
    work.cancelOnward?.();
    if (ran) {
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
