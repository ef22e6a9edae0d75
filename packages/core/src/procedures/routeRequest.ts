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
const kMaxVainOffers = 4;

/** Reasons that hold for every target. */
const kFinalReasons: ReadonlySet<NotRunReason> = new Set(['cancelled', 'repeat_budget', 'key_not_valid', 'quarantined']);
/** Time after which a request that is held back may come again, in milliseconds: sooner is of no use. */
const kHeldRetryMs = 60_000;
/** The same while too few targets are left to try a suspect, in milliseconds. */
const kNotNowRetryMs = 1_000;

/** A whole answer of a target. */
export interface WholeAnswer {
  status: number;
  /** Names and values in turn. */
  headers: string[];
  body: Buffer;
}

/** How one offer ended. */
export type CallEnd =
  | { kind: 'answered'; answer: WholeAnswer }
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
export type RouteEnd =
  | { kind: 'answered'; answer: WholeAnswer }
  | { kind: 'not_run'; reason: NotRunReason | 'no_target'; retryAfterMs: number }
  | { kind: 'lost'; reason: string };

/** What the procedure asks of its surroundings while it runs. */
export interface RouteSurroundings {
  choose(excluded: ReadonlySet<string>): TargetRecord | undefined;
  /** What is known of the request's kind by now: each offer may have told more. */
  verdict(): Verdict;
  /** Whether the service can spare the target that a trial of the kind may cost. */
  mayTry(): boolean;
  /** Time until the caller stops waiting, in milliseconds. */
  remainingMs(): number;
  /** Time that a further offer needs to be worth it, in milliseconds. */
  usefulMs(): number;
}

const kHeldBack: RouteEnd = { kind: 'not_run', reason: 'quarantined', retryAfterMs: kHeldRetryMs };

const kNotNow: RouteEnd = { kind: 'not_run', reason: 'suspected', retryAfterMs: kNotNowRetryMs };

/** Carries one request. */
export function* routeRequest(
  route: Pick<Route, 'idempotent' | 'maxAttempts'>,
  around: RouteSurroundings,
): Generator<Offer, RouteEnd, CallEnd> {
  const excluded = new Set<string>();
  let last: RouteEnd = { kind: 'not_run', reason: 'no_target', retryAfterMs: 0 };
  let arrivals = 0;
  let vain = 0;
  for (let offers = 0; offers - vain < kMaxOffers && vain <= kMaxVainOffers; offers++) {
    const verdict = around.verdict();
    if (verdict === 'quarantined') {
      // Also in the middle of a request: the next offer would end one more target.
      return arrivals > 0 ? last : kHeldBack;
    }
    if (verdict === 'trial' && !around.mayTry()) {
      return arrivals > 0 ? last : kNotNow;
    }
    const target = around.choose(excluded);
    if (!target || (offers > 0 && around.remainingMs() < around.usefulMs())) {
      return last;
    }
    const suspect = verdict !== 'clear';
    const end = yield { target, repeat: arrivals > 0, suspect };
    if (!isNewlySuspected(end, suspect)) {
      excluded.add(target.host);
    }
    if (reachedTarget(end)) {
      arrivals++;
    } else if (isVain(end)) {
      vain++;
    }
    last = arrivals > 0 ? worse(last, end) : end;
    if (isFinal(end, route, arrivals) || (suspect && isSuspected(end))) {
      return last;
    }
  }
  return last;
}

/** The gate knew more than this daemon did: the same target may be the one where the kind is tried. */
function isNewlySuspected(end: CallEnd, knownSuspect: boolean): boolean {
  return !knownSuspect && isSuspected(end);
}

function isSuspected(end: CallEnd): boolean {
  return end.kind === 'not_run' && end.reason === 'suspected';
}

/** Whether an offer ended where there is no target to be had, before anything was sent to one. */
export function isVain(end: CallEnd): boolean {
  return end.kind === 'not_run' && (end.reason === 'unreachable' || end.reason === 'not_accepting');
}

function reachedTarget(end: CallEnd): boolean {
  switch (end.kind) {
    case 'answered':
    case 'lost':
      return true;
    case 'not_run':
      return end.reason === 'target_refused' || end.reason === 'wrong_instance';
  }
}

function isFinal(end: CallEnd, route: Pick<Route, 'idempotent' | 'maxAttempts'>, arrivals: number): boolean {
  switch (end.kind) {
    case 'answered':
      return end.answer.status < 500 || !route.idempotent || arrivals >= route.maxAttempts;
    case 'lost':
      return !route.idempotent || arrivals >= route.maxAttempts;
    case 'not_run':
      return kFinalReasons.has(end.reason) || arrivals >= route.maxAttempts;
  }
}

/** What an earlier offer may have done stays true: a later refusal doesn't make the request "not run". */
function worse(last: RouteEnd, end: CallEnd): RouteEnd {
  if (end.kind === 'not_run' && (last.kind === 'lost' || last.kind === 'answered')) {
    return last;
  }
  return end;
}
