/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Procedures for the start and the graceful shutdown of a daemon. */

import type { ConfigFold } from '../config/configFold.js';
import { monotonicMs } from '../util/clock.js';
import { perform, type Procedure } from './effects.js';

const kInitialBackoffMs = 100;
const kMaxBackoffMs = 2_000;

/** Source and version of the configuration of a starting daemon. */
export interface ColdStartResult {
  source: 'log' | 'peers' | 'nowhere';
  version: number;
}

/**
 * Loads configuration and members from the log, or from other daemons while the log is unavailable. Gives up after `attempts` rounds;
 * the daemon then serves nothing until it receives a configuration.
 */
export function* coldStart(fold: ConfigFold, attempts: number): Procedure<ColdStartResult> {
  let backoffMs = kInitialBackoffMs;
  for (let i = 0; i < attempts; i++) {
    const snapshots = yield* perform('readSnapshots', {});
    const read = snapshots.kind === 'read' ? yield* perform('readConfig', {}) : snapshots;
    const announced = yield* perform('appendMember', { goodbye: false });
    const peers = yield* perform('queryPeers', {});
    if (read.kind === 'read' && announced.kind === 'appended') {
      return { source: 'log', version: fold.version };
    }
    if (read.kind === 'read' || peers.answered > 0) {
      return { source: read.kind === 'read' ? 'log' : 'peers', version: fold.version };
    }
    yield* perform('sleep', { ms: backoffMs });
    backoffMs = Math.min(kMaxBackoffMs, backoffMs * 2);
  }
  return { source: 'nowhere', version: fold.version };
}

/** Operations and limits of a graceful shutdown. */
export interface StopContext {
  /** Sets the target state `leaving` in the local daemon's record and refuses new root requests. */
  announceLeaving: () => void;
  /** Closes the gate and refuses queued calls. */
  closeGate: () => void;
  /** Sets the state `left` in the local daemon's record, with the proof about accepted offers. */
  announceLeft: () => void;
  /** Time limit for calls in flight, in milliseconds; 0 means no limit. */
  limitMs: number;
}

/** Time for the target state `leaving` to reach the senders, in milliseconds. */
const kPropagationMs = 300;
const kIdlePollMs = 1_000;
/** Maximum wait for senders to report that they have no open offers, in milliseconds. */
const kMaxSenderWaitMs = 2_000;

/**
 * Stops without interrupting calls: announces that the daemon is leaving, refuses queued calls, waits within limits until no call is in
 * flight and no sender has open offers, then announces that the daemon has left. `cut` is the number of calls still in flight at the limit.
 */
export function* gracefulShutdown(ctx: StopContext): Procedure<{ cut: number }> {
  const startedAt = monotonicMs();
  ctx.announceLeaving();
  ctx.closeGate();
  yield* perform('notifyPeers', {});
  yield* perform('sleep', { ms: kPropagationMs });
  let idle = yield* perform('awaitIdle', { until: monotonicMs() + kIdlePollMs });
  while (idle.inFlight > 0 && !limitPassed(startedAt, ctx.limitMs)) {
    yield* perform('notifyPeers', {});
    idle = yield* perform('awaitIdle', { until: monotonicMs() + kIdlePollMs });
  }
  const latest = ctx.limitMs > 0 ? startedAt + ctx.limitMs : Infinity;
  yield* perform('awaitSenders', { until: Math.min(latest, monotonicMs() + kMaxSenderWaitMs) });
  ctx.announceLeft();
  yield* perform('notifyPeers', {});
  yield* perform('appendMember', { goodbye: true });
  return { cut: idle.inFlight };
}

function limitPassed(startedAt: number, limitMs: number): boolean {
  return limitMs > 0 && monotonicMs() - startedAt >= limitMs;
}
