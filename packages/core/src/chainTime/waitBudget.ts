/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Divides the time that a chain does not need for its work among the gates that it still passes. */

import type { ChainNeed } from './chainNeed.js';

/** Time of one call at a gate. */
export interface CallTime {
  /** Time left until the deadline of the call, in milliseconds. */
  remainingMs: number;
  /** Estimated duration of the call's run, in milliseconds; undefined while it is unknown, which counts as 0. */
  runMs: number | undefined;
  /** Gates that the call's run passes, this one included; undefined while they are unknown, which counts as 1. */
  gates: number | undefined;
  /** What the chain above still needs after the call. */
  after: ChainNeed;
}

/** Time that a call may wait at a gate. */
export type WaitBudget =
  /** The chain cannot end in time, even if nothing waits any more. It lacks `shortMs`. */
  | { kind: 'too_late'; shortMs: number }
  /** The call may wait `waitMs` of the `slackMs` that all remaining gates of the chain share. */
  | { kind: 'fits'; waitMs: number; slackMs: number };

/** Returns how long a call may wait at a gate so that its chain can still end in time. */
export function waitBudget({ remainingMs, runMs = 0, gates = 1, after }: CallTime): WaitBudget {
  const slackMs = remainingMs - after.afterMs - runMs;
  if (slackMs < 0) {
    return { kind: 'too_late', shortMs: -slackMs };
  }
  // At least this gate is passed, whatever the figures of other hosts say.
  return { kind: 'fits', waitMs: slackMs / Math.max(1, gates + after.gatesAfter), slackMs };
}
