/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { setTimeout as pause } from 'node:timers/promises';
import { monotonicMs } from '@gentiandrum/core';

/** Interval between checks of the condition, in milliseconds. */
const kPollMs = 20;

/** Waits until a condition holds: at least until `earliest`, and at most until `latest`, on the monotonic clock. */
export async function waitUntil(earliest: number, latest: number, holds: () => boolean): Promise<void> {
  while (monotonicMs() < latest && (monotonicMs() < earliest || !holds())) {
    await pause(kPollMs);
  }
}
