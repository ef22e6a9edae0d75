/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Results of runs on the target of this host. */

import type { CallResult } from '@gentiandrum/core';
import type { ResponseHeaders } from '../http/headerReader.js';
import type { PeerCall } from './callCodec.js';
import type { TargetResponse } from './targetExchange.js';

/** Statuses that mean "not run". Without the target's proof such a response is not forwarded, and the call counts as lost. */
const kNotRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Longest retry delay of a target that is passed on, in milliseconds. */
const kMaxRetryAfterMs = 60_000;

export interface RunResult {
  result: CallResult;
  /** Whether the target itself responded, so that the run's duration counts for its latency. */
  responded: boolean;
}

/** Result of a call with a complete response: accepted only if it was written by the target for this call. */
export function resultOfResponse(call: PeerCall, { status, headers, body, memory }: TargetResponse): RunResult {
  if (!isForRequest(call, headers)) {
    return { result: { kind: 'lost', reason: 'answer of another request' }, responded: false };
  }
  if (headers.repeatsIdentity) {
    return { result: { kind: 'lost', reason: 'repeated request id or seal' }, responded: false };
  }
  if (headers.notRun || status === 421) {
    const reason = status === 421 ? 'wrong_instance' : 'target_refused';
    const retryAfterMs = Math.min(kMaxRetryAfterMs, headers.retryAfterMs ?? 0);
    return { result: { kind: 'not_run', reason, retryAfterMs }, responded: true };
  }
  // A response that ends with its connection cannot be distinguished from a truncated one, for example after a crash of the target.
  if (!headers.framed && call.method !== 'HEAD') {
    return { result: { kind: 'lost', reason: 'answer without a length' }, responded: false };
  }
  if (kNotRunStatuses.has(status)) {
    return { result: { kind: 'lost', reason: `status ${status} without proof` }, responded: true };
  }
  if (status < 300 && !headers.sealed) {
    return { result: { kind: 'lost', reason: 'success without the seal of the target' }, responded: false };
  }
  return { result: { kind: 'answered', answer: { status, headers: headers.forwarded, body, memory } }, responded: true };
}

/** Whether a response has the id of the request, if that has one. */
export function isForRequest(call: PeerCall, { requestId }: ResponseHeaders): boolean {
  return call.requestId === '' || requestId === call.requestId;
}

/** Whether the head of a response was written by the target for this call, rather than for another call or by another target. */
export function isFromTarget(call: PeerCall, status: number, { requestId, repeatsIdentity, sealed, notRun }: ResponseHeaders): boolean {
  return requestId === call.requestId && !repeatsIdentity && status !== 421 && (sealed || notRun);
}

/** Whether a complete response proves that the target states no rate limit. */
export function provesNoRateLimit(call: PeerCall, { status, headers }: TargetResponse): boolean {
  return headers.condition.rate.kind === 'none' && headers.sealed && headers.framed && isFromTarget(call, status, headers);
}

export function lostRun(reason: string): RunResult {
  return { result: { kind: 'lost', reason }, responded: false };
}
