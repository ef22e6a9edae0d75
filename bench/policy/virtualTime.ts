/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Discrete-event scheduler on a fake clock, which the core reads through `performance` and `Date`. */

import { type Clock, install } from '@sinonjs/fake-timers';

/** A scheduled event; `run` is undefined once it is cancelled. Events at the same time run in the order of `sequence`. */
export interface Scheduled {
  at: number;
  sequence: number;
  run: (() => void) | undefined;
}

/** Runs scheduled events in order of time, and advances the fake clock. */
export class VirtualTime {
  private readonly _heap: Scheduled[] = [];
  private readonly _clock: Clock;
  private _nextSequence = 0;
  private _now = 0;

  constructor() {
    this._clock = install({ now: 0, toFake: ['performance', 'Date'] });
  }

  /** Virtual milliseconds since the start. */
  get now(): number {
    return this._now;
  }

  /** Schedules an event after a delay; a negative delay counts as 0. */
  schedule(ms: number, run: () => void): Scheduled {
    const event: Scheduled = { at: this._now + Math.max(0, ms), sequence: this._nextSequence++, run };
    this._heap.push(event);
    this._siftUp(this._heap.length - 1);
    return event;
  }

  cancel(event: Scheduled): void {
    event.run = undefined;
  }

  /** Runs all events up to and including a time, and advances the clock to it. */
  runUntil(end: number): void {
    for (let event = this._heap[0]; event && event.at <= end; event = this._heap[0]) {
      this._removeFirst();
      if (event.run) {
        this._advance(event.at);
        event.run();
      }
    }
    this._advance(end);
  }

  /** Restores the real clock. */
  restore(): void {
    this._clock.uninstall();
  }

  private _advance(to: number): void {
    if (to > this._now) {
      // The fake clock rounds each tick to nanoseconds; ticking relative to its own reading keeps rounding errors from accumulating.
      this._clock.tick(Math.max(0, to - performance.now()));
      this._now = to;
    }
  }

  private _removeFirst(): void {
    const last = this._heap.pop();
    if (last && this._heap.length > 0) {
      this._heap[0] = last;
      this._siftDown(0);
    }
  }

  private _siftUp(start: number): void {
    for (let i = start; i > 0;) {
      const parent = (i - 1) >> 1;
      if (this._isBefore(parent, i)) {
        return;
      }
      this._swap(i, parent);
      i = parent;
    }
  }

  private _siftDown(start: number): void {
    for (let i = start; ;) {
      const left = 2 * i + 1;
      if (left >= this._heap.length) {
        return;
      }
      const child = left + 1 < this._heap.length && this._isBefore(left + 1, left) ? left + 1 : left;
      if (this._isBefore(i, child)) {
        return;
      }
      this._swap(i, child);
      i = child;
    }
  }

  private _isBefore(i: number, j: number): boolean {
    const a = this._heap[i];
    const b = this._heap[j];
    return a !== undefined && b !== undefined && (a.at < b.at || (a.at === b.at && a.sequence < b.sequence));
  }

  private _swap(i: number, j: number): void {
    const [a, b] = [this._heap[i], this._heap[j]];
    if (a && b) {
      this._heap[i] = b;
      this._heap[j] = a;
    }
  }
}
