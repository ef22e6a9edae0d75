/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Notices that the host was suspended. The steady clock does not count that time and the time of day does, so the latter runs ahead all at
 * once. A time of day that was set forward looks the same, which costs what relies on elapsed time a renewal, and is safe; the boot clock
 * would tell the two apart, but the runtime reads it from a file, in steps of 10 ms and some 5 us each. A suspension that a time of day set
 * back by as much hides is not seen.
 */

import { monotonicMs, wallMs } from './clock.js';

/** Lead of the time of day from which on it is a suspension, in milliseconds: above what clocks are slewed between two looks. */
const kMinSuspensionMs = 50;

/** Compares the two clocks; cheap enough for each request. */
export class SuspensionDetector {
  private _wallLeadMs = wallMs() - monotonicMs();
  private _count = 0;
  private _lastDurationMs = 0;

  /** Suspensions so far, one that ended just now included. */
  get count(): number {
    const wallLeadMs = wallMs() - monotonicMs();
    const gapMs = wallLeadMs - this._wallLeadMs;
    this._wallLeadMs = wallLeadMs;
    if (gapMs > kMinSuspensionMs) {
      this._count++;
      this._lastDurationMs = gapMs;
    }
    return this._count;
  }

  /** Length of the latest, in milliseconds. */
  get lastDurationMs(): number {
    return this._lastDurationMs;
  }
}
