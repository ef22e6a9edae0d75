/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Serves a call at the daemon that received it from an external caller or from the local target. */

import { kMaxChainDepth } from '@gentiandrum/protocol';
import { kOpenReport } from '../admission/levelReport.js';
import { rankOf } from '../admission/rank.js';
import { errorResponse, type ErrorKind } from '../errors/errorKind.js';
import { monotonicMs } from '../util/clock.js';
import type { Call, OverloadDetail, ServeContext, ServedCall } from './callContext.js';
import type { Procedure } from './effects.js';
import { runAttempts } from './runAttempts.js';
import { errorResult, type ServeResult } from './serveResult.js';
import { joinKnown, settleCall } from './settleCall.js';

/** Serves a call and returns its result. A root request opens its chain; a downstream call takes a share of its parent's allowance. */
export function* serveCall(call: Call, ctx: ServeContext): Procedure<ServeResult> {
  const { parent, root } = call.chain;
  if (parent === undefined) {
    ctx.settler.openRoot(root);
    const { served, level } = yield* serveSettled(call, ctx, call.cls.retries);
    ctx.settler.closeRoot(root);
    ctx.rootFilter.update(call.cls.name, level, monotonicMs());
    return served;
  }
  const share = ctx.ledger.reserve(parent);
  ctx.ledger.beginDownstreamCall(parent, monotonicMs());
  const { served, unspent, level, final } = yield* serveSettled(call, ctx, share);
  ctx.ledger.endDownstreamCall(parent, monotonicMs(), { unspent, level, final });
  return served;
}

function* serveSettled(call: Call, ctx: ServeContext, allowance: number): Procedure<ServedCall> {
  const known = yield* joinKnown(call, ctx);
  if (known) {
    return resultWithoutRun(limitToThisTry(call, known), allowance);
  }
  const refusal = refuseEarly(call, ctx);
  if (refusal) {
    return resultWithoutRun(limitToThisTry(call, refusedResult(call, ctx, refusal)), allowance, refusal);
  }
  const settled = yield* settleCall(call, ctx);
  if (settled.kind === 'done') {
    return resultWithoutRun(limitToThisTry(call, settled.served), allowance);
  }
  const result = yield* runAttempts(call, ctx, allowance);
  if (call.key.kind !== 'none') {
    recordResult(call, ctx, call.key.key, settled.nonce ?? '', result.served);
  }
  return result;
}

/** Reason to refuse a call before its key is settled; undefined when it may proceed. */
function refuseEarly(call: Call, ctx: ServeContext): ErrorKind | undefined {
  const now = monotonicMs();
  const { chain, cls } = call;
  if (chain.depth > kMaxChainDepth) {
    return 'chain_too_deep';
  }
  if (now >= call.deadline) {
    return 'deadline_before_start';
  }
  const fromTarget = chain.parent !== undefined || chain.depth > 0;
  if (ctx.stopping() && (!fromTarget || call.deadline > ctx.exitAt())) {
    return 'stopping';
  }
  if (fromTarget) {
    return undefined;
  }
  const restrictingService = ctx.rootFilter.restrictingService(cls.name);
  if (restrictingService !== undefined && ctx.candidates(restrictingService).length === 0) {
    return 'no_target';
  }
  return ctx.rootFilter.admits(cls.name, rankOf(chain), now) ? undefined : 'overloaded';
}

function refusedResult(call: Call, ctx: ServeContext, error: ErrorKind): ServeResult {
  const overload = error === 'overloaded' ? overloadDetail(call, ctx) : undefined;
  ctx.logDecision({ request: call.id, step: 'refuse', cls: call.cls.name, reason: error, overload });
  return errorResult(error, errorResponse(error).outcome, 'Refused before the first hop.');
}

function overloadDetail({ chain, cls }: Call, { rootFilter }: ServeContext): OverloadDetail {
  const level = Math.round(rootFilter.level(cls.name, monotonicMs()));
  return { rank: rankOf(chain), level, service: rootFilter.restrictingService(cls.name) ?? '' };
}

function resultWithoutRun(served: ServeResult, unspent: number, refusal?: ErrorKind): ServedCall {
  return { served, unspent, level: kOpenReport, final: refusal === 'overloaded' };
}

/** Marks a `not_run` error as valid for this try only if the holder of the key was not settled: an earlier try may have run elsewhere. */
function limitToThisTry(call: Call, served: ServeResult): ServeResult {
  const settledElsewhere = call.key.kind === 'own' || call.key.kind === 'minted';
  const unsettled = served.kind === 'error' && served.outcome === 'not_run' && served.error !== 'key_mismatch';
  return settledElsewhere && unsettled ? { ...served, thisTryOnly: true } : served;
}

/** Records the result of a keyed call for its repeats. A call that provably did not run may be repeated under its claim. */
function recordResult(call: Call, ctx: ServeContext, key: string, nonce: string, served: ServeResult): void {
  const notRun = served.kind === 'error' && served.outcome === 'not_run';
  if (notRun) {
    ctx.responses.abandon(key, { body: call.bodyDigest, nonce }, served);
    return;
  }
  if (call.cls.idempotent && served.kind === 'error') {
    ctx.responses.drop(key, served);
    return;
  }
  ctx.responses.record(key, served);
}
