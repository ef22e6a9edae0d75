/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Load of the gate on this host: its admission level, its reports to ingresses, and the retry delays of its refusals. */

import {
  type ChainModel,
  GateLevel,
  type GateRefusal,
  type GateReport,
  isCapacityRefusal,
  monotonicMs,
  type NotRunReason,
  type SlotGate,
} from '@gentiandrum/core';
import type { LoadSettings } from '@gentiandrum/protocol';
import type { RoomFollower } from '../load/roomFollower.js';
import type { TargetLoadTracker } from '../load/targetLoadTracker.js';
import type { MeshMetrics, MetricsView } from '../meshMetrics.js';
import type { OfferedCall } from './offeredCall.js';

/** Maximum retry delay sent with a refusal, in milliseconds. */
const kMaxRetryAfterMs = 2_000;

/** Daemon services that the load depends on. */
export interface GateLoadDeps {
  /** Mean charge of the calls on a route that this host sends, in milliseconds. */
  chargeMs(route: string): number;
  /** Parts of the load control that are on. */
  load: LoadSettings;
  chains: ChainModel;
  metrics: Pick<MeshMetrics, 'refused' | 'repeated'>;
  /** Adapts the level to the capacity of the service; undefined when this is off. */
  room?: RoomFollower | undefined;
}

/** Load of one gate. */
export class GateLoad {
  readonly level = new GateLevel();

  constructor(
    private readonly _gate: SlotGate<OfferedCall>,
    private readonly _deps: GateLoadDeps,
    /** Load that the target states; undefined if it is not used. */
    private readonly _targetLoad?: TargetLoadTracker,
  ) {}

  /** Load and admission level, for metrics. */
  get state(): MetricsView['gate'] {
    const { inFlight, queued, limit, meanMs, rateLimiter } = this._gate;
    const rate = { rateLimit: rateLimiter.statedRate, rateTokens: rateLimiter.tokens(monotonicMs()) };
    const measured = { inFlight, queued, limit, meanMs, level: this.level.current };
    return { ...measured, ...rate, targetLoad: this._targetLoad?.state, room: this._deps.room?.state };
  }

  /** Current load and chain report for the callers of a route. */
  report(route: string): GateReport {
    const { inFlight, queued, limit, meanMs, rateLimiter } = this._gate;
    const { chains } = this._deps;
    const { level, inner, height, gates } = chains.report(route, this.level.current);
    const charge = Math.round(chains.sumDownstream(route, (call) => this._deps.chargeMs(call)));
    const rateLoad = rateLimiter.loadAt(monotonicMs());
    const slowness = this._targetLoad?.reportedSlowness;
    return {
      ...{ inFlight, queued, limit, meanMs, level, inner, height, chargeMs: charge, rateLoad },
      ...(this._deps.load.chainTime ? { gates } : {}),
      ...(slowness === undefined ? {} : { slowness }),
    };
  }

  /** Updates the admission level for the elapsed time. */
  step(elapsedMs: number): void {
    const { queueWaitMs, rateLimiter } = this._gate;
    this.level.step(queueWaitMs, elapsedMs, rateLimiter.intervalMs(monotonicMs()));
    this._deps.room?.check(this.level, this._gate.coldMs);
  }

  /** Counts a call that was refused because there is no capacity as excess load. */
  recordRefusal(reason: NotRunReason): void {
    if (!isCapacityRefusal(reason)) {
      return;
    }
    const workMs = this._gate.workMs(this._gate.expectedMs);
    if (reason === 'rate_limited') {
      this.level.recordRateLimited(workMs);
    } else {
      this.level.recordRefusal(workMs);
    }
  }

  /** Returns the result of a refused call, and counts it. */
  refusal(reason: GateRefusal): { kind: 'not_run'; reason: GateRefusal; retryAfterMs: number } {
    this._deps.metrics.refused(reason);
    return { kind: 'not_run', reason, retryAfterMs: this._retryAfterMs(reason) };
  }

  /** Estimated time to complete the queue and the running calls, or until the rate limit has room, in milliseconds. */
  private _retryAfterMs(reason: GateRefusal): number {
    if (reason === 'not_accepting') {
      return 0;
    }
    const { inFlight, queued, limit, expectedMs, rateLimiter } = this._gate;
    if (reason === 'rate_limited') {
      return rateLimiter.retryAfterMs(monotonicMs());
    }
    return Math.min(kMaxRetryAfterMs, ((inFlight + queued) / limit) * expectedMs);
  }
}
