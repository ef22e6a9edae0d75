/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Distinguishes a crash of a target from the loss of one connection, by further connections to it. An exiting process may close its
 * connections some time before its listening socket, and the kernel accepts connections in between. So a connection shows that the target
 * is alive only if it stays open for a while.
 */

import { monotonicMs } from '../util/clock.js';

/** Time for which a connection has to stay open, in milliseconds. */
const kStableMs = 50;
/** Time within which a check is repeated after its connection was closed, and the pause before it, in milliseconds. */
const kRepeatWithinMs = 500;
const kRepeatPauseMs = 5;

/** What the check asks of its driver. */
export type LivenessEffect =
  /** Open a connection; resumed with `open`, `refused`, `closed` if it was reset at once, or `failed` if it could not be established. */
  | { kind: 'connect' }
  /** Keep the connection open for a time; resumed with `open` after it, or with `closed` when the target closes the connection before. */
  | { kind: 'hold'; ms: number }
  /** Wait; resumed with `open` after that time. */
  | { kind: 'pause'; ms: number };

export type LivenessObservation = 'open' | 'closed' | 'refused' | 'failed';

/**
 * Result of a check: `refused` after a crash, `connected` if a connection stayed open, `unknown` if none could be established or none
 * stayed open.
 */
export type Liveness = 'connected' | 'refused' | 'unknown';

/** Checks whether a target is alive. The driver closes or reuses the connection that is open at the end. */
export function* checkLiveness(): Generator<LivenessEffect, Liveness, LivenessObservation> {
  const repeatUntil = monotonicMs() + kRepeatWithinMs;
  for (;;) {
    const connected = yield { kind: 'connect' };
    if (connected === 'refused') {
      return 'refused';
    }
    if (connected === 'failed') {
      return 'unknown';
    }
    if (connected === 'open' && (yield { kind: 'hold', ms: kStableMs }) === 'open') {
      return 'connected';
    }
    if (monotonicMs() >= repeatUntil) {
      return 'unknown';
    }
    yield { kind: 'pause', ms: kRepeatPauseMs };
  }
}
