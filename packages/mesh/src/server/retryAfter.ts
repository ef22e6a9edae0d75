/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Retry-After header of refusals. */

/** Largest random increase of Retry-After, as a factor; spreads the retries of callers. */
const kRetrySpread = 1.0;

/** Time after which a caller may retry. */
export interface RetryAfter {
  ms: number;
  /** Whether the time must not be spread, because a place is kept for the return at this time. */
  exact?: boolean | undefined;
}

/** Returns the value of the header: seconds, with fractions. */
export function retryAfterValue({ ms, exact }: RetryAfter): string {
  return ((exact === true ? ms : ms * (1 + Math.random() * kRetrySpread)) / 1_000).toFixed(3);
}
