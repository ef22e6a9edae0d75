/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Tracks the load that this host's target states in its responses. A statement belongs to one incarnation of the target. */

import { monotonicMs, StatedLoad } from '@gentiandrum/core';
import { parseStatedLoad } from '../../http/statedLoad.js';
import type { EventLog } from '../eventLog.js';

/** Longest part of an invalid value that is logged, in characters. */
const kMaxLoggedValue = 100;

const kMsPerSecond = 1_000;

/** Load of the target, for metrics. */
export interface TargetLoadState {
  /** Smoothed slowness in percent; undefined when the target does not state it. */
  slowness: number | undefined;
  /** Age of the latest statement of a slowness, in seconds; undefined when the target does not state it. */
  slownessAgeSeconds: number | undefined;
  /** Number of statements since the start of the daemon, and how many of them were invalid. */
  statements: number;
  invalid: number;
}

/** Load that the target on this host states. */
export class TargetLoadTracker {
  private readonly _stated = new StatedLoad();
  private _statements = 0;
  private _invalid = 0;
  private _logged = false;

  /** @param _instance returns the current instance of the target */
  constructor(
    private readonly _instance: () => string,
    private readonly _events: EventLog,
  ) {}

  /** Smoothed slowness in percent; undefined when the target does not state it. */
  get slowness(): number | undefined {
    return this._stated.slownessAt(monotonicMs());
  }

  /** Slowness in reports to ingresses, a whole number; undefined when the target does not state it. */
  get reportedSlowness(): number | undefined {
    const { slowness } = this;
    return slowness === undefined ? undefined : Math.round(slowness);
  }

  /** State for metrics. */
  get state(): TargetLoadState {
    const ageMs = this._stated.slownessAgeMs(monotonicMs());
    return {
      slowness: this.slowness,
      slownessAgeSeconds: Number.isFinite(ageMs) ? ageMs / kMsPerSecond : undefined,
      statements: this._statements,
      invalid: this._invalid,
    };
  }

  /** Forgets the statements, because another incarnation of the target has started. */
  reset(): void {
    this._stated.reset();
    this._logged = false;
  }

  /** Records the header value in a response to a request that was sent to the current incarnation. */
  record(text: string, requestId: string): void {
    this._statements++;
    const statement = parseStatedLoad(text);
    switch (statement.kind) {
      case 'valid':
        this._stated.record(statement.load, monotonicMs());
        return;
      case 'invalid':
        this._invalid++;
        this._logInvalid(text, requestId);
    }
  }

  /** Logs the first invalid value of an incarnation. */
  private _logInvalid(text: string, requestId: string): void {
    if (!this._logged) {
      this._logged = true;
      this._events.warn('target', 'Ignored a load in a response of the target: expected three or four whole numbers up to 1000000.', {
        instance: this._instance(),
        value: text.slice(0, kMaxLoggedValue),
        req: requestId,
      });
    }
  }
}
