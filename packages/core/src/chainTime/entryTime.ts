/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Durations of the requests that enter at this host, to reject those that cannot end in time. */

import { isPlausibleMs, LowDuration } from './lowDuration.js';

/** Low estimates of the time from entry to response without delays, by route. */
export class EntryTime {
  private readonly _routes = new Map<string, LowDuration>();

  /** Records the duration of a successful request; false when the value is implausible and therefore ignored. */
  record(route: string, ms: number): boolean {
    if (!isPlausibleMs(ms)) {
      return false;
    }
    let duration = this._routes.get(route);
    if (!duration) {
      duration = new LowDuration();
      this._routes.set(route, duration);
    }
    duration.record(ms);
    return true;
  }

  /** Estimated duration of a request in milliseconds; undefined before enough samples. */
  needMs(route: string): number | undefined {
    return this._routes.get(route)?.ms;
  }

  /** Whether a request with this time left can end in time; true while the duration of its route is unknown. */
  canEndInTime(route: string, remainingMs: number): boolean {
    return remainingMs >= (this.needMs(route) ?? -Infinity);
  }
}
