/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Reasons for which a call did not run, shared by gates, links and targets. */

import type { GateRefusal } from './gatedCall.js';

/** Why a call certainly did not run; `no_memory` if a daemon had no memory for its body. */
export type NotRunReason = GateRefusal | 'no_connection' | 'target_refused' | 'wrong_instance' | 'cancelled' | 'no_memory';

/**
 * Whether the reason is a lack of capacity at the gate, which fewer arrivals would relieve. The others say nothing about capacity: another
 * gate was meant, it has no target, it may not repeat, its chain lost its time elsewhere, or its target refuses by itself.
 */
export function isCapacityRefusal(reason: NotRunReason): boolean {
  switch (reason) {
    case 'overloaded':
    case 'wait_too_long':
    case 'no_connection':
    case 'rate_limited':
      return true;
    case 'not_accepting':
    case 'unreachable':
    case 'repeat_budget':
    case 'target_refused':
    case 'too_late':
    case 'wrong_instance':
    case 'key_not_valid':
    case 'suspected':
    case 'quarantined':
    case 'cancelled':
    case 'no_memory':
      return false;
  }
}
