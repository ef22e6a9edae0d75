/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Takes an offered call through the gate of the target on this host. */

import type { OfferTerms } from '@gentiandrum/protocol';
import type { QueuedCall } from '../admission/admissionQueue.js';
import type { Gate, GateResult } from '../admission/gate.js';
import { kOpenReport, type LevelReport, tighterReport } from '../admission/levelReport.js';
import { passesLevel, rankOf } from '../admission/rank.js';
import type { RootFilter } from '../admission/rootFilter.js';
import type { LedgerSummary, RetryLedger } from '../chain/retryLedger.js';
import type { ErrorKind } from '../errors/errorKind.js';
import { monotonicMs } from '../util/clock.js';
import { type ForwardEnd, type GateLoad, type OfferEnd, type Payload, perform, type Procedure } from './effects.js';

/** A call at the gate. */
export interface GateCall extends QueuedCall {
  terms: OfferTerms;
}

/** What taking a call through a gate uses of its daemon. */
export interface GateContext {
  gate: Gate<GateCall> | undefined;
  /** Name of the target that the gate leads to. */
  target: string;
  ledger: RetryLedger;
  /** Levels further down, as the target's onward calls meet them: what they shed is not even begun here. */
  below: RootFilter;
  /** Attempts that arrived before: an attempt is started once, however often it is delivered. */
  seen: { add: (attempt: string) => boolean };
  decide: (decision: { request: string; attempt: string; step: 'gate'; cls: string; target: string; reason: string }) => void;
}

/** HTTP statuses by which a target sheds a call. */
const kShedStatuses: ReadonlySet<number> = new Set([429, 503]);

/** Takes one attempt through the gate. */
export function* gateCall(terms: OfferTerms, payload: Payload, ctx: GateContext): Procedure<OfferEnd> {
  const { gate } = ctx;
  if (!gate || terms.target !== ctx.target) {
    return refusedBy(terms, ctx, 'no_target');
  }
  if (!ctx.seen.add(terms.attempt)) {
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
  if (!passesLevel(call.rank, call.depth, levelBelow(terms, ctx).level)) {
    return refusedBy(terms, ctx, 'overloaded');
  }
  const decision = gate.offer(call);
  if (decision.kind === 'refused') {
    return refusedBy(terms, ctx, decision.reason);
  }
  if (decision.kind === 'queued') {
    const admitted = yield* perform('admitted', { attempt: terms.attempt });
    if (admitted.kind !== 'started') {
      return refusedBy(terms, ctx, admitted.kind === 'shed' ? admitted.reason : 'cancelled_before_start');
    }
  }
  return yield* runAtTarget(call, payload, gate, ctx);
}

function* runAtTarget(call: GateCall, payload: Payload, gate: Gate<GateCall>, ctx: GateContext): Procedure<OfferEnd> {
  const { terms, deadline } = call;
  const startedAt = monotonicMs();
  if (startedAt >= deadline) {
    gate.callEnded(call.id, { kind: 'not_run' });
    return refusedBy(terms, ctx, 'deadline_before_start');
  }
  ctx.ledger.open(call.id, terms.allowance);
  ctx.decide({ request: terms.request, attempt: call.id, step: 'gate', cls: terms.className, target: terms.target, reason: 'started' });
  const end = yield* perform('forward', { attempt: call.id, payload, entry: call.id, deadline });
  const now = monotonicMs();
  const summary = ctx.ledger.close(call.id, now) ?? kNoSummary;
  ctx.below.update(terms.className, summary.level, now);
  const refusal = provenRefusal(end, summary);
  gate.callEnded(call.id, gateEnd(refusal, now - startedAt, summary));
  return offerEnd(end, summary, refusal, { gate, service: terms.service });
}

function gateEnd(refusal: ErrorKind | undefined, totalMs: number, summary: LedgerSummary): GateResult {
  if (refusal === 'target_shed') {
    return { kind: 'shed_by_target' };
  }
  return refusal ? { kind: 'not_run' } : { kind: 'completed', totalMs, selfMs: Math.max(0, totalMs - summary.waitedMs) };
}

const kNoSummary: LedgerSummary = { unspent: 0, level: kOpenReport, retriedBelow: false, downstreamCalls: 0, waitedMs: 0 };

/**
 * Reason for which a call that was sent provably did not run. A target sheds with 429 or 503 and `Retry-After`; that
 * counts only for a call for which it made no onward call.
 */
function provenRefusal(end: ForwardEnd, summary: LedgerSummary): ErrorKind | undefined {
  if (end.kind === 'lost' && !end.written) {
    return 'no_target';
  }
  const shed = end.kind === 'answered' && kShedStatuses.has(end.answer.status) && 'retry-after' in end.answer.headers;
  return shed && summary.downstreamCalls === 0 ? 'target_shed' : undefined;
}

function offerEnd(end: ForwardEnd, summary: LedgerSummary, refusal: ErrorKind | undefined, at: GateOfService): OfferEnd {
  const common = { unspent: summary.unspent, level: tighterReport(summary.level, levelOf(at)), load: loadOf(at.gate) };
  const failed = (reason: ErrorKind): OfferEnd => ({ kind: 'failed', reason, retriedBelow: summary.retriedBelow, ...common });
  if (refusal) {
    return { kind: 'refused', reason: refusal, ...common };
  }
  switch (end.kind) {
    case 'answered':
      return { kind: 'answered', answer: end.answer, retriedBelow: summary.retriedBelow, ...common };
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

function refusedBy(terms: OfferTerms, ctx: GateContext, reason: ErrorKind): OfferEnd {
  const { gate } = ctx;
  ctx.decide({ request: terms.request, attempt: terms.attempt, step: 'gate', cls: terms.className, target: terms.target, reason });
  return {
    kind: 'refused',
    reason,
    unspent: terms.allowance,
    level: gate ? tighterReport(levelBelow(terms, ctx), levelOf({ gate, service: terms.service })) : kOpenReport,
    load: gate ? loadOf(gate) : undefined,
  };
}

/** Tightest level that calls of this class met below the target. */
function levelBelow(terms: OfferTerms, ctx: GateContext): LevelReport {
  const service = ctx.below.restrictingService(terms.className);
  return service === undefined ? kOpenReport : { level: ctx.below.level(terms.className, monotonicMs()), service };
}

interface GateOfService {
  gate: Gate<GateCall>;
  service: string;
}

function levelOf({ gate, service }: GateOfService): LevelReport {
  return { level: gate.level, service };
}

function loadOf(gate: Gate<GateCall>): GateLoad {
  return { load: gate.inFlight + gate.queued, limit: gate.limit };
}
