/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** The runtime's clocks. Tests pause and advance both with fake timers. */

/** Milliseconds on the monotonic clock; for durations and deadlines within one process. */
export function monotonicMs(): number {
  return performance.now();
}

/** Milliseconds since the epoch; only for what leaves the process. */
export function wallMs(): number {
  return Date.now();
}
