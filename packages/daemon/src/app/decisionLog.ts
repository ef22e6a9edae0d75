/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Logs routing and admission decisions, and stores those of the latest requests for `gentiandrum explain`. */

import { type OverloadDetail, wallMs } from '@gentiandrum/core';
import type { Logger } from './logger.js';
import type { Metrics } from './metrics.js';

const kMaxRequests = 2_000;
const kMaxDecisionsPerRequest = 64;

/** One decision, as it is logged and returned by `gentiandrum explain`. */
export interface LoggedDecision {
  request: string;
  step: string;
  cls: string;
  reason: string;
  target?: string;
  attempt?: string;
  weighed?: { target: string; score: number }[];
  overload?: OverloadDetail;
  at?: number;
}

/** The decisions of the latest requests. */
export class DecisionLog {
  private readonly _requests = new Map<string, LoggedDecision[]>();

  constructor(
    private readonly _logger: Logger,
    private readonly _metrics: Metrics,
  ) {}

  /** Logs, counts and stores a decision. */
  add(decision: LoggedDecision): void {
    const { step, reason, target, cls } = decision;
    const part = step === 'gate' ? 'gate' : 'route';
    if (step === 'end') {
      this._logger.debug(part, textOf(decision), { ...decision });
    } else {
      this._logger.info(part, textOf(decision), { ...decision });
    }
    this._metrics.count('decision', { step, reason, class: cls, target: target ?? 'none' });
    this._store({ ...decision, at: wallMs() });
  }

  /** The stored decisions of a request; empty for an unknown request. */
  forRequest(request: string): LoggedDecision[] {
    return this._requests.get(request) ?? [];
  }

  private _store(decision: LoggedDecision): void {
    const known = this._requests.get(decision.request);
    if (known) {
      if (known.length < kMaxDecisionsPerRequest) {
        known.push(decision);
      }
      return;
    }
    this._requests.set(decision.request, [decision]);
    const oldest = this._requests.keys().next();
    if (this._requests.size > kMaxRequests && !oldest.done) {
      this._requests.delete(oldest.value);
    }
  }
}

function textOf({ step, target, reason, overload }: LoggedDecision): string {
  switch (step) {
    case 'route':
    case 'retry':
    case 'compete':
      return `${step} to ${target ?? 'nowhere'} (${reason})`;
    default:
      return overload ? `${step}: ${reason} (rank ${overload.rank}, level ${overload.level} of ${overload.service})` : `${step}: ${reason}`;
  }
}
