/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Start and planned stop of a daemon. */

import type { ConfigFold } from '../config/configFold.js';
import { monotonicMs } from '../util/clock.js';
import { perform, type Procedure } from './effects.js';

const kInitialBackoffMs = 100;
const kMaxBackoffMs = 2_000;

/** Where a starting daemon got its configuration from. */
export interface ColdStartResult {
  source: 'log' | 'peers' | 'nowhere';
  version: number;
}

/**
 * Learns configuration and members: from the log, or from other daemons while the log is down. Gives up after
 * `attempts` rounds; the daemon then serves nothing until it hears of a configuration, and goes on asking.
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

/** What a planned stop acts on. */
export interface StopContext {
  /** Announces `leaving` in the own record, and refuses new root requests. */
  announceLeaving: () => void;
  /** Closes the gate, handing back what waits. */
  closeGate: () => void;
  /** Marks the own record as gone, with what it proves of the offers that were taken. */
  announceLeft: () => void;
  /** Time for what runs, in milliseconds; 0 waits without limit. */
  limitMs: number;
}

/** Time in which the word of a leave reaches those who still send. */
const kPropagationMs = 300;
const kIdlePollMs = 1_000;
/** Longest wait for senders to say that they have no open offers, in milliseconds: four times what a ping may take. */
const kMaxSenderWaitMs = 2_000;

/**
 * Stops without cutting anything: the word first, then the queue back, then what runs, then the word of the
 * senders that nothing of theirs is on its way, then goodbye.
 */
export function* plannedStop(ctx: StopContext): Procedure<{ cut: number }> {
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
