/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Settles which daemon may run a keyed call, before its first run.
 *
 * For own keys, the first claim in the log decides. For minted and derived keys, one daemon decides from its in-memory state. A
 * daemon that cannot prove its right to run the call does not run it.
 */

import type { ClaimRecord } from '@gentiandrum/protocol';
import type { KeyBid, KeyVerdict } from '../claims/keySettler.js';
import { errorResponse, type ErrorKind } from '../errors/errorKind.js';
import { monotonicMs } from '../util/clock.js';
import type { Call, ServeContext } from './callContext.js';
import { claimInLog, type ClaimedInLog } from './claimInLog.js';
import { type FetchResult, perform, type Procedure } from './effects.js';
import { errorResult, type ServeResult } from './serveResult.js';

/** The right to run a call under a nonce, or the call's result. */
export type SettleResult = { kind: 'run'; nonce?: string } | { kind: 'done'; served: ServeResult };

/** Settles the right to run a call. Calls without a key and idempotent calls may always run. */
export function* settleCall(call: Call, ctx: ServeContext): Procedure<SettleResult> {
  const { key } = call;
  if (key.kind === 'none') {
    return { kind: 'run' };
  }
  const state = ctx.responses.get(key.key);
  const nonce = state?.kind === 'abandoned' ? state.nonce : ctx.newId();
  ctx.responses.begin(key.key, call.bodyDigest);
  if (call.cls.idempotent) {
    return { kind: 'run', nonce };
  }
  switch (key.kind) {
    case 'own':
      return yield* settleOwn(call, ctx, key.key, nonce);
    case 'minted':
      return yield* settleMinted(call, ctx, key, nonce);
    case 'derived':
      return yield* settleDerived(call, ctx, key.key, nonce);
  }
}

/** Checks this daemon's own state of the key: a repeat joins the running call or returns its recorded result. */
export function* joinKnown(call: Call, ctx: ServeContext): Procedure<ServeResult | undefined> {
  const key = keyText(call);
  const state = ctx.responses.get(key);
  if (!state) {
    return undefined;
  }
  if (state.body !== call.bodyDigest) {
    return refusal(call, ctx, 'key_mismatch', 'The key was used with another request.');
  }
  switch (state.kind) {
    case 'answered':
      logDecision(call, ctx, 'join', 'recorded answer');
      return state.served;
    case 'forgotten':
      return refusal(call, ctx, 'outcome_unknown', 'The call ran; its answer is no longer kept.');
    case 'running': {
      logDecision(call, ctx, 'join', 'running here');
      const served = yield* perform('joinRunning', { key, until: call.deadline });
      return served ?? errorResult('outcome_unknown', 'unknown', 'The first run of this key gave no answer in time.');
    }
    case 'releasing':
      return refusal(call, ctx, 'log_unavailable', 'The earlier claim of this key is being released.');
    case 'abandoned':
      return undefined;
  }
}

function* settleOwn(call: Call, ctx: ServeContext, key: string, nonce: string): Procedure<SettleResult> {
  const claimed = yield* claim(makeClaim(call, ctx, key, nonce), ctx);
  if (claimed.kind === 'unavailable') {
    return abandonCall(call, ctx, nonce, 'log_unavailable', claimed.detail);
  }
  const { holder } = claimed;
  if (holder.nonce === nonce) {
    return startWithNonce(call, ctx, nonce, 'claimed by log order');
  }
  if (holder.body !== call.bodyDigest) {
    return dropCall(call, ctx, 'key_mismatch', 'The key was used with another request.');
  }
  return yield* fetchFromHolder(call, ctx, holder);
}

/** Claims a key through the daemon that batches claims for the shard, or directly if that daemon is unreachable. */
function* claim(record: ClaimRecord, ctx: ServeContext): Procedure<ClaimedInLog> {
  const { shard, index, relay } = ctx.claimShard(record.key);
  if (relay !== undefined) {
    const relayed = yield* perform('relayClaim', { to: relay, shard, record });
    switch (relayed.kind) {
      case 'holder':
        return relayed;
      case 'unavailable':
        return { kind: 'unavailable', detail: 'The log could not settle the claim.' };
      case 'unreachable':
        break;
    }
  }
  return yield* claimInLog(record, shard, index);
}

function* settleMinted(
  call: Call,
  ctx: ServeContext,
  key: Extract<Call['key'], { kind: 'minted' }>,
  nonce: string,
): Procedure<SettleResult> {
  if (key.owner === ctx.daemon.id && key.incarnation === ctx.daemon.incarnation) {
    const verdict = ctx.settler.settleMinted(makeBid(call, ctx, key.key, nonce));
    return yield* applyVerdict(call, ctx, nonce, verdict);
  }
  const { address, incarnation } = key;
  const bid = makeBid(call, ctx, key.key, nonce);
  const verdict = yield* perform('settleKey', { to: address, incarnation, bid });
  if (verdict.kind === 'unreachable') {
    return abandonCall(call, ctx, nonce, 'outcome_unknown', 'The daemon that minted the key is unreachable.');
  }
  return yield* applyVerdict(call, ctx, nonce, verdict);
}

function* settleDerived(call: Call, ctx: ServeContext, key: string, nonce: string): Procedure<SettleResult> {
  const { chain } = call;
  const bid = makeBid(call, ctx, key, nonce);
  if (chain.rootDaemon === ctx.daemon.id && chain.rootIncarnation === ctx.daemon.incarnation) {
    return yield* applyVerdict(call, ctx, nonce, ctx.settler.settleDerived(chain.root, bid));
  }
  const verdict = yield* perform('settleKey', { to: chain.rootAddress, incarnation: chain.rootIncarnation, bid, root: chain.root });
  if (verdict.kind === 'unreachable') {
    return abandonCall(call, ctx, nonce, 'settler_unreachable', 'The daemon where the request entered is unreachable.');
  }
  return yield* applyVerdict(call, ctx, nonce, verdict);
}

function* applyVerdict(call: Call, ctx: ServeContext, nonce: string, verdict: KeyVerdict): Procedure<SettleResult> {
  switch (verdict.kind) {
    case 'granted':
      return startWithNonce(call, ctx, nonce, 'granted by settler');
    case 'held':
      return yield* fetchFromHolder(call, ctx, { claimant: verdict.holder, address: verdict.address });
    case 'mismatch':
      return dropCall(call, ctx, 'key_mismatch', 'The key was used with another request.');
    case 'unknown':
      return dropCall(call, ctx, 'outcome_unknown', 'The key is not known where it is settled.');
  }
}

/** Grants the run after another check of the deadline, because the process may have been paused while the key was settled. */
function startWithNonce(call: Call, ctx: ServeContext, nonce: string, reason: string): SettleResult {
  if (monotonicMs() >= call.deadline) {
    return abandonCall(call, ctx, nonce, 'deadline_before_start', 'The deadline passed before the key was settled.');
  }
  logDecision(call, ctx, 'settle', reason);
  return { kind: 'run', nonce };
}

function* fetchFromHolder(call: Call, ctx: ServeContext, holder: { claimant: string; address: string }): Procedure<SettleResult> {
  logDecision(call, ctx, 'join', `held by ${holder.claimant}`);
  const { claimant, address } = holder;
  const key = keyText(call);
  const fetched = yield* perform('fetchAnswer', { address, claimant, key, body: call.bodyDigest, until: call.deadline });
  const served = resultOfFetch(fetched);
  ctx.responses.drop(key, served);
  return { kind: 'done', served };
}

function resultOfFetch(fetched: FetchResult): ServeResult {
  switch (fetched.kind) {
    case 'recorded':
      return fetched.served;
    case 'not_run':
      return errorResult('log_unavailable', 'not_run', 'The earlier claim of this key was given up; its release is on the way.');
    case 'mismatch':
      return errorResult('key_mismatch', 'not_run', 'The key was used with another request.');
    case 'running':
      return errorResult('outcome_unknown', 'unknown', 'The first run of this key has not ended.');
    case 'unknown':
    case 'unreachable':
      return errorResult('outcome_unknown', 'unknown', 'The daemon that ran this key cannot tell its answer.');
  }
}

/**
 * Abandons a call whose claim was granted or may still be appended. Keeps the nonce, so that a repeat at this daemon can reuse the claim.
 */
function abandonCall(call: Call, ctx: ServeContext, nonce: string, error: ErrorKind, detail: string): SettleResult {
  const settled = refuse(call, ctx, error, detail);
  ctx.responses.abandon(keyText(call), { body: call.bodyDigest, nonce }, settled.served);
  return settled;
}

/** Refuses a call that may not run under its key and removes the key's local state. */
function dropCall(call: Call, ctx: ServeContext, error: ErrorKind, detail: string): SettleResult {
  const settled = refuse(call, ctx, error, detail);
  ctx.responses.drop(keyText(call), settled.served);
  return settled;
}

function refuse(call: Call, ctx: ServeContext, error: ErrorKind, detail: string): Extract<SettleResult, { kind: 'done' }> {
  return { kind: 'done', served: refusal(call, ctx, error, detail) };
}

function refusal(call: Call, ctx: ServeContext, error: ErrorKind, detail: string): ServeResult {
  logDecision(call, ctx, 'refuse', error);
  return errorResult(error, errorResponse(error).outcome, detail);
}

function logDecision(call: Call, ctx: ServeContext, step: 'refuse' | 'settle' | 'join', reason: string): void {
  ctx.logDecision({ request: call.id, step, cls: call.cls.name, reason });
}

function keyText(call: Call): string {
  return call.key.kind === 'none' ? '' : call.key.key;
}

function makeClaim(call: Call, ctx: ServeContext, key: string, nonce: string): ClaimRecord {
  return { key, nonce, claimant: `${ctx.daemon.id}/${ctx.daemon.incarnation}`, address: ctx.daemon.address, body: call.bodyDigest };
}

function makeBid(call: Call, ctx: ServeContext, key: string, nonce: string): KeyBid {
  return { key, body: call.bodyDigest, claimant: `${ctx.daemon.id}/${ctx.daemon.incarnation}/${nonce}`, address: ctx.daemon.address };
}
