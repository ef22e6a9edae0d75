/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Calls that pass a gate, and the reasons for which it refuses them. */

/** Why a gate refuses a call. A refused call has not run. */
export type GateRefusal =
  | 'not_accepting'
  | 'unreachable'
  | 'overloaded'
  /** The target states a rate limit, which leaves no room for the call. */
  | 'rate_limited'
  | 'repeat_budget'
  | 'wait_too_long'
  /** The chain of the call cannot end in time any more, even if nothing waits. */
  | 'too_late'
  | 'key_not_valid'
  /** Requests with its fingerprint are suspected of crashing targets, and no probe can run here now. */
  | 'suspected'
  /** Requests with its fingerprint have crashed targets and are quarantined. */
  | 'quarantined';

/** A call offered to a gate. */
export interface GatedCall {
  id: number;
  /** Latest start on the monotonic clock, in milliseconds. Waiting calls start in this order, unless `chainUntil` is set. */
  waitUntil: number;
  /**
   * Latest start at which the chain of the call can still end in time, if nothing else delays it; replaces `waitUntil` in the order of the
   * queue. With the share of one gate as the order, calls near the end of a chain started last, because the unused shares of the earlier gates
   * had been added to theirs, and lost the most work when they failed.
   */
  chainUntil?: number | undefined;
  /** Rank of the root request, 0 for the most urgent; undefined for calls of targets whose root request is unknown. */
  rank?: number | undefined;
  /** Whether it is a call of a target; absent counts as false. */
  inner?: boolean | undefined;
}

/** Callbacks for waiting calls. */
export interface SlotGateEvents<T extends GatedCall> {
  onStart(call: T): void;
  onRefuse(call: T, reason: GateRefusal): void;
}
