/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Server side of the peer service, over Connect. */

import { create } from '@bufbuild/protobuf';
import type { ConnectRouter } from '@connectrpc/connect';
import { type KeyVerdict, isSettled, answerResponseQuery, monotonicMs } from '@gentiandrum/core';
import {
  type FetchAnswerRequest,
  FetchAnswerResponse_State as AnswerState,
  FetchAnswerResponseSchema,
  PeerService,
  type SettleKeyRequest,
  SettleKeyResponse_Verdict as Verdict,
  SettleKeyResponseSchema,
} from '@gentiandrum/protocol/peers';
import type { Daemon } from '../app/daemon.js';
import { decodeMember, decodeSuspicion, encodeMember, encodeServeResult, encodeSuspicion } from '../app/peerCodec.js';

/** Routes of the peer service of a daemon. */
export function peerRoutes(daemon: Daemon): (router: ConnectRouter) => void {
  return (router) => {
    router.service(PeerService, {
      ping: ({ from, configVersion, changes }) => {
        const pong = daemon.members.onPing(from, Number(configVersion), changes.map(decodeMember));
        return { ...pong, configVersion: BigInt(pong.configVersion), changes: pong.changes.map(encodeMember) };
      },
      tellSuspects: ({ suspects }) => {
        const known = daemon.suspects.mergeFromPeer(suspects.map(decodeSuspicion));
        return { suspects: known.map(encodeSuspicion) };
      },
      fetchMembers: () => ({ members: daemon.members.view.all().map(encodeMember) }),
      fetchConfig: ({ next }) => {
        const missing = daemon.config.changesSince(Number(next));
        const records = missing.records.map(({ offset, value }) => ({ offset: BigInt(offset), value: JSON.stringify(value) }));
        return { next: BigInt(missing.next), records, snapshot: missing.snapshot };
      },
      relayClaim: async ({ claim }) => {
        const result = claim ? await daemon.claims.claimForPeer(claim) : undefined;
        return { holder: result?.kind === 'holder' ? result.holder : undefined };
      },
      settleKey: (req) => settleKey(daemon, req),
      fetchAnswer: (req) => fetchAnswer(daemon, req),
    });
  };
}

function settleKey(
  daemon: Daemon,
  { bid, root, settlerIncarnation }: SettleKeyRequest,
): ReturnType<typeof create<typeof SettleKeyResponseSchema>> {
  if (!bid || Number(settlerIncarnation) !== daemon.incarnation) {
    return create(SettleKeyResponseSchema, { verdict: Verdict.UNKNOWN });
  }
  const { settler } = daemon.calls;
  const verdict = root === '' ? settler.settleMinted(bid) : settler.settleDerived(root, bid);
  return create(SettleKeyResponseSchema, encodeVerdict(verdict));
}

function encodeVerdict(verdict: KeyVerdict): { verdict: Verdict; holder?: string; holderAddress?: string } {
  switch (verdict.kind) {
    case 'granted':
      return { verdict: Verdict.GRANTED };
    case 'held':
      return { verdict: Verdict.HELD, holder: verdict.holder, holderAddress: verdict.address };
    case 'mismatch':
      return { verdict: Verdict.MISMATCH };
    case 'unknown':
      return { verdict: Verdict.UNKNOWN };
  }
}

async function fetchAnswer(daemon: Daemon, req: FetchAnswerRequest): Promise<ReturnType<typeof create<typeof FetchAnswerResponseSchema>>> {
  const { key, bodyDigest: body, claimant } = req;
  const { responses } = daemon.calls;
  const self = `${daemon.settings.id}/${daemon.incarnation}`;
  if (responses.get(key)?.kind === 'running') {
    await daemon.calls.joinRunning(key, monotonicMs() + req.waitMs);
  }
  const found = answerResponseQuery(responses, { key, body, claimant }, self);
  switch (found.kind) {
    case 'recorded':
      return create(FetchAnswerResponseSchema, { state: AnswerState.RECORDED, ...encodeServeResult(found.served) });
    case 'running':
      return create(FetchAnswerResponseSchema, { state: AnswerState.RUNNING });
    case 'not_run':
      if (!isSettled(claimant, self)) {
        void daemon.calls.release(key);
      }
      return create(FetchAnswerResponseSchema, { state: AnswerState.NOT_RUN });
    case 'mismatch':
      return create(FetchAnswerResponseSchema, { state: AnswerState.MISMATCH });
    case 'unknown':
    case 'unreachable':
      return create(FetchAnswerResponseSchema, { state: AnswerState.UNKNOWN });
  }
}
