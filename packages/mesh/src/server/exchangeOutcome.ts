/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Maps the result of an exchange to the outcome and reason in metrics. */

import type { ExchangeResult } from '../app/calls/callExchange.js';
import type { RequestOutcome } from '../app/latencyMetric.js';

/** Returns the outcome and the reason; cuts the detail after a colon from the reason, which bounds the number of label values. */
export function outcomeOf(result: ExchangeResult): { outcome: RequestOutcome; reason: string } {
  switch (result.kind) {
    case 'answered':
      return { outcome: result.answer.status < 500 ? 'answered' : 'target_failed', reason: 'none' };
    case 'not_run':
      return { outcome: 'not_run', reason: result.reason };
    case 'lost':
      return { outcome: 'lost', reason: result.reason.split(':')[0] ?? '' };
    case 'timed_out':
      return { outcome: 'timed_out', reason: 'none' };
  }
}
