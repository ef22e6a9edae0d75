/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Virtual time for tests: the runtime's clock and timers, held and advanced. */

import { type Clock, install } from '@sinonjs/fake-timers';

/** Virtual time, in milliseconds since its start. */
export class VirtualTime {
  private readonly _clock: Clock = install({ now: 0, toFake: ['performance', 'Date'] });

  /** Milliseconds since the start. */
  get now(): number {
    return this._clock.now;
  }

  /** Schedules an event; delays count in whole milliseconds. */
  after(ms: number, run: () => void): void {
    this._clock.setTimeout(run, Math.max(0, Math.ceil(ms)));
  }

  /** Runs all events up to a time. */
  runUntil(end: number): void {
    this._clock.tick(end - this._clock.now);
  }

  /** Gives the runtime its own clock back. */
  restore(): void {
    this._clock.uninstall();
  }
}
