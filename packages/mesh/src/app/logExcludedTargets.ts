/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import type { Placement, TargetDirectory } from '@gentiandrum/core';
import type { EventLog } from './eventLog.js';

/** Maximum number of targets listed in the log line. */
const kMaxLoggedTargets = 5;

/** Logs the ready targets that receive no calls from this daemon, with their routing statistics. */
export function logExcludedTargets(directory: TargetDirectory, placement: Placement, events: EventLog): void {
  const ready = [...directory.values()].filter(({ state }) => state === 'ready');
  const targets = placement.unchosenTargets(ready);
  if (targets.length > 0) {
    events.info('calls', 'Ready targets receive no calls from this daemon.', {
      count: targets.length,
      targets: targets.slice(0, kMaxLoggedTargets),
    });
  }
}
