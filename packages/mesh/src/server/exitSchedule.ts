/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Which requests are expected to end before the process exits. */

import { DurationBounds, monotonicMs } from '@gentiandrum/core';
import type { Route } from '@gentiandrum/protocol';
import type { EventFields } from '../app/eventLog.js';

export class ExitSchedule {
  /** Time of the exit, on the monotonic clock; infinite unless a shutdown is about to end. */
  at = Infinity;
  private readonly _durations = new DurationBounds();

  /** Time until the exit, in milliseconds. */
  get remainingMs(): number {
    return Math.max(0, this.at - monotonicMs());
  }

  /** Records the duration of an answered request, in milliseconds. */
  recordDuration({ name }: Route, ms: number): void {
    this._durations.record(name, ms);
  }

  /** Whether a request with this time until its deadline is bound, or expected, to end in time. */
  allows({ name, timeoutMs }: Route, deadlineMs: number): boolean {
    return Math.min(timeoutMs, deadlineMs, this._durations.boundMs(name)) <= this.remainingMs;
  }

  /** Log fields of a refusal. */
  fields({ name }: Route): EventFields {
    return { route: name, remainingRunMs: Math.round(this.remainingMs), expectedMs: Math.round(this._durations.boundMs(name)) };
  }
}
