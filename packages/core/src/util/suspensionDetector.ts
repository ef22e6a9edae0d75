/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Detects that the host was suspended, by a sudden lead of the wall clock over the monotonic clock, which stops during a suspension. A wall
 * clock that is set forward is reported as a suspension too, which is safe; one that is set back can hide a suspension.
 */

import { monotonicMs, wallMs } from './clock.js';

/** Minimum increase of the lead that counts as a suspension, in milliseconds; exceeds the clock slew between two checks. */
const kMinSuspensionMs = 50;

/** Compares the two clocks whenever {@link count} is read. */
export class SuspensionDetector {
  private _wallLeadMs = wallMs() - monotonicMs();
  private _count = 0;
  private _lastDurationMs = 0;

  /** Number of suspensions, including one since the previous read. */
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

  /** Duration of the latest detected suspension, in milliseconds. */
  get lastDurationMs(): number {
    return this._lastDurationMs;
  }
}
