/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Durations of the runs at the local target, and of their remainders after each call that they make. */

import { isPlausibleMs, LowDuration } from './lowDuration.js';

/** Calls of a run whose remainder is estimated separately. */
const kMaxOrdinal = 16;

interface RouteTimings {
  run: LowDuration;
  /** Remainders by the ordinal of the call, from 1. */
  after: (LowDuration | undefined)[];
}

/** Low estimates of the time that runs need without delays, by route. */
export class RunTimings {
  private readonly _routes = new Map<string, RouteTimings>();

  /** Records the duration of a successful run; false when the value is implausible and therefore ignored. */
  recordRun(route: string, ms: number): boolean {
    if (!isPlausibleMs(ms)) {
      return false;
    }
    this._getOrCreate(route).run.record(ms);
    return true;
  }

  /** Estimated duration of a run in milliseconds; undefined before enough samples. */
  needMs(route: string): number | undefined {
    return this._routes.get(route)?.run.ms;
  }

  /**
   * Records the time that a successful run took after the response to its call `ordinal`, counted from 1; false when a value is implausible
   * and therefore ignored. The remainders after later calls than the sixteenth are not kept.
   */
  recordAfter(route: string, ordinal: number, ms: number): boolean {
    if (!isPlausibleMs(ms) || !isOrdinal(ordinal)) {
      return false;
    }
    if (ordinal <= kMaxOrdinal) {
      const { after } = this._getOrCreate(route);
      const estimate = (after[ordinal] ??= new LowDuration());
      estimate.record(ms);
    }
    return true;
  }

  /**
   * Estimated time in milliseconds that a run still takes after the response to its call `ordinal`. Where the ordinal has no estimate of
   * its own, the nearest smaller one with an estimate applies; undefined without any, and before enough runs of the route.
   */
  afterMs(route: string, ordinal: number): number | undefined {
    const timings = this._routes.get(route);
    if (timings?.run.ms === undefined || !isOrdinal(ordinal)) {
      return undefined;
    }
    for (let known = Math.min(ordinal, kMaxOrdinal); known > 0; known--) {
      const ms = timings.after[known]?.ms;
      if (ms !== undefined) {
        return ms;
      }
    }
    return undefined;
  }

  private _getOrCreate(route: string): RouteTimings {
    let timings = this._routes.get(route);
    if (!timings) {
      timings = { run: new LowDuration(), after: [] };
      this._routes.set(route, timings);
    }
    return timings;
  }
}

function isOrdinal(ordinal: number): boolean {
  return Number.isInteger(ordinal) && ordinal >= 1;
}
