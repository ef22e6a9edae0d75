/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Passes on what a target states in its responses. */

import type { TargetEvents } from '../../client/targetClient.js';
import type { TargetLoadTracker } from '../load/targetLoadTracker.js';
import type { ConditionTracker } from './conditionTracker.js';

/** Events for the statements of one incarnation of a target, which count only while `isCurrent` returns true. */
export function statementEvents(
  isCurrent: () => boolean,
  condition: ConditionTracker,
  load: TargetLoadTracker | undefined,
): Pick<TargetEvents, 'onCondition' | 'onNoRateLimit' | 'onLoad'> {
  return {
    onCondition: (call, stated) => {
      if (isCurrent()) {
        condition.record(stated, call.requestId);
      }
    },
    onNoRateLimit: (call, sentAt) => {
      if (isCurrent()) {
        condition.recordNoRateLimit(call.requestId, sentAt);
      }
    },
    onLoad: (call, text) => {
      if (isCurrent()) {
        load?.record(text, call.requestId);
      }
    },
  };
}
