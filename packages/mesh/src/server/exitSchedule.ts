/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Which requests are bound to end before the process exits. */

import { monotonicMs } from '@gentiandrum/core';
import type { Route } from '@gentiandrum/protocol';
import type { EventFields } from '../app/eventLog.js';

/** Time after a deadline within which the response is written, in milliseconds: two intervals between checks of the deadlines. */
const kDeadlineCheckMs = 200;

export class ExitSchedule {
  /** Time of the exit, on the monotonic clock; infinite unless a shutdown is about to end. */
  at = Infinity;

  /**
   * Whether a request with this time until its deadline ends before the exit. Only a time limit guarantees that: a request may take longer
   * than all earlier ones of its route.
   */
  allows({ timeoutMs }: Route, deadlineMs: number): boolean {
    return Math.min(timeoutMs, deadlineMs) + kDeadlineCheckMs <= this.at - monotonicMs();
  }

  /** Log fields of a refusal. */
  fields({ name, timeoutMs }: Route, deadlineMs: number): EventFields {
    return { route: name, remainingRunMs: Math.round(this.at - monotonicMs()), limitMs: Math.round(Math.min(timeoutMs, deadlineMs)) };
  }
}
