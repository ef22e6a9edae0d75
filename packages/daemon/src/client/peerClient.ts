/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Calls to other daemons over connect. */

import { create } from '@bufbuild/protobuf';
import { type Client, createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import type { FetchResult, KeyBid, KeyVerdict, Member, RelayResult, Suspicion } from '@gentiandrum/core';
import type { ClaimRecord } from '@gentiandrum/protocol';
import {
  ClaimSchema,
  FetchAnswerResponse_State as AnswerState,
  type FetchConfigResponse,
  PeerService,
  SettleKeyResponse_Verdict as Verdict,
} from '@gentiandrum/protocol/peers';
import { Agent } from 'node:http';
import { decodeMember, decodeServeResult, decodeSuspicion, encodeMember } from '../app/peerCodec.js';

const kTimeoutMs = 500;
const kClaimTimeoutMs = 2_000;
const kMaxClients = 1_000;

/** What a ping brings back. */
export interface Pong {
  configVersion: number;
  changes: Member[];
  /** Offers of the answering daemon at the pinging one that have no end yet. */
  openOffers: number;
}

/** Client of the other daemons. */
export class PeerClient {
  private readonly _agent = new Agent({ keepAlive: true, maxSockets: 4, maxFreeSockets: 1, timeout: 30_000 });
  private readonly _clients = new Map<string, Client<typeof PeerService>>();

  /** Pings a daemon; undefined when it doesn't answer. */
  async ping(address: string, msg: { from: string; to: string; configVersion: number; changes: Member[] }): Promise<Pong | undefined> {
    const req = { from: msg.from, to: msg.to, configVersion: BigInt(msg.configVersion), changes: msg.changes.map(encodeMember) };
    const res = await quiet(this._to(address).ping(req, { timeoutMs: kTimeoutMs }));
    return res && { configVersion: Number(res.configVersion), changes: res.changes.map(decodeMember), openOffers: res.openOffers };
  }

  /** Asks for the configuration records from an offset on. */
  fetchConfig(address: string, next: number): Promise<FetchConfigResponse | undefined> {
    return quiet(this._to(address).fetchConfig({ next: BigInt(next) }, { timeoutMs: kTimeoutMs * 2 }));
  }

  /** Asks for all members that a daemon knows. */
  async fetchMembers(address: string): Promise<Member[] | undefined> {
    const res = await quiet(this._to(address).fetchMembers({}, { timeoutMs: kTimeoutMs }));
    return res?.members.map(decodeMember);
  }

  /** Bids for a key where it is settled. */
  async settleKey(address: string, bid: KeyBid, incarnation: number, root: string): Promise<KeyVerdict | { kind: 'unreachable' }> {
    const res = await quiet(this._to(address).settleKey({ bid, settlerIncarnation: BigInt(incarnation), root }, { timeoutMs: kTimeoutMs }));
    switch (res?.verdict) {
      case undefined:
        return { kind: 'unreachable' };
      case Verdict.GRANTED:
        return { kind: 'granted' };
      case Verdict.HELD:
        return { kind: 'held', holder: res.holder, address: res.holderAddress };
      case Verdict.MISMATCH:
        return { kind: 'mismatch' };
      case Verdict.UNKNOWN:
      case Verdict.UNSPECIFIED:
        return { kind: 'unknown' };
    }
  }

  /** Has another daemon append a claim. */
  async relayClaim(address: string, shard: number, record: ClaimRecord): Promise<RelayResult> {
    const claim = create(ClaimSchema, record);
    const res = await quiet(this._to(address).relayClaim({ shard, claim }, { timeoutMs: kClaimTimeoutMs }));
    if (!res) {
      return { kind: 'unreachable' };
    }
    if (!res.holder) {
      return { kind: 'unavailable' };
    }
    const { key, nonce, claimant, address: holderAddress, body } = res.holder;
    return { kind: 'holder', holder: { key, nonce, claimant, address: holderAddress, body } };
  }

  /** Asks the claimant of a key for its answer. */
  async fetchAnswer(address: string, ask: { key: string; body: string; claimant: string; waitMs: number }): Promise<FetchResult> {
    const { key, body, claimant } = ask;
    const waitMs = Math.max(0, Math.floor(ask.waitMs));
    const req = { key, bodyDigest: body, claimant, waitMs };
    const res = await quiet(this._to(address).fetchAnswer(req, { timeoutMs: kTimeoutMs + waitMs }));
    switch (res?.state) {
      case undefined:
        return { kind: 'unreachable' };
      case AnswerState.RECORDED:
        return { kind: 'recorded', served: decodeServeResult(res.served, res.body) };
      case AnswerState.RUNNING:
        return { kind: 'running' };
      case AnswerState.MISMATCH:
        return { kind: 'mismatch' };
      case AnswerState.NOT_RUN:
        return { kind: 'not_run' };
      case AnswerState.UNKNOWN:
      case AnswerState.UNSPECIFIED:
        return { kind: 'unknown' };
    }
  }

  /** Tells of kinds that targets may have ended by; returns what the other daemon knows. */
  async tellSuspects(address: string, suspects: readonly Suspicion[]): Promise<Suspicion[] | undefined> {
    const told = suspects.map((suspicion) => ({ ...suspicion, marks: [...suspicion.marks] }));
    const res = await quiet(this._to(address).tellSuspects({ suspects: told }, { timeoutMs: kTimeoutMs }));
    return res?.suspects.map(decodeSuspicion);
  }

  /** Ends all connections. */
  close(): void {
    this._agent.destroy();
  }

  private _to(address: string): Client<typeof PeerService> {
    let client = this._clients.get(address);
    if (!client) {
      const transport = createConnectTransport({
        baseUrl: `http://${address}`,
        httpVersion: '1.1',
        useBinaryFormat: true,
        nodeOptions: { agent: this._agent },
        acceptCompression: [],
      });
      client = createClient(PeerService, transport);
      this._clients.set(address, client);
      this._trim();
    }
    return client;
  }

  private _trim(): void {
    const oldest = this._clients.keys().next();
    if (this._clients.size > kMaxClients && !oldest.done) {
      this._clients.delete(oldest.value);
    }
  }
}

/** An unreachable peer is an everyday answer here, not an error. */
async function quiet<T>(answer: Promise<T>): Promise<T | undefined> {
  try {
    return await answer;
  } catch {
    return undefined;
  }
}
