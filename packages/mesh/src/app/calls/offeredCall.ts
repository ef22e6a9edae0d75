/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** A call that a daemon offers to the target on this host. */

import type { CallResult, GatedCall, GateReport, SuspectCall, TrackedRun } from '@gentiandrum/core';
import type { PeerCall } from '../../client/callCodec.js';
import type { Run } from '../../client/targetClient.js';
import { identityOf } from './requestIdentity.js';

/** Called once, with the result of an offered call. */
export type OfferDone = (result: CallResult, report: GateReport) => void;

/** An offered call that has not completed. */
export interface OfferHandle {
  /** Withdraws the call if it has not started; aborts it if it is running and idempotent. */
  cancel(): void;
}

/** A call at the gate, from its offer to its result. */
export interface OfferedCall extends GatedCall, SuspectCall {
  readonly call: PeerCall;
  /** Time until which the key of the workspace may be trusted, on the monotonic clock. */
  validUntil: number;
  /** Longest time in the queue, in milliseconds. */
  waitMs: number;
  run: Run | undefined;
  /** Its run as the parent of calls of the target; undefined before it starts. */
  parent: TrackedRun | undefined;
  startedAt: number;
  /** Whether a token of the repeat budget was spent on it. */
  repeatSpent: boolean;
  done: OfferDone;
}

/** Creates the state of a call that is offered at `now`, on the monotonic clock. */
export function createOfferedCall(id: number, call: PeerCall, now: number, done: OfferDone): OfferedCall {
  return {
    id,
    waitUntil: now + Math.min(call.waitMs, call.remainingMs),
    chainUntil: undefined,
    rank: call.rank,
    inner: call.inner,
    call,
    identity: () => identityOf(call),
    route: call.route,
    suspicion: call.suspicion,
    expiresAt: now + call.remainingMs,
    validUntil: now + (call.workspace?.validMs ?? Infinity),
    waitMs: call.waitMs,
    run: undefined,
    parent: undefined,
    startedAt: 0,
    repeatSpent: false,
    done,
  };
}
