/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** How the end of an exchange is counted. */

import type { ExchangeResult } from '../app/calls/callExchange.js';
import type { RequestOutcome } from '../app/latencyMetric.js';

/** Outcome and reason as metrics count them; what follows a colon in a reason tells of the single case. */
export function outcomeOf(end: ExchangeResult): { outcome: RequestOutcome; reason: string } {
  switch (end.kind) {
    case 'answered':
      return { outcome: end.answer.status < 500 ? 'answered' : 'target_failed', reason: 'none' };
    case 'not_run':
      return { outcome: 'not_run', reason: end.reason };
    case 'lost':
      return { outcome: 'lost', reason: end.reason.split(':')[0] ?? '' };
    case 'timed_out':
      return { outcome: 'timed_out', reason: 'none' };
  }
}
