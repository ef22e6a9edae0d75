/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Monotonic and wall clock. Tests replace both with fake timers. */

/** Returns the monotonic time in milliseconds, for durations and deadlines within one process. */
export function monotonicMs(): number {
  return performance.now();
}

/** Returns the wall clock time in milliseconds since the Unix epoch, for times that leave the process. */
export function wallMs(): number {
  return Date.now();
}
