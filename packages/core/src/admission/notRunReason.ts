/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Why a call is known not to have run: one closed list for gates, links and targets. */

import type { GateRefusal } from './slotGate.js';

/** Why a call is known not to have run. */
export type NotRunReason = GateRefusal | 'no_connection' | 'target_refused' | 'wrong_instance' | 'cancelled';

/**
 * Whether a call that has not run for this reason is work that the gate had no room for. The others say nothing of room: the gate was
 * not the one that was meant, has no target behind it, may not repeat, or its target refuses by itself, which fewer arrivals don't mend.
 */
export function isCapacityRefusal(reason: NotRunReason): boolean {
  switch (reason) {
    case 'overloaded':
    case 'wait_too_long':
    case 'no_connection':
      return true;
    case 'not_accepting':
    case 'unreachable':
    case 'repeat_budget':
    case 'target_refused':
    case 'wrong_instance':
    case 'key_not_valid':
    case 'suspected':
    case 'quarantined':
    case 'cancelled':
      return false;
  }
}
