/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * How one request of a caller is carried to targets until it has its final answer: which target is tried, what may be sent
 * once more, and what the caller is told. A generator of offers; whoever drives it ends it early at the deadline or when the
 * caller is gone.
 */

import type { Route } from '@gentiandrum/protocol';
import type { TargetRecord } from '../membership/targetRecord.js';
import type { NotRunReason } from '../admission/notRunReason.js';
import type { Verdict } from '../quarantine/suspicion.js';

/** Most offers of one request, refusals included: refusals cost little, but not nothing. */
const kMaxOffers = 4;
/**
 * Most offers of one request beyond these that met a gate without a target behind it: such a one says nothing of the others, and with
 * a tenth of the targets gone a request that counts them has four vain offers one time in ten thousand instead of being served.
 */
const kMaxNoTargetOffers = 4;

/** Reasons that hold for every target. */
const kFinalReasons: ReadonlySet<NotRunReason> = new Set(['cancelled', 'repeat_budget', 'key_not_valid', 'quarantined']);
/** Time after which a request that is held back may come again, in milliseconds: sooner is of no use. */
const kQuarantinedRetryMs = 60_000;
/** The same while too few targets are left to try a suspect, in milliseconds. */
const kSuspectedRetryMs = 1_000;

/** A whole answer of a target. */
export interface CompleteResponse {
  status: number;
  /** Names and values in turn. */
  headers: string[];
  body: Buffer;
}

/** How one offer ended. */
export type CallResult =
  | { kind: 'answered'; answer: CompleteResponse }
  /** The target has not begun, and never will. */
  | { kind: 'not_run'; reason: NotRunReason; retryAfterMs: number }
  /** It may have run. */
  | { kind: 'lost'; reason: string };

/** One offer of the request to a target. */
export interface Offer {
  target: TargetRecord;
  /** Whether the request may have reached a target before. */
  repeat: boolean;
  /** Whether targets may have ended by its kind, so that it runs only where no other of its kind does. */
  suspect: boolean;
}

/** Final answer to the caller. */
export type RouteResult =
  | { kind: 'answered'; answer: CompleteResponse }
  | { kind: 'not_run'; reason: NotRunReason | 'no_target'; retryAfterMs: number }
  | { kind: 'lost'; reason: string };

/** What the procedure asks of its surroundings while it runs. */
export interface RouteContext {
  choose(excluded: ReadonlySet<string>): TargetRecord | undefined;
  /** What is known of the request's kind by now: each offer may have told more. */
  verdict(): Verdict;
  /** Whether the service can spare the target that a trial of the kind may cost. */
  mayProbe(): boolean;
  /** Time until the caller stops waiting, in milliseconds. */
  remainingMs(): number;
  /** Time that a further offer needs to be worth it, in milliseconds. */
  minUsefulMs(): number;
}

const kQuarantinedResult: RouteResult = { kind: 'not_run', reason: 'quarantined', retryAfterMs: kQuarantinedRetryMs };

const kSuspectedResult: RouteResult = { kind: 'not_run', reason: 'suspected', retryAfterMs: kSuspectedRetryMs };

/** Carries one request. */
export function* routeRequest(
  route: Pick<Route, 'idempotent' | 'maxAttempts'>,
  ctx: RouteContext,
): Generator<Offer, RouteResult, CallResult> {
  const excluded = new Set<string>();
  let last: RouteResult = { kind: 'not_run', reason: 'no_target', retryAfterMs: 0 };
  let arrivals = 0;
  let noTargetOffers = 0;
  for (let offers = 0; offers - noTargetOffers < kMaxOffers && noTargetOffers <= kMaxNoTargetOffers; offers++) {
    const verdict = ctx.verdict();
    if (verdict === 'quarantined') {
      // Also in the middle of a request: the next offer would end one more target.
      return arrivals > 0 ? last : kQuarantinedResult;
    }
    if (verdict === 'trial' && !ctx.mayProbe()) {
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
    if (isFinal(result, route, arrivals) || (suspect && isSuspected(result))) {
      return last;
    }
  }
  return last;
}

/** The gate knew more than this daemon did: the same target may be the one where the kind is tried. */
function isNewlySuspected(result: CallResult, knownSuspect: boolean): boolean {
  return !knownSuspect && isSuspected(result);
}

function isSuspected(result: CallResult): boolean {
  return result.kind === 'not_run' && result.reason === 'suspected';
}

/** Whether an offer ended where there is no target to be had, before anything was sent to one. */
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

/** What an earlier offer may have done stays true: a later refusal doesn't make the request "not run". */
function lessCertain(last: RouteResult, result: CallResult): RouteResult {
  if (result.kind === 'not_run' && (last.kind === 'lost' || last.kind === 'answered')) {
    return last;
  }
  return result;
}
