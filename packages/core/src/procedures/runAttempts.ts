/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Runs a call: offers it to targets, retries within the allowance, and returns the first complete response.
 */

import { tighterReport } from '../admission/levelReport.js';
import { errorResponse } from '../errors/errorKind.js';
import { monotonicMs } from '../util/clock.js';
import { type Attempt, type AttemptState, proveOutcome } from './attempt.js';
import { type Call, offerTerms, type ServeContext, type ServedCall } from './callContext.js';
import { CallRun } from './callRun.js';
import { chooseForSuspect } from './suspectChoice.js';
import { type CallEvent, type OfferResult, perform, type Procedure } from './effects.js';
import { errorResult, type ServeResult } from './serveResult.js';

const kServerErrorStatus = 500;
/** Tolerance for timers that fire early, in milliseconds. */
const kTimerSlackMs = 1;

/** Runs a call that has the right to run under its key. `allowance` is its share of the chain's retries. */
export function* runAttempts(call: Call, ctx: ServeContext, allowance: number): Procedure<ServedCall> {
  const run = new CallRun(call, ctx, allowance);
  ctx.retryBucket(call.cls.service).earn();
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

/** Offers the call to one more target. Returns false when no target may be offered it or the deadline has passed. */
function* offerAttempt(run: CallRun, step: 'route' | 'retry' | 'compete'): Procedure<boolean> {
  const { call, ctx } = run;
  const now = monotonicMs();
  if (now >= call.deadline) {
    run.lastReason = 'deadline_before_start';
    return false;
  }
  const suspect = chooseForSuspect(call, ctx, run.tried, now);
  if (suspect.kind === 'refused') {
    // Applies also between attempts of one call: the next attempt could crash another target.
    run.lastReason = suspect.reason;
    run.logDecision('refuse', suspect.reason);
    return false;
  }
  const candidates = ctx.candidates(call.cls.service);
  const choice = suspect.kind === 'suspect' ? suspect.choice : ctx.picker.pick(candidates, run.tried, now);
  if (!choice) {
    run.level = candidates.length === 0 ? { level: 0, service: call.cls.service, absent: true } : run.level;
    run.logDecision('refuse', candidates.length === 0 ? 'no_target' : 'no_other_target');
    return false;
  }
  const attemptAllowance = allowanceForAttempt(run);
  const attempt: Attempt = { id: ctx.newId(), choice, allowance: attemptAllowance, state: { kind: 'planned' } };
  run.allowance -= attemptAllowance;
  run.attempts.push(attempt);
  run.tried.add(choice.candidate.target);
  run.logDecision(step, choice.reason, attempt);
  choice.stats.recordOffer();
  attempt.state = { kind: 'offered' };
  const suspicion = suspect.kind === 'suspect' ? suspect.suspicion : undefined;
  const terms = offerTerms(call, { attempt: attempt.id, choice, allowance: attempt.allowance, now, suspicion });
  yield* perform('offer', { attempt: attempt.id, to: choice.candidate, terms, payload: call.payload });
  return true;
}

/**
 * Allowance passed to an attempt. A root request retains one unit, because a lost response loses the allowance of its attempt. A
 * downstream call retains none: it can take units from its parent's ledger entry.
 */
function allowanceForAttempt(run: CallRun): number {
  const retained = run.call.chain.parent === undefined ? 1 : 0;
  return Math.max(0, run.allowance - retained);
}

/** Monotonic time until which the call waits for the next event, in milliseconds. */
function nextTimeout(run: CallRun): number {
  const { cls, deadline } = run.call;
  if (cls.attemptTimeoutMs === undefined || run.open.length > 1) {
    return deadline;
  }
  return Math.min(deadline, monotonicMs() + cls.attemptTimeoutMs);
}

/** Applies an event to the call; returns the result if the event ends the call. */
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
  attempt.choice.stats.recordOfferResult();
  recordFeedback(run, attempt, result);
  if (result.kind !== 'answered') {
    return undefined;
  }
  run.lastResponse = result.answer;
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

/** Updates target statistics, allowance and admission levels from the result of an attempt. */
function recordFeedback(run: CallRun, attempt: Attempt, result: OfferResult): void {
  const { ctx, call } = run;
  const { candidate, stats } = attempt.choice;
  const now = monotonicMs();
  if (result.kind === 'lost') {
    run.logDecision('lost', `${result.cause ?? 'no cause'}, ${result.written ? 'may have been taken' : 'never taken'}`, attempt);
    run.lastReason = result.written ? 'attempt_lost' : 'no_target';
    run.allowance += result.written ? 0 : attempt.allowance;
    ctx.picker.recordFailure(candidate, ctx.candidates(call.cls.service), now);
    if (!result.written) {
      ctx.onUnreachable(candidate);
    }
    return;
  }
  if (result.kind !== 'answered' && result.suspicion) {
    ctx.suspects.mergeFromCall(result.suspicion);
  }
  run.allowance += Math.min(result.unspent, attempt.allowance);
  run.level = tighterReport(run.level, result.level);
  ctx.rootFilter.updateService(result.level.service, result.level.level, now);
  if (result.load) {
    stats.recordReport(result.load.load, result.load.limit, now);
  }
  if (result.kind === 'refused') {
    run.lastReason = result.reason;
    if (result.reason === 'suspected') {
      // The gate reported a suspicion unknown to this daemon; the same target may be the one that probes the fingerprint.
      run.tried.delete(candidate.target);
    }
    if (result.reason === 'no_target') {
      ctx.picker.recordFailure(candidate, ctx.candidates(call.cls.service), now);
    }
    return;
  }
  run.final ||= result.retriedBelow;
  const targetFailed = result.kind === 'failed' || (result.answer.status >= kServerErrorStatus && !result.retriedBelow);
  if (targetFailed) {
    ctx.picker.recordFailure(candidate, ctx.candidates(call.cls.service), now);
  } else {
    stats.recordSuccess();
  }
  if (result.kind === 'failed') {
    run.lastReason = result.reason;
  }
}

/** Continues the call after an event that did not end it. Returns false when the call fails. */
function* continueCall(run: CallRun, event: CallEvent): Procedure<boolean> {
  if (event.kind === 'timeout') {
    if (mayRetry(run)) {
      yield* offerAttempt(run, 'compete');
    }
    return true;
  }
  const ended = event.kind === 'ended' ? run.attempts.find((attempt) => attempt.id === event.attempt) : undefined;
  const offered = ended !== undefined && (yield* offerAgain(run, ended));
  return offered || run.open.length > 0;
}

/** Offers the call again after an attempt without a usable response. */
function* offerAgain(run: CallRun, ended: Attempt): Procedure<boolean> {
  const { state } = ended;
  const neverStarted = (state.kind === 'refused' && state.reason !== 'target_shed') || (state.kind === 'lost' && !state.written);
  if (neverStarted) {
    run.recordRefusal(ended);
    return run.mayOfferElsewhere() && (yield* offerAttempt(run, 'route'));
  }
  return mayRetry(run) && (yield* offerAttempt(run, 'retry'));
}

/** Whether a call that may have run may be retried; if so, takes one retry from the allowance. */
function mayRetry(run: CallRun): boolean {
  const { call, ctx } = run;
  if (!call.cls.idempotent || run.final || monotonicMs() >= call.deadline) {
    return false;
  }
  if (!run.hasAllowance() || !ctx.retryBucket(call.cls.service).spend()) {
    return false;
  }
  if (run.allowance > 0) {
    run.allowance--;
  } else if (call.chain.parent === undefined || !ctx.ledger.takeOne(call.chain.parent)) {
    return false;
  }
  run.startRetry();
  return true;
}

/** Cancels open attempts. With `awaited`, waits for each reply whether the attempt started, which decides the outcome of an error. */
function* cancelOpen(run: CallRun, awaited: boolean): Procedure<undefined> {
  for (const attempt of run.open) {
    const reply = yield* perform('cancel', { attempt: attempt.id, to: attempt.choice.candidate, awaited });
    attempt.state = { kind: 'cancelled', beforeStart: reply.kind === 'before_start' };
    attempt.choice.stats.recordOfferResult();
  }
  return undefined;
}

/** Changes an error to `not_run` if all attempts provably did not run. */
function withProvenOutcome(run: CallRun, served: ServeResult): ServeResult {
  if (served.kind === 'answer' || proveOutcome(run.attempts) !== 'not_run') {
    return served;
  }
  const error = served.error === 'cancelled' ? 'cancelled_before_start' : 'deadline_before_start';
  return errorResult(error, 'not_run', served.detail);
}

/** Result of a failed call: the last response of a target if there is one, otherwise an error. */
function failureResult(run: CallRun): ServeResult {
  if (run.lastResponse) {
    return { kind: 'answer', answer: run.lastResponse };
  }
  const outcome = proveOutcome(run.attempts);
  const mayReportNotRun = outcome === 'not_run' || errorResponse(run.lastReason).outcome !== 'not_run';
  const error = mayReportNotRun ? run.lastReason : 'attempt_lost';
  return errorResult(error, outcome, `Gave up after ${run.attempts.length} offers.`);
}

function conclude(run: CallRun, served: ServeResult): ServedCall {
  const failed = served.kind === 'error' || served.answer.status >= kServerErrorStatus;
  const shed = served.kind === 'error' && (served.error === 'overloaded' || served.error === 'no_target');
  run.logDecision('end', served.kind === 'error' ? served.error : `status_${served.answer.status}`, run.attempts.at(-1));
  return { served, unspent: run.allowance, level: run.level, final: failed && (run.final || run.retries > 0 || shed) };
}
