/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Converts between the core's records and the messages of the peer protocol. */

import { create, type MessageInitShape } from '@bufbuild/protobuf';
import type { CrashMark, Member, MemberState, ServeResult, SuspectRun, Suspicion, TargetState } from '@gentiandrum/core';
import {
  type Suspicion as SuspicionMsg,
  type Member as MemberMsg,
  MemberSchema,
  MemberState as StateMsg,
  TargetState as TargetMsg,
} from '@gentiandrum/protocol/peers';

const kMemberStates: Record<MemberState, StateMsg> = {
  alive: StateMsg.ALIVE,
  suspect: StateMsg.SUSPECT,
  dead: StateMsg.DEAD,
  left: StateMsg.LEFT,
};
const kTargetStates: Record<TargetState, TargetMsg> = { absent: TargetMsg.ABSENT, serving: TargetMsg.SERVING, leaving: TargetMsg.LEAVING };

export function encodeMember(member: Member): MemberMsg {
  const fields: MessageInitShape<typeof MemberSchema> = {
    ...member,
    incarnation: BigInt(member.incarnation),
    configVersion: BigInt(member.configVersion),
    state: kMemberStates[member.state],
    targetState: kTargetStates[member.targetState],
    leaveProof: member.leaveProof,
  };
  return create(MemberSchema, fields);
}

/** Decodes a member; unknown states become `suspect` and `absent`. */
export function decodeMember(msg: MemberMsg): Member {
  const { id, revision, address, zone, region, target, service, slots } = msg;
  return {
    id,
    revision,
    address,
    zone,
    region,
    target,
    service,
    slots,
    incarnation: Number(msg.incarnation),
    configVersion: Number(msg.configVersion),
    state: keyOf(kMemberStates, msg.state) ?? 'suspect',
    targetState: keyOf(kTargetStates, msg.targetState) ?? 'absent',
    leaveProof: msg.leaveProof && { unsettled: msg.leaveProof.unsettled },
  };
}

/** Fields of a suspicion as the message type takes them: its lists are mutable. */
export interface EncodedSuspicion extends Omit<Suspicion, 'marks' | 'runs'> {
  marks: CrashMark[];
  runs: SuspectRun[];
}

export function encodeSuspicion({ marks, runs = [], ...rest }: Suspicion): EncodedSuspicion {
  return { ...rest, marks: [...marks], runs: [...runs] };
}

export function decodeSuspicion({ fingerprint, screen, route, marks, runs }: SuspicionMsg): Suspicion {
  return {
    fingerprint,
    screen,
    route,
    marks: marks.map(({ crash, at, tested, cleared, released }) => ({ crash, at, tested, cleared, released })),
    runs: runs.map(({ host, startedAt, remainingMs }) => ({ host, startedAt, remainingMs })),
  };
}

/** Encodes a recorded result as JSON, with the body separate. */
export function encodeServeResult(served: ServeResult): { served: string; body: Uint8Array } {
  if (served.kind === 'error') {
    return { served: JSON.stringify(served), body: new Uint8Array() };
  }
  const { status, headers, body } = served.answer;
  return { served: JSON.stringify({ kind: 'answer', answer: { status, headers } }), body };
}

/** Decodes the result of {@link encodeServeResult}. */
export function decodeServeResult(text: string, body: Uint8Array): ServeResult {
  const served = JSON.parse(text) as ServeResult;
  return served.kind === 'error' ? served : { kind: 'answer', answer: { ...served.answer, body } };
}

function keyOf<K extends string, V>(table: Record<K, V>, value: V): K | undefined {
  return (Object.keys(table) as K[]).find((key) => table[key] === value);
}
