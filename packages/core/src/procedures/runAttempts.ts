/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Runs a call: offers it to targets, retries within the allowance, and takes the first whole answer.
 */

import { kAllOpen, tighter } from '../admission/levelReport.js';
import { errorResponse, type ErrorKind } from '../errors/errorKind.js';
import { monotonicMs } from '../util/clock.js';
import { type Attempt, type AttemptState, proveOutcome } from './attempt.js';
import { type Call, offerTerms, type ServeContext, type ServedCall } from './callContext.js';
import { chooseForSuspect } from './suspectChoice.js';
import { type CallEvent, type OfferResult, perform, type Procedure } from './effects.js';
import { type TargetResponse, errorResult, type ServeResult } from './served.js';

/** Offers of one attempt that gates may refuse before the call is given up. */
const kMaxRefusals = 3;
/** Refusals for overload before the call is given up: the other target of two random choices is asked, no more. */
const kMaxOverloadRefusals = 2;
const kServerErrorStatus = 500;
/** Timers may fire this much early, in milliseconds. */
const kTimerSlackMs = 1;

/** A call while it runs. */
class CallRun {
  readonly attempts: Attempt[] = [];
  readonly tried = new Set<string>();
  refusals = 0;
  overloadRefusals = 0;
  retries = 0;
  level = kAllOpen;
  final = false;
  lastAnswer: TargetResponse | undefined;
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

  logDecision(step: 'refuse' | 'route' | 'retry' | 'compete' | 'lost' | 'end', reason: string, attempt?: Attempt): void {
    this.ctx.logDecision({
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
  const run = new CallRun(call, ctx, allowance);
  ctx.retryRatio(call.cls.service).earn();
  let offered = yield* offerAttempt(run, 'route');
  while (offered) {
    const event = yield* perform('awaitEvent', { until: nextTimeout(run) });
    const served = handleEvent(run, event);
    if (served) {
      yield* cancelOpen(run, served.kind === 'error');
      return conclude(run, withProvenOutcome(run, served));
    }
    offered = yield* continueCall(run, event);
  }
  return conclude(run, failureResult(run));
}

/** Offers the call to one more target; false when there is none, or no time. */
function* offerAttempt(run: CallRun, step: 'route' | 'retry' | 'compete'): Procedure<boolean> {
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
    run.logDecision('refuse', suspect.reason);
    return false;
  }
  const candidates = ctx.candidates(call.cls.service);
  const choice = suspect.kind === 'suspect' ? suspect.choice : ctx.picker.pick(candidates, run.tried, now);
  if (!choice) {
    run.level = candidates.length === 0 ? { level: 0, service: call.cls.service, absent: true } : run.level;
    return false;
  }
  const lentAllowance = allowanceToLend(run);
  const attempt: Attempt = { id: ctx.newId(), choice, allowance: lentAllowance, state: { kind: 'planned' } };
  run.allowance -= lentAllowance;
  run.attempts.push(attempt);
  run.tried.add(choice.candidate.target);
  run.logDecision(step, choice.reason, attempt);
  choice.stats.offered();
  attempt.state = { kind: 'offered' };
  const suspicion = suspect.kind === 'suspect' ? suspect.suspicion : undefined;
  const terms = offerTerms(call, { attempt: attempt.id, choice, allowance: attempt.allowance, now, suspicion });
  yield* perform('offer', { attempt: attempt.id, to: choice.candidate, terms, payload: call.payload });
  return true;
}

/**
 * Share that goes down with an attempt. A root request keeps one unit back, since a lost answer takes its share with it;
 * further down the ledger entry of the parent holds such a reserve.
 */
function allowanceToLend(run: CallRun): number {
  const reserve = run.call.chain.parent === undefined ? 1 : 0;
  return Math.max(0, run.allowance - reserve);
}

/** Time until which an answer is awaited before something else is done. */
function nextTimeout(run: CallRun): number {
  const { cls, deadline } = run.call;
  if (cls.attemptTimeoutMs === undefined || run.open.length > 1) {
    return deadline;
  }
  return Math.min(deadline, monotonicMs() + cls.attemptTimeoutMs);
}

/** Books an event; returns the end of the call if the event brought it. */
function handleEvent(run: CallRun, event: CallEvent): ServeResult | undefined {
  switch (event.kind) {
    case 'ended':
      return handleResult(run, event.attempt, event.result);
    case 'caller_gone':
      return errorResult('cancelled', 'unknown', 'The caller hung up.');
    case 'timeout':
      return monotonicMs() >= run.call.deadline - kTimerSlackMs
        ? errorResult('deadline_exceeded', 'unknown', 'No whole answer came in time.')
        : undefined;
  }
}

function handleResult(run: CallRun, id: string, result: OfferResult): ServeResult | undefined {
  const attempt = run.attempts.find((candidate) => candidate.id === id);
  if (attempt?.state.kind !== 'offered') {
    return undefined;
  }
  attempt.state = stateAfter(result);
  attempt.choice.stats.ended();
  recordFeedback(run, attempt, result);
  if (result.kind !== 'answered') {
    return undefined;
  }
  run.lastAnswer = result.answer;
  if (result.answer.status < kServerErrorStatus) {
    return { kind: 'answer', answer: result.answer };
  }
  run.lastReason = 'target_failed';
  return undefined;
}

function stateAfter(result: OfferResult): AttemptState {
  switch (result.kind) {
    case 'answered':
      return { kind: 'answered', answer: result.answer };
    case 'refused':
      return { kind: 'refused', reason: result.reason };
    case 'failed':
      return { kind: 'failed', reason: result.reason };
    case 'lost':
      return { kind: 'lost', written: result.written };
  }
}

/** Takes from an attempt's end what it tells of the target and of the chain below. */
function recordFeedback(run: CallRun, attempt: Attempt, result: OfferResult): void {
  const { ctx, call } = run;
  const { candidate, stats } = attempt.choice;
  const now = monotonicMs();
  if (result.kind === 'lost') {
    run.logDecision('lost', `${result.cause ?? 'no cause'}, ${result.written ? 'may have been taken' : 'never taken'}`, attempt);
    run.lastReason = result.written ? 'attempt_lost' : 'no_target';
    run.allowance += result.written ? 0 : attempt.allowance;
    ctx.picker.failed(candidate, ctx.candidates(call.cls.service), now);
    if (!result.written) {
      ctx.onUnreachable(candidate);
    }
    return;
  }
  if (result.kind !== 'answered' && result.suspicion) {
    ctx.suspects.learn(result.suspicion);
  }
  run.allowance += Math.min(result.unspent, attempt.allowance);
  run.level = tighter(run.level, result.level);
  ctx.rootFilter.learnService(result.level.service, result.level.level, now);
  if (result.load) {
    stats.report(result.load.load, result.load.limit, now);
  }
  if (result.kind === 'refused') {
    run.lastReason = result.reason;
    if (result.reason === 'suspected') {
      // The gate knew more than this daemon did: its kind may have to go to the same target.
      run.tried.delete(candidate.target);
    }
    if (result.reason === 'no_target') {
      ctx.picker.failed(candidate, ctx.candidates(call.cls.service), now);
    }
    return;
  }
  run.final ||= result.retriedBelow;
  const targetFailed = result.kind === 'failed' || (result.answer.status >= kServerErrorStatus && !result.retriedBelow);
  if (targetFailed) {
    ctx.picker.failed(candidate, ctx.candidates(call.cls.service), now);
  } else {
    stats.succeeded();
  }
  if (result.kind === 'failed') {
    run.lastReason = result.reason;
  }
}

/** Decides what follows an event that ended nothing. False when the call is given up. */
function* continueCall(run: CallRun, event: CallEvent): Procedure<boolean> {
  if (event.kind === 'timeout') {
    if (mayRetry(run)) {
      yield* offerAttempt(run, 'compete');
    }
    return true;
  }
  const ended = event.kind === 'ended' ? run.attempts.find((attempt) => attempt.id === event.attempt) : undefined;
  const offered = ended !== undefined && (yield* offerAgain(run, ended.state));
  return offered || run.open.length > 0;
}

/** Places the call anew after one of its attempts ended without an answer. */
function* offerAgain(run: CallRun, state: AttemptState): Procedure<boolean> {
  const neverStarted = (state.kind === 'refused' && state.reason !== 'target_shed') || (state.kind === 'lost' && !state.written);
  if (neverStarted) {
    return mayOfferElsewhere(run, state) && (yield* offerAttempt(run, 'route'));
  }
  return mayRetry(run) && (yield* offerAttempt(run, 'retry'));
}

/** Whether a call that never started may be offered to another target. Nothing ran, so no allowance is needed. */
function mayOfferElsewhere(run: CallRun, state: AttemptState): boolean {
  run.refusals++;
  if (state.kind === 'refused' && state.reason === 'overloaded') {
    run.overloadRefusals++;
  }
  const untried = run.ctx.candidates(run.call.cls.service).some((candidate) => !run.tried.has(candidate.target));
  return untried && run.refusals < kMaxRefusals && run.overloadRefusals < kMaxOverloadRefusals;
}

/** Whether a call that may have run may be sent again; takes one retry from the allowance if so. */
function mayRetry(run: CallRun): boolean {
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

function hasAllowance(run: CallRun): boolean {
  const { parent } = run.call.chain;
  return run.allowance > 0 || (parent !== undefined && run.ctx.ledger.remaining(parent) > 0);
}

/** Cancels what is still out. Only where the outcome depends on it, the word whether it started is awaited. */
function* cancelOpen(run: CallRun, awaited: boolean): Procedure<undefined> {
  for (const attempt of run.open) {
    const reply = yield* perform('cancel', { attempt: attempt.id, to: attempt.choice.candidate, awaited });
    attempt.state = { kind: 'cancelled', beforeStart: reply.kind === 'before_start' };
    attempt.choice.stats.ended();
  }
  return undefined;
}

/** Corrects an error's outcome, once all attempts are settled, to what they prove. */
function withProvenOutcome(run: CallRun, served: ServeResult): ServeResult {
  if (served.kind === 'answer' || proveOutcome(run.attempts) !== 'not_run') {
    return served;
  }
  const error = served.error === 'cancelled' ? 'cancelled_before_start' : 'deadline_before_start';
  return errorResult(error, 'not_run', served.detail);
}

/** End of a call without a good answer: the target's own last answer if there is one, else an error. */
function failureResult(run: CallRun): ServeResult {
  if (run.lastAnswer) {
    return { kind: 'answer', answer: run.lastAnswer };
  }
  const outcome = proveOutcome(run.attempts);
  const mayTellNotRun = outcome === 'not_run' || errorResponse(run.lastReason).outcome !== 'not_run';
  const error = mayTellNotRun ? run.lastReason : 'attempt_lost';
  return errorResult(error, outcome, `Gave up after ${run.attempts.length} offers.`);
}

function conclude(run: CallRun, served: ServeResult): ServedCall {
  const failed = served.kind === 'error' || served.answer.status >= kServerErrorStatus;
  const shed = served.kind === 'error' && (served.error === 'overloaded' || served.error === 'no_target');
  run.logDecision('end', served.kind === 'error' ? served.error : `status_${served.answer.status}`, run.attempts.at(-1));
  return { served, unspent: run.allowance, level: run.level, final: failed && (run.final || run.retries > 0 || shed) };
}
