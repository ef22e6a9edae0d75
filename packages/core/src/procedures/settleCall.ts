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

/** Maximum number of bids for one key, of which those after the first replace claims that were given up, or repeat a bid without an answer. */
const kMaxBids = 3;

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
  const replaces = state?.kind === 'given_up' ? claimantOf(ctx, state.nonce) : undefined;
  ctx.responses.begin(key.key, call.bodyDigest);
  if (call.cls.idempotent) {
    return { kind: 'run', nonce };
  }
  switch (key.kind) {
    case 'own':
      return yield* settleOwn(call, ctx, key.key, nonce);
    case 'minted':
      return yield* settleAtDaemon(call, ctx, { nonce, replaces, bid: (bid) => bidForMinted(ctx, key, bid) });
    case 'derived':
      return yield* settleAtDaemon(call, ctx, { nonce, replaces, bid: (bid) => bidForDerived(ctx, call.chain, bid) });
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
    case 'given_up':
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

type BidResult = KeyVerdict | { kind: 'unreachable' };

/** A bid for a key that a daemon settles from memory. */
interface SettledBid {
  nonce: string;
  /** Claimant that has given up its claim; undefined if none is known. */
  replaces: string | undefined;
  bid: (bid: KeyBid) => Procedure<BidResult>;
}

/**
 * Bids for a key. If its holder has given up its claim without a run, as after a bid whose answer came too late for it, bids again to replace
 * the claim: no call would ever run under it.
 */
function* settleAtDaemon(call: Call, ctx: ServeContext, { nonce, replaces, bid }: SettledBid): Procedure<SettleResult> {
  let replaced = replaces;
  for (let bids = 0; bids < kMaxBids; bids++) {
    const verdict = yield* bid({ ...makeBid(call, ctx, nonce), replaces: replaced });
    if (verdict.kind === 'unreachable') {
      // The settler may only have been slow. A repeated bid gets the same verdict.
      if (call.key.kind === 'derived' && bids + 1 < kMaxBids && monotonicMs() < call.deadline) {
        continue;
      }
      return abandonUnreachable(call, ctx, nonce);
    }
    if (verdict.kind !== 'held') {
      return applyVerdict(call, ctx, nonce, verdict);
    }
    const { holder: claimant, address } = verdict;
    if (claimant.startsWith(claimantOf(ctx, ''))) {
      return dropCall(call, ctx, 'outcome_unknown', 'This daemon held the key before, and no longer knows the answer.');
    }
    const fetched = yield* askHolder(call, ctx, { claimant, address });
    if (fetched.kind !== 'not_run') {
      return doneWith(call, ctx, resultOfFetch(fetched));
    }
    replaced = claimant;
  }
  return doneWith(call, ctx, resultOfFetch({ kind: 'not_run' }));
}

function* bidForMinted(ctx: ServeContext, key: Extract<Call['key'], { kind: 'minted' }>, bid: KeyBid): Procedure<BidResult> {
  const { owner, address, incarnation } = key;
  if (owner === ctx.daemon.id && incarnation === ctx.daemon.incarnation) {
    return ctx.settler.settleMinted(bid);
  }
  return yield* perform('settleKey', { to: address, incarnation, bid });
}

function* bidForDerived(ctx: ServeContext, chain: Call['chain'], bid: KeyBid): Procedure<BidResult> {
  const { root, rootDaemon, rootAddress, rootIncarnation } = chain;
  if (rootDaemon === ctx.daemon.id && rootIncarnation === ctx.daemon.incarnation) {
    return ctx.settler.settleDerived(root, bid);
  }
  return yield* perform('settleKey', { to: rootAddress, incarnation: rootIncarnation, bid, root });
}

function abandonUnreachable(call: Call, ctx: ServeContext, nonce: string): SettleResult {
  return call.key.kind === 'minted'
    ? abandonCall(call, ctx, nonce, 'outcome_unknown', 'The daemon that minted the key is unreachable.')
    : abandonCall(call, ctx, nonce, 'settler_unreachable', 'The daemon where the request entered is unreachable.');
}

function applyVerdict(call: Call, ctx: ServeContext, nonce: string, verdict: Exclude<KeyVerdict, { kind: 'held' }>): SettleResult {
  switch (verdict.kind) {
    case 'granted':
      return startWithNonce(call, ctx, nonce, 'granted by settler');
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

/** Daemon that holds a key, and its address. */
interface KeyHolder {
  claimant: string;
  address: string;
}

function* fetchFromHolder(call: Call, ctx: ServeContext, holder: KeyHolder): Procedure<SettleResult> {
  return doneWith(call, ctx, resultOfFetch(yield* askHolder(call, ctx, holder)));
}

function* askHolder(call: Call, ctx: ServeContext, { claimant, address }: KeyHolder): Procedure<FetchResult> {
  logDecision(call, ctx, 'join', `held by ${claimant}`);
  return yield* perform('fetchAnswer', { address, claimant, key: keyText(call), body: call.bodyDigest, until: call.deadline });
}

function doneWith(call: Call, ctx: ServeContext, served: ServeResult): SettleResult {
  ctx.responses.drop(keyText(call), served);
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

function makeBid(call: Call, ctx: ServeContext, nonce: string): KeyBid {
  return { key: keyText(call), body: call.bodyDigest, claimant: claimantOf(ctx, nonce), address: ctx.daemon.address };
}

function claimantOf({ daemon }: ServeContext, nonce: string): string {
  return `${daemon.id}/${daemon.incarnation}/${nonce}`;
}
