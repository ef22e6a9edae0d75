/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Passes an offered call through the gate of the local target. */

import type { OfferTerms } from '@gentiandrum/protocol';
import type { QueuedCall } from '../admission/admissionQueue.js';
import type { Gate, GateResult } from '../admission/gate.js';
import { kOpenReport, type LevelReport, tighterReport } from '../admission/levelReport.js';
import { passesLevel, rankOf } from '../admission/rank.js';
import type { RootFilter } from '../admission/rootFilter.js';
import type { LedgerSummary, RetryLedger } from '../chain/retryLedger.js';
import type { ErrorKind } from '../errors/errorKind.js';
import { monotonicMs } from '../util/clock.js';
import type { OverloadDetail } from './callContext.js';
import { type ForwardResult, type GateLoad, type OfferResult, type Payload, perform, type Procedure } from './effects.js';

/** A call at the gate. */
export interface GateCall extends QueuedCall {
  terms: OfferTerms;
}

/** Log entry of a gate's decision. */
export interface GateDecisionEntry {
  request: string;
  attempt: string;
  step: 'gate';
  cls: string;
  target: string;
  reason: string;
  overload?: OverloadDetail;
}

/** Parts of the daemon that pass a call through a gate. */
export interface GateContext {
  gate: Gate<GateCall> | undefined;
  /** Name of the target behind the gate. */
  target: string;
  ledger: RetryLedger;
  /** Admission levels that the target's downstream calls reported. Calls whose downstream calls would be shed are refused here. */
  downstream: RootFilter;
  /** Received attempts. A duplicate delivery does not start the attempt again. */
  seenAttempts: { add: (attempt: string) => boolean };
  logDecision: (decision: GateDecisionEntry) => void;
}

/** HTTP statuses with which a target sheds a call. */
const kShedStatuses: ReadonlySet<number> = new Set([429, 503]);

/** Passes one attempt through the gate. */
export function* gateCall(terms: OfferTerms, payload: Payload, ctx: GateContext): Procedure<OfferResult> {
  const { gate } = ctx;
  if (!gate || terms.target !== ctx.target) {
    return refuseOffer(terms, ctx, 'no_target');
  }
  if (!ctx.seenAttempts.add(terms.attempt)) {
    return { kind: 'lost', written: true };
  }
  const now = monotonicMs();
  const call: GateCall = {
    id: terms.attempt,
    rank: rankOf(terms),
    depth: terms.depth,
    deadline: now + terms.remainingMs,
    queuedAt: now,
    terms,
  };
  if (!passesLevel(call.rank, call.depth, downstreamLevel(terms, ctx).level)) {
    return refuseOffer(terms, ctx, 'overloaded');
  }
  const decision = gate.offer(call);
  if (decision.kind === 'refused') {
    return refuseOffer(terms, ctx, decision.reason);
  }
  if (decision.kind === 'queued') {
    const admitted = yield* perform('awaitAdmission', { attempt: terms.attempt });
    if (admitted.kind !== 'started') {
      return refuseOffer(terms, ctx, admitted.kind === 'shed' ? admitted.reason : 'cancelled_before_start');
    }
  }
  return yield* runAtTarget(call, payload, gate, ctx);
}

function* runAtTarget(call: GateCall, payload: Payload, gate: Gate<GateCall>, ctx: GateContext): Procedure<OfferResult> {
  const { terms, deadline } = call;
  const startedAt = monotonicMs();
  if (startedAt >= deadline) {
    gate.callEnded(call.id, { kind: 'not_run' });
    return refuseOffer(terms, ctx, 'deadline_before_start');
  }
  ctx.ledger.open(call.id, terms.allowance);
  ctx.logDecision({
    request: terms.request,
    attempt: call.id,
    step: 'gate',
    cls: terms.className,
    target: terms.target,
    reason: 'started',
  });
  const result = yield* perform('forward', { attempt: call.id, payload, entry: call.id, deadline });
  const now = monotonicMs();
  const summary = ctx.ledger.close(call.id, now) ?? kEmptySummary;
  ctx.downstream.update(terms.className, summary.level, now);
  const refusal = provenRefusal(result, summary);
  gate.callEnded(call.id, gateResult(result, refusal, now - startedAt, summary));
  return offerResult(result, summary, refusal, { gate, service: terms.service });
}

function gateResult(result: ForwardResult, refusal: ErrorKind | undefined, totalMs: number, summary: LedgerSummary): GateResult {
  if (refusal) {
    return { kind: refusal === 'target_shed' ? 'shed_by_target' : 'not_run' };
  }
  if (result.kind === 'truncated' || result.kind === 'lost') {
    // Their time includes the check whether the target crashed, which takes 50 ms to seconds.
    return { kind: 'interrupted' };
  }
  return { kind: 'completed', totalMs, selfMs: Math.max(0, totalMs - summary.waitedMs) };
}

const kEmptySummary: LedgerSummary = { unspent: 0, level: kOpenReport, retriedBelow: false, downstreamCalls: 0, waitedMs: 0 };

/**
 * Reason why a forwarded call provably did not run; undefined when it may have run. A response of 429 or 503 with `Retry-After` counts
 * as shedding only if the target made no downstream call for it.
 */
function provenRefusal(result: ForwardResult, summary: LedgerSummary): ErrorKind | undefined {
  if (result.kind === 'lost' && !result.written) {
    return 'no_target';
  }
  const shed = result.kind === 'answered' && kShedStatuses.has(result.answer.status) && 'retry-after' in result.answer.headers;
  return shed && summary.downstreamCalls === 0 ? 'target_shed' : undefined;
}

function offerResult(result: ForwardResult, summary: LedgerSummary, refusal: ErrorKind | undefined, at: ServiceGate): OfferResult {
  const common = { unspent: summary.unspent, level: tighterReport(summary.level, levelOf(at)), load: loadOf(at.gate) };
  const failed = (reason: ErrorKind): OfferResult => ({ kind: 'failed', reason, retriedBelow: summary.retriedBelow, ...common });
  if (refusal) {
    return { kind: 'refused', reason: refusal, ...common };
  }
  switch (result.kind) {
    case 'answered':
      return { kind: 'answered', answer: result.answer, retriedBelow: summary.retriedBelow, ...common };
    case 'truncated':
      return failed('answer_truncated');
    case 'too_large':
      return failed('answer_too_large');
    case 'lost':
      return failed('attempt_lost');
    case 'timeout':
      return failed('deadline_exceeded');
    case 'cancelled':
      return failed('cancelled');
  }
}

function refuseOffer(terms: OfferTerms, ctx: GateContext, reason: ErrorKind): OfferResult {
  const { gate } = ctx;
  const level = gate ? tighterReport(downstreamLevel(terms, ctx), levelOf({ gate, service: terms.service })) : kOpenReport;
  const overload = reason === 'overloaded' ? { rank: rankOf(terms), level: Math.round(level.level), service: level.service } : undefined;
  ctx.logDecision({
    request: terms.request,
    attempt: terms.attempt,
    step: 'gate',
    cls: terms.className,
    target: terms.target,
    reason,
    overload,
  });
  return {
    kind: 'refused',
    reason,
    unspent: terms.allowance,
    level,
    load: gate ? loadOf(gate) : undefined,
  };
}

/** Current admission level of the downstream service that last restricted calls of this class. */
function downstreamLevel(terms: OfferTerms, ctx: GateContext): LevelReport {
  const service = ctx.downstream.restrictingService(terms.className);
  return service === undefined ? kOpenReport : { level: ctx.downstream.level(terms.className, monotonicMs()), service };
}

interface ServiceGate {
  gate: Gate<GateCall>;
  service: string;
}

function levelOf({ gate, service }: ServiceGate): LevelReport {
  return { level: gate.level, service };
}

function loadOf(gate: Gate<GateCall>): GateLoad {
  return { load: gate.inFlight + gate.queued, limit: gate.limit };
}
