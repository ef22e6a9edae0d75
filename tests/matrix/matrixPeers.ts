/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Requests about keys between daemons of the matrix. */

import { type Effect, isSettled, answerResponseQuery, releaseClaim, type Reply, type ServeResult } from '@gentiandrum/core';
import type { Fault } from './faults.js';
import { kClaimStream } from './matrixLog.js';
import type { MatrixDaemon } from './matrixDaemon.js';
import type { MatrixWorld } from './matrixWorld.js';
import type { Resume } from './eventQueue.js';

const kLostReplyMs = 20;
const kWorkMs = 5;

type EffectOf<K extends Effect['type']> = Extract<Effect, { type: K }>;
type ReplyLater = (value: Reply, ms?: number) => void;

/** Handles requests about keys, with injected faults. */
export class MatrixPeers {
  private readonly _rivalRuns = new Set<string>();

  constructor(private readonly _world: MatrixWorld) {}

  /** Appends a claim at the relay daemon and reads back the holder. */
  relayClaim(effect: EffectOf<'relayClaim'>, reply: ReplyLater, fault: Fault | undefined): void {
    const relay = this._world.daemon(effect.to);
    if (fault === 'refused') {
      reply({ kind: 'unavailable' });
      return;
    }
    if (fault === 'lost_before' || relay.crashed) {
      reply({ kind: 'unreachable' }, kLostReplyMs);
      return;
    }
    if (fault === 'rival') {
      this._world.log.appendRivalClaim(effect.record);
    }
    const records = this._world.log.stream(kClaimStream);
    records.push([structuredClone(effect.record)]);
    records.forEach((value, offset) => {
      relay.index.apply(offset, value);
    });
    if (fault === 'peer_crash') {
      relay.crash();
    }
    const holder = relay.index.holder(effect.record.key);
    const answered = holder && fault !== 'lost_after' && fault !== 'peer_crash';
    reply(answered ? { kind: 'holder', holder } : { kind: 'unreachable' });
  }

  /** Settles a key at the daemon that is responsible for it. */
  settleKey(effect: EffectOf<'settleKey'>, reply: ReplyLater, fault: Fault | undefined): void {
    const settler = this._world.daemon(effect.to);
    if (fault === 'lost_before' || settler.crashed) {
      reply({ kind: 'unreachable' }, kLostReplyMs);
      return;
    }
    const { bid, root, incarnation } = effect;
    const settle = (candidateBid: typeof bid): Reply =>
      root === undefined ? settler.settler.settleMinted(candidateBid) : settler.settler.settleDerived(root, candidateBid);
    if (fault === 'rival' && (settle({ ...bid, claimant: 'rival/1', address: 'rival' }) as { kind: string }).kind === 'granted') {
      this._recordRivalRunOnce(bid.key);
    }
    const verdict = incarnation === settler.incarnation ? settle(bid) : ({ kind: 'unknown' } as const);
    if (fault === 'peer_crash') {
      settler.crash();
    }
    reply(fault === 'lost_after' || fault === 'peer_crash' ? { kind: 'unreachable' } : verdict);
  }

  /** Returns the result of a key from its claimant; waits while the call runs. */
  fetchAnswer(effect: EffectOf<'fetchAnswer'>, reply: ReplyLater, fault: Fault | undefined): void {
    const { address, key, body, claimant } = effect;
    if (fault === 'lost_before' || fault === 'lost_after') {
      reply({ kind: 'unreachable' }, kLostReplyMs);
      return;
    }
    if (address === 'rival') {
      const answer = { status: 200, headers: {}, body: Buffer.from(`answer to ${body}`) };
      reply(fault === 'peer_crash' ? { kind: 'unreachable' } : { kind: 'recorded', served: { kind: 'answer', answer } });
      return;
    }
    const holder = this._world.daemon(address);
    if (fault === 'peer_crash') {
      holder.crash();
    }
    if (holder.crashed) {
      reply({ kind: 'unreachable' });
      return;
    }
    if (holder.responses.get(key)?.kind === 'running' && this._world.time.now < effect.until) {
      this._world.time.after(kWorkMs, () => {
        this.fetchAnswer(effect, reply, undefined);
      });
      return;
    }
    const found = answerResponseQuery(holder.responses, { key, body, claimant }, holder.name);
    if (found.kind === 'not_run' && !isSettled(claimant, holder.name)) {
      const release = { key, shard: 0, claimant: holder.name, address };
      this._world.run(holder, releaseClaim(release, holder.responses), () => undefined);
    }
    reply(found);
  }

  /** Waits for the running call of a key, up to the timeout. */
  joinRunning(daemon: MatrixDaemon, effect: EffectOf<'joinRunning'>, resume: Resume, fault: Fault | undefined): void {
    let pending = true;
    const finish = (served: ServeResult | undefined): void => {
      if (pending) {
        pending = false;
        resume(served);
      }
    };
    if (fault !== 'timeout') {
      daemon.responses.wait(effect.key, finish);
    }
    this._world.time.after(effect.until - this._world.time.now, () => {
      finish(undefined);
    });
  }

  /** Records the rival's run once, because a repeated bid of the rival is granted again. */
  private _recordRivalRunOnce(key: string): void {
    if (!this._rivalRuns.has(key)) {
      this._rivalRuns.add(key);
      this._world.log.recordRivalRun(key);
    }
  }
}
