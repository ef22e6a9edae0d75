/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Client of the peer service of other daemons, over Connect. A failed request yields undefined or `unreachable`. */

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
import { decodeMember, decodeServeResult, decodeSuspicion, encodeMember, encodeSuspicion } from '../app/peerCodec.js';

const kRequestTimeoutMs = 500;
const kClaimTimeoutMs = 2_000;
const kMaxClients = 1_000;

/** Response to a ping. */
export interface Pong {
  configVersion: number;
  changes: Member[];
  /** Offers from the responding daemon to the pinging one that have no result yet. */
  openOffers: number;
  /** Digest of the suspicions that the responding daemon knows. */
  suspectsDigest: number;
}

export class PeerClient {
  private readonly _agent = new Agent({ keepAlive: true, maxSockets: 4, maxFreeSockets: 1, timeout: 30_000 });
  private readonly _clients = new Map<string, Client<typeof PeerService>>();

  /** Sends a ping with membership changes. */
  async ping(address: string, msg: { from: string; to: string; configVersion: number; changes: Member[] }): Promise<Pong | undefined> {
    const req = { ...msg, configVersion: BigInt(msg.configVersion), changes: msg.changes.map(encodeMember) };
    const res = await undefinedOnError(this._clientFor(address).ping(req, { timeoutMs: kRequestTimeoutMs }));
    return res && { ...res, configVersion: Number(res.configVersion), changes: res.changes.map(decodeMember) };
  }

  /** Requests the configuration records from an offset on. */
  fetchConfig(address: string, next: number): Promise<FetchConfigResponse | undefined> {
    return undefinedOnError(this._clientFor(address).fetchConfig({ next: BigInt(next) }, { timeoutMs: kRequestTimeoutMs * 2 }));
  }

  /** Requests all members that a daemon knows. */
  async fetchMembers(address: string): Promise<Member[] | undefined> {
    const res = await undefinedOnError(this._clientFor(address).fetchMembers({}, { timeoutMs: kRequestTimeoutMs }));
    return res?.members.map(decodeMember);
  }

  /** Bids for a key at the daemon that settles it. */
  async settleKey(address: string, bid: KeyBid, incarnation: number, root: string): Promise<KeyVerdict | { kind: 'unreachable' }> {
    const res = await undefinedOnError(
      this._clientFor(address).settleKey({ bid, settlerIncarnation: BigInt(incarnation), root }, { timeoutMs: kRequestTimeoutMs }),
    );
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

  /** Requests that another daemon append a claim. */
  async relayClaim(address: string, shard: number, record: ClaimRecord): Promise<RelayResult> {
    const claim = create(ClaimSchema, record);
    const res = await undefinedOnError(this._clientFor(address).relayClaim({ shard, claim }, { timeoutMs: kClaimTimeoutMs }));
    if (!res) {
      return { kind: 'unreachable' };
    }
    if (!res.holder) {
      return { kind: 'unavailable' };
    }
    const { key, nonce, claimant, address: holderAddress, body } = res.holder;
    return { kind: 'holder', holder: { key, nonce, claimant, address: holderAddress, body } };
  }

  /** Requests the recorded response of a call from the claimant of its key, waiting up to `waitMs` for a call in flight. */
  async fetchAnswer(address: string, query: { key: string; body: string; claimant: string; waitMs: number }): Promise<FetchResult> {
    const { key, body, claimant } = query;
    const waitMs = Math.max(0, Math.floor(query.waitMs));
    const req = { key, bodyDigest: body, claimant, waitMs };
    const res = await undefinedOnError(this._clientFor(address).fetchAnswer(req, { timeoutMs: kRequestTimeoutMs + waitMs }));
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

  /** Reports request fingerprints suspected of crashing targets; returns the suspects that the other daemon knows. */
  async tellSuspects(address: string, suspects: readonly Suspicion[]): Promise<Suspicion[] | undefined> {
    const encoded = suspects.map(encodeSuspicion);
    const res = await undefinedOnError(this._clientFor(address).tellSuspects({ suspects: encoded }, { timeoutMs: kRequestTimeoutMs }));
    return res?.suspects.map(decodeSuspicion);
  }

  /** Closes all connections. */
  close(): void {
    this._agent.destroy();
  }

  private _clientFor(address: string): Client<typeof PeerService> {
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
      this._evictOldest();
    }
    return client;
  }

  private _evictOldest(): void {
    const oldest = this._clients.keys().next();
    if (this._clients.size > kMaxClients && !oldest.done) {
      this._clients.delete(oldest.value);
    }
  }
}

/** Maps a failed request to undefined: callers expect that a peer may be unreachable. */
async function undefinedOnError<T>(response: Promise<T>): Promise<T | undefined> {
  try {
    return await response;
  } catch {
    return undefined;
  }
}
