/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Routes one request to targets until it has a final result: chooses targets, decides on repeats, and determines what the caller
 * receives. The generator yields offers; its driver stops it at the deadline or when the caller disconnects.
 */

import type { Route } from '@gentiandrum/protocol';
import type { TargetRecord } from '../membership/targetRecord.js';
import type { NotRunReason } from '../admission/notRunReason.js';
import type { MemoryLease } from '../memory/memoryAccount.js';
import type { MessageBody } from '../memory/messageBody.js';
import type { Verdict } from '../quarantine/suspicion.js';

/** Maximum number of offers of one request, including refused ones. */
const kMaxOffers = 4;
/**
 * Maximum number of additional offers of one request that found no available target. These have a limit of their own, because an
 * unavailable target indicates nothing about the others: with a tenth of the targets gone, one request in ten thousand would otherwise find
 * four such targets and fail.
 */
const kMaxNoTargetOffers = 4;

/**
 * Maximum number of offers of one request that are refused because of rate limits. Targets without room are chosen only if the others have
 * none either, and each further offer would take the room of another request.
 */
const kMaxRateLimitedOffers = 2;

/** Reasons that apply to every target. */
const kFinalReasons: ReadonlySet<NotRunReason> = new Set(['cancelled', 'repeat_budget', 'too_late', 'key_not_valid', 'quarantined']);
/** Retry-after time of a quarantined request, in milliseconds. */
const kQuarantinedRetryMs = 60_000;
/** Retry-after time of a suspect that may not be sent to a target now, in milliseconds. */
const kSuspectedRetryMs = 1_000;

/** A complete response of a target. */
export interface CompleteResponse {
  status: number;
  /** Alternating names and values. */
  headers: string[];
  body: MessageBody;
  /** Memory of the body; to be released by whoever holds the response last. Undefined for short bodies. */
  memory?: MemoryLease | undefined;
}

/** Result of one offer. */
export type CallResult =
  | { kind: 'answered'; answer: CompleteResponse }
  /** The target did not start the request and never will. */
  | { kind: 'not_run'; reason: NotRunReason; retryAfterMs: number }
  /** It may have run. */
  | { kind: 'lost'; reason: string };

/** One offer of the request to a target. */
export interface Offer {
  target: TargetRecord;
  /** Whether the request may have reached a target before. */
  repeat: boolean;
  /** Whether its fingerprint is suspected of crashing targets. Requests with the same fingerprint then do not run concurrently. */
  suspect: boolean;
}

/** Final result for the caller. */
export type RouteResult =
  | { kind: 'answered'; answer: CompleteResponse }
  | { kind: 'not_run'; reason: NotRunReason | 'no_target'; retryAfterMs: number }
  | { kind: 'lost'; reason: string };

/** Functions of the daemon that the procedure uses while it runs. */
export interface RouteContext {
  choose(excluded: ReadonlySet<string>): TargetRecord | undefined;
  /** Current verdict on the request fingerprint. It may change with each offer. */
  verdict(): Verdict;
  /** Whether a request whose fingerprint is suspected may be sent to a target now. */
  maySendSuspect(): boolean;
  /** Time until the deadline of the request, in milliseconds. */
  remainingMs(): number;
  /** Minimum remaining time for another offer, in milliseconds. */
  minUsefulMs(): number;
}

const kQuarantinedResult: RouteResult = { kind: 'not_run', reason: 'quarantined', retryAfterMs: kQuarantinedRetryMs };

const kSuspectedResult: RouteResult = { kind: 'not_run', reason: 'suspected', retryAfterMs: kSuspectedRetryMs };

/** Result for a request whose deadline has passed before its first offer. */
const kExpiredResult: RouteResult = { kind: 'not_run', reason: 'too_late', retryAfterMs: 0 };

/** Routes one request to its final result. */
export function* routeRequest(
  route: Pick<Route, 'idempotent' | 'maxAttempts'>,
  ctx: RouteContext,
): Generator<Offer, RouteResult, CallResult> {
  if (ctx.remainingMs() <= 0) {
    return kExpiredResult;
  }
  const excluded = new Set<string>();
  let last: RouteResult = { kind: 'not_run', reason: 'no_target', retryAfterMs: 0 };
  let arrivals = 0;
  let noTargetOffers = 0;
  let rateLimitedOffers = 0;
  for (let offers = 0; offers - noTargetOffers < kMaxOffers && noTargetOffers <= kMaxNoTargetOffers; offers++) {
    const verdict = ctx.verdict();
    if (verdict === 'quarantined') {
      // Applies also between offers of one request: the next offer could crash another target.
      return arrivals > 0 ? last : kQuarantinedResult;
    }
    if (verdict !== 'clear' && !ctx.maySendSuspect()) {
      return arrivals > 0 ? last : kSuspectedResult;
    }
    const target = ctx.choose(excluded);
    if (!target || (offers > 0 && ctx.remainingMs() < ctx.minUsefulMs())) {
      return last;
    }
    const suspect = verdict !== 'clear';
    const result = yield { target, repeat: arrivals > 0, suspect };
    if (!isNewlySuspected(result, suspect)) {
      excluded.add(target.host);
    }
    if (reachedTarget(result)) {
      arrivals++;
    } else if (foundNoTarget(result)) {
      noTargetOffers++;
    }
    last = arrivals > 0 ? lessCertain(last, result) : result;
    rateLimitedOffers += isRateLimited(result) ? 1 : 0;
    if (rateLimitedOffers >= kMaxRateLimitedOffers || isFinal(result, route, arrivals) || (suspect && isSuspected(result))) {
      return last;
    }
  }
  return last;
}

/** Whether the gate reported a suspicion unknown to this daemon. The same target may then be the one that probes the fingerprint. */
function isNewlySuspected(result: CallResult, knownSuspect: boolean): boolean {
  return !knownSuspect && isSuspected(result);
}

function isSuspected(result: CallResult): boolean {
  return result.kind === 'not_run' && result.reason === 'suspected';
}

function isRateLimited(result: CallResult): boolean {
  return result.kind === 'not_run' && result.reason === 'rate_limited';
}

/** Whether an offer found no available target, so that nothing was sent to one. */
export function foundNoTarget(result: CallResult): boolean {
  return result.kind === 'not_run' && (result.reason === 'unreachable' || result.reason === 'not_accepting');
}

function reachedTarget(result: CallResult): boolean {
  switch (result.kind) {
    case 'answered':
    case 'lost':
      return true;
    case 'not_run':
      return result.reason === 'target_refused' || result.reason === 'wrong_instance';
  }
}

function isFinal(result: CallResult, route: Pick<Route, 'idempotent' | 'maxAttempts'>, arrivals: number): boolean {
  switch (result.kind) {
    case 'answered':
      return result.answer.status < 500 || !route.idempotent || arrivals >= route.maxAttempts;
    case 'lost':
      return !route.idempotent || arrivals >= route.maxAttempts;
    case 'not_run':
      return kFinalReasons.has(result.reason) || arrivals >= route.maxAttempts;
  }
}

/** Returns the less certain result: a later refusal does not prove that an earlier offer did not run. */
function lessCertain(last: RouteResult, result: CallResult): RouteResult {
  if (result.kind === 'not_run' && (last.kind === 'lost' || last.kind === 'answered')) {
    return last;
  }
  return result;
}
