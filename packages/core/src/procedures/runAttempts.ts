/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Runs a call: offers it to targets, retries within the allowance, and takes the first whole answer.
 */

import { kOpenReport, tighterReport } from '../admission/levelReport.js';
import { answerOf, type ErrorKind } from '../errors/errorKind.js';
import { monotonicMs } from '../util/clock.js';
import { type Attempt, type AttemptState, proveOutcome } from './attempt.js';
import { type Call, offerTerms, type ServeContext, type ServedCall } from './callContext.js';
import { chooseForSuspect } from './suspectChoice.js';
import { type CallEvent, type OfferEnd, perform, type Procedure } from './effects.js';
import { type Answer, failedWith, type Served } from './served.js';

/** Offers of one attempt that gates may refuse before the call is given up. */
const kMaxRefusals = 3;
/** Refusals for overload before the call is given up: the other target of two random choices is asked, no more. */
const kMaxOverloadRefusals = 2;
const kServerError = 500;
/** Timers may fire this much early, in milliseconds. */
const kTimerSlackMs = 1;

/** A call while it runs. */
class Run {
  readonly attempts: Attempt[] = [];
  readonly tried = new Set<string>();
  refusals = 0;
  overloads = 0;
  retries = 0;
  level = kOpenReport;
  final = false;
  lastAnswer: Answer | undefined;
  lastReason: ErrorKind = 'no_target';

  constructor(
    readonly call: Call,
    readonly ctx: ServeContext,
    public allowance: number,
  ) {}

  /** Attempts that may still bring an answer. */
  get open(): Attempt[] {
    return this.attempts.filter((attempt) => attempt.state.kind === 'offered');
  }

  note(step: 'refuse' | 'route' | 'retry' | 'compete' | 'lost' | 'end', reason: string, attempt?: Attempt): void {
    this.ctx.decide({
      request: this.call.id,
      step,
      cls: this.call.cls.name,
      target: attempt?.choice.candidate.target,
      weighed: attempt?.choice.weighed,
      reason,
    });
  }
}

/** Runs a call whose right to run is settled. `allowance` is the share of the chain's retries that it has. */
export function* runAttempts(call: Call, ctx: ServeContext, allowance: number): Procedure<ServedCall> {
  const run = new Run(call, ctx, allowance);
  ctx.retryRatio(call.cls.service).earn();
  let placed = yield* placeAttempt(run, 'route');
  while (placed) {
    const event = yield* perform('awaitEvent', { until: nextTimeout(run) });
    const served = takeEvent(run, event);
    if (served) {
      yield* cancelOpen(run, served.kind === 'error');
      return conclude(run, provedNow(run, served));
    }
    placed = yield* carryOn(run, event);
  }
  return conclude(run, failure(run));
}

/** Offers the call to one more target; false when there is none, or no time. */
function* placeAttempt(run: Run, step: 'route' | 'retry' | 'compete'): Procedure<boolean> {
  const { call, ctx } = run;
  const now = monotonicMs();
  if (now >= call.deadline) {
    run.lastReason = 'deadline_before_start';
    return false;
  }
  const suspect = chooseForSuspect(call, ctx, run.tried, now);
  if (suspect.kind === 'refused') {
    // Also in the middle of a call: the next attempt would end one more target.
    run.lastReason = suspect.reason;
    run.note('refuse', suspect.reason);
    return false;
  }
  const candidates = ctx.candidates(call.cls.service);
  const choice = suspect.kind === 'suspect' ? suspect.choice : ctx.picker.pick(candidates, run.tried, now);
  if (!choice) {
    run.level = candidates.length === 0 ? { level: 0, service: call.cls.service, absent: true } : run.level;
    return false;
  }
  const lent = allowanceToLend(run);
  const attempt: Attempt = { id: ctx.newId(), choice, lent, state: { kind: 'planned' } };
  run.allowance -= lent;
  run.attempts.push(attempt);
  run.tried.add(choice.candidate.target);
  run.note(step, choice.reason, attempt);
  choice.stats.recordOffer();
  attempt.state = { kind: 'offered' };
  const suspicion = suspect.kind === 'suspect' ? suspect.suspicion : undefined;
  const terms = offerTerms(call, { attempt: attempt.id, choice, allowance: attempt.lent, now, suspicion });
  yield* perform('offer', { attempt: attempt.id, to: choice.candidate, terms, payload: call.payload });
  return true;
}

/**
 * Share that goes down with an attempt. A root request keeps one unit back, since a lost answer takes its share with it;
 * further down the ledger entry of the parent holds such a reserve.
 */
function allowanceToLend(run: Run): number {
  const reserve = run.call.chain.parent === undefined ? 1 : 0;
  return Math.max(0, run.allowance - reserve);
}

/** Time until which an answer is awaited before something else is done. */
function nextTimeout(run: Run): number {
  const { cls, deadline } = run.call;
  if (cls.attemptTimeoutMs === undefined || run.open.length > 1) {
    return deadline;
  }
  return Math.min(deadline, monotonicMs() + cls.attemptTimeoutMs);
}

/** Books an event; returns the end of the call if the event brought it. */
function takeEvent(run: Run, event: CallEvent): Served | undefined {
  switch (event.kind) {
    case 'ended':
      return takeEnd(run, event.attempt, event.end);
    case 'caller_gone':
      return failedWith('cancelled', 'unknown', 'The caller hung up.');
    case 'timeout':
      return monotonicMs() >= run.call.deadline - kTimerSlackMs
        ? failedWith('deadline_exceeded', 'unknown', 'No whole answer came in time.')
        : undefined;
  }
}

function takeEnd(run: Run, id: string, end: OfferEnd): Served | undefined {
  const attempt = run.attempts.find((candidate) => candidate.id === id);
  if (attempt?.state.kind !== 'offered') {
    return undefined;
  }
  attempt.state = stateAfter(end);
  attempt.choice.stats.recordOfferResult();
  learn(run, attempt, end);
  if (end.kind !== 'answered') {
    return undefined;
  }
  run.lastAnswer = end.answer;
  if (end.answer.status < kServerError) {
    return { kind: 'answer', answer: end.answer };
  }
  run.lastReason = 'target_failed';
  return undefined;
}

function stateAfter(end: OfferEnd): AttemptState {
  switch (end.kind) {
    case 'answered':
      return { kind: 'answered', answer: end.answer };
    case 'refused':
      return { kind: 'refused', reason: end.reason };
    case 'failed':
      return { kind: 'failed', reason: end.reason };
    case 'lost':
      return { kind: 'lost', written: end.written };
  }
}

/** Takes from an attempt's end what it tells of the target and of the chain below. */
function learn(run: Run, attempt: Attempt, end: OfferEnd): void {
  const { ctx, call } = run;
  const { candidate, stats } = attempt.choice;
  const now = monotonicMs();
  if (end.kind === 'lost') {
    run.note('lost', `${end.cause ?? 'no cause'}, ${end.written ? 'may have been taken' : 'never taken'}`, attempt);
    run.lastReason = end.written ? 'attempt_lost' : 'no_target';
    run.allowance += end.written ? 0 : attempt.lent;
    ctx.picker.recordFailure(candidate, ctx.candidates(call.cls.service), now);
    if (!end.written) {
      ctx.unreachable(candidate);
    }
    return;
  }
  if (end.kind !== 'answered' && end.suspicion) {
    ctx.suspects.mergeFromCall(end.suspicion);
  }
  run.allowance += Math.min(end.unspent, attempt.lent);
  run.level = tighterReport(run.level, end.level);
  ctx.rootFilter.updateService(end.level.service, end.level.level, now);
  if (end.load) {
    stats.recordReport(end.load.load, end.load.limit, now);
  }
  if (end.kind === 'refused') {
    run.lastReason = end.reason;
    if (end.reason === 'suspected') {
      // The gate knew more than this daemon did: its kind may have to go to the same target.
      run.tried.delete(candidate.target);
    }
    if (end.reason === 'no_target') {
      ctx.picker.recordFailure(candidate, ctx.candidates(call.cls.service), now);
    }
    return;
  }
  run.final ||= end.retriedBelow;
  const targetFailed = end.kind === 'failed' || (end.answer.status >= kServerError && !end.retriedBelow);
  if (targetFailed) {
    ctx.picker.recordFailure(candidate, ctx.candidates(call.cls.service), now);
  } else {
    stats.recordSuccess();
  }
  if (end.kind === 'failed') {
    run.lastReason = end.reason;
  }
}

/** Decides what follows an event that ended nothing. False when the call is given up. */
function* carryOn(run: Run, event: CallEvent): Procedure<boolean> {
  if (event.kind === 'timeout') {
    if (mayRetry(run)) {
      yield* placeAttempt(run, 'compete');
    }
    return true;
  }
  const ended = event.kind === 'ended' ? run.attempts.find((attempt) => attempt.id === event.attempt) : undefined;
  const placed = ended !== undefined && (yield* placeAgain(run, ended.state));
  return placed || run.open.length > 0;
}

/** Places the call anew after one of its attempts ended without an answer. */
function* placeAgain(run: Run, state: AttemptState): Procedure<boolean> {
  const neverStarted = (state.kind === 'refused' && state.reason !== 'target_shed') || (state.kind === 'lost' && !state.written);
  if (neverStarted) {
    return mayOfferElsewhere(run, state) && (yield* placeAttempt(run, 'route'));
  }
  return mayRetry(run) && (yield* placeAttempt(run, 'retry'));
}

/** Whether a call that never started may be offered to another target. Nothing ran, so no allowance is needed. */
function mayOfferElsewhere(run: Run, state: AttemptState): boolean {
  run.refusals++;
  if (state.kind === 'refused' && state.reason === 'overloaded') {
    run.overloads++;
  }
  const untried = run.ctx.candidates(run.call.cls.service).some((candidate) => !run.tried.has(candidate.target));
  return untried && run.refusals < kMaxRefusals && run.overloads < kMaxOverloadRefusals;
}

/** Whether a call that may have run may be sent again; takes one retry from the allowance if so. */
function mayRetry(run: Run): boolean {
  const { call, ctx } = run;
  if (!call.cls.idempotent || run.final || monotonicMs() >= call.deadline) {
    return false;
  }
  if (!hasAllowance(run) || !ctx.retryRatio(call.cls.service).spend()) {
    return false;
  }
  if (run.allowance > 0) {
    run.allowance--;
  } else if (call.chain.parent === undefined || !ctx.ledger.takeOne(call.chain.parent)) {
    return false;
  }
  run.retries++;
  if (ctx.candidates(call.cls.service).every((candidate) => run.tried.has(candidate.target))) {
    run.tried.clear();
  }
  return true;
}

function hasAllowance(run: Run): boolean {
  const { parent } = run.call.chain;
  return run.allowance > 0 || (parent !== undefined && run.ctx.ledger.remaining(parent) > 0);
}

/** Cancels what is still out. Only where the outcome depends on it, the word whether it started is awaited. */
function* cancelOpen(run: Run, awaited: boolean): Procedure<undefined> {
  for (const attempt of run.open) {
    const reply = yield* perform('cancel', { attempt: attempt.id, to: attempt.choice.candidate, awaited });
    attempt.state = { kind: 'cancelled', beforeStart: reply.kind === 'before_start' };
    attempt.choice.stats.recordOfferResult();
  }
  return undefined;
}

/** Corrects an error's outcome, once all attempts are settled, to what they prove. */
function provedNow(run: Run, served: Served): Served {
  if (served.kind === 'answer' || proveOutcome(run.attempts) !== 'not_run') {
    return served;
  }
  const error = served.error === 'cancelled' ? 'cancelled_before_start' : 'deadline_before_start';
  return failedWith(error, 'not_run', served.detail);
}

/** End of a call without a good answer: the target's own last answer if there is one, else an error. */
function failure(run: Run): Served {
  if (run.lastAnswer) {
    return { kind: 'answer', answer: run.lastAnswer };
  }
  const outcome = proveOutcome(run.attempts);
  const mayTellNotRun = outcome === 'not_run' || answerOf(run.lastReason).outcome !== 'not_run';
  const error = mayTellNotRun ? run.lastReason : 'attempt_lost';
  return failedWith(error, outcome, `Gave up after ${run.attempts.length} offers.`);
}

function conclude(run: Run, served: Served): ServedCall {
  const failed = served.kind === 'error' || served.answer.status >= kServerError;
  const shed = served.kind === 'error' && (served.error === 'overloaded' || served.error === 'no_target');
  run.note('end', served.kind === 'error' ? served.error : `status_${served.answer.status}`, run.attempts.at(-1));
  return { served, unspent: run.allowance, level: run.level, final: failed && (run.final || run.retries > 0 || shed) };
}
