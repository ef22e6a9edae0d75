/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Virtual time for tests: replaces the runtime's clock and schedules events on it. */

import { type Clock, install } from '@sinonjs/fake-timers';

/** A fake clock with an event queue. */
export class VirtualTime {
  private readonly _clock: Clock = install({ now: 0, toFake: ['performance', 'Date'] });

  /** Virtual time in milliseconds, 0 at the start. */
  get now(): number {
    return this._clock.now;
  }

  /** Schedules an event; the delay is rounded up to whole milliseconds. */
  after(ms: number, run: () => void): void {
    this._clock.setTimeout(run, Math.max(0, Math.ceil(ms)));
  }

  /** Runs all events up to a time, and advances the clock to it. */
  runUntil(end: number): void {
    this._clock.tick(end - this._clock.now);
  }

  /** Restores the real clock. */
  restore(): void {
    this._clock.uninstall();
  }
}
