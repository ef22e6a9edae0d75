/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Messages between routing daemons, and their form on the wire: MessagePack arrays behind a length of four bytes. Names that
 * come again and again (routes, services, headers) travel as short numbers once both ends know them.
 */

import type { GateReport, GrantResult, NotRunReason, Suspicion, TargetRecord, CompleteResponse } from '@gentiandrum/core';
import type { MeshConfig } from '@gentiandrum/protocol';
import { Packr, Unpackr } from 'msgpackr';
import { encodeCall, parseCall, parseHeaders, encodeReport, parseReport, type PeerCall } from './callCodec.js';
import { NameReader, NameWriter } from './sharedNames.js';

/** What a daemon knows of each zone's hosts, as one number a zone. */
export type Digests = Readonly<Record<string, number>>;

/** What one daemon says to another. */
export type PeerMessage =
  /** First on each link: who speaks, its version of the configuration, its record, and what it knows of each zone in short. */
  | { type: 'hello'; host: string; version: number; record: TargetRecord; digests: Digests }
  | { type: 'call'; id: number; call: PeerCall }
  | { type: 'cancel'; id: number }
  | { type: 'answer'; id: number; answer: CompleteResponse; report: GateReport }
  | { type: 'not_run'; id: number; reason: NotRunReason; retryAfterMs: number; report: GateReport }
  | { type: 'lost'; id: number; reason: string; report: GateReport }
  | { type: 'records'; records: TargetRecord[] }
  | { type: 'version'; version: number }
  | { type: 'config_wanted' }
  | { type: 'config'; config: MeshConfig }
  /** Asks for all records of some zones. */
  | { type: 'records_wanted'; zones: string[] }
  /** Hosts whose records were removed from the log. */
  | { type: 'erased'; hosts: string[] }
  /** The log has the receiver's own record up to this one. */
  | { type: 'logged'; epoch: number; revision: number }
  /** A reader follows the log, and whether the log answers it. */
  | { type: 'reading'; well: boolean; version: number; digests: Digests }
  /** Asks for a proof of how fresh the configuration is. */
  | { type: 'proof_wanted'; id: number }
  /** The answer: the log had this version as its newest so long ago. */
  | { type: 'proof'; id: number; ageMs: number; version: number }
  /** Asks the owner of a part of a workspace's quota for a token. */
  | { type: 'token_wanted'; id: number; workspace: string }
  | { type: 'token'; id: number; workspace: string; result: GrantResult }
  /** Tokens of requests that have not run, by workspace. */
  | { type: 'tokens_back'; tokens: Readonly<Record<string, number>> }
  /** Kinds of requests that targets may have ended by, with all that is known of each. */
  | { type: 'suspects'; suspects: Suspicion[] }
  /** Last on a link: its sender stops, and takes no call with an id above this one. */
  | { type: 'goodbye'; taken: number }
  | { type: 'ping' }
  | { type: 'pong' };

/** Messages about proofs of freshness and tokens of quotas. */
export type WorkspaceMessage = Extract<PeerMessage, { type: 'proof_wanted' | 'proof' | 'token_wanted' | 'token' | 'tokens_back' }>;

/** Order of the types on the wire; new ones go to the end. */
const kMessageTypes = [
  'hello',
  'call',
  'cancel',
  'answer',
  'not_run',
  'lost',
  'records',
  'version',
  'config_wanted',
  'config',
  'ping',
  'pong',
  'records_wanted',
  'erased',
  'logged',
  'reading',
  'proof_wanted',
  'proof',
  'token_wanted',
  'token',
  'tokens_back',
  'goodbye',
  'suspects',
] as const satisfies PeerMessage['type'][];

const kLengthBytes = 4;
/** In place of a wait: that the daemon has no part in the quota. */
const kNotOwner = -1;
/** Longest message, in bytes: a request body of the largest size, and room for its head. */
const kMaxMessageBytes = 80 * 1024 * 1024;

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: true });
const unpackr = new Unpackr({ useRecords: false });

/** Encodes the messages of one link, in the order in which they are sent. */
export class MessageWriter {
  private readonly _names = new NameWriter();

  /** The message with its length in front. */
  encode(message: PeerMessage): Buffer {
    const body = packr.pack(encodeFields(message, this._names));
    const frame = Buffer.allocUnsafe(kLengthBytes + body.length);
    frame.writeUInt32BE(body.length, 0);
    body.copy(frame, kLengthBytes);
    return frame;
  }
}

/** Cuts the bytes of one link into messages. */
export class MessageReader {
  private readonly _names = new NameReader();
  private _pending: Buffer[] = [];
  private _bytes = 0;

  /** Takes bytes and returns the messages that are complete; throws when they are no messages. */
  push(chunk: Buffer): PeerMessage[] {
    this._pending.push(chunk);
    this._bytes += chunk.length;
    const messages: PeerMessage[] = [];
    while (this._bytes >= kLengthBytes) {
      const first = this._joinPending(kLengthBytes);
      const length = first.readUInt32BE(0);
      if (length > kMaxMessageBytes) {
        throw new Error(`expected a message of at most ${kMaxMessageBytes} bytes, got one of ${length}`);
      }
      if (this._bytes < kLengthBytes + length) {
        return messages;
      }
      const whole = this._joinPending(kLengthBytes + length);
      messages.push(parseFields(unpackr.unpack(whole.subarray(kLengthBytes, kLengthBytes + length)) as unknown[], this._names));
      this._pending = [whole.subarray(kLengthBytes + length)];
      this._bytes -= kLengthBytes + length;
    }
    return messages;
  }

  /** The first pending buffer, joined with the next ones until it has `bytes`. */
  private _joinPending(bytes: number): Buffer {
    const [first] = this._pending;
    if (first && first.length >= bytes) {
      return first;
    }
    const joined = Buffer.concat(this._pending);
    this._pending = [joined];
    return joined;
  }
}

function encodeFields(message: PeerMessage, names: NameWriter): unknown[] {
  const type = kMessageTypes.indexOf(message.type);
  switch (message.type) {
    case 'hello':
      return [type, message.host, message.version, message.record, message.digests];
    case 'call':
      return [type, message.id, ...encodeCall(message.call, names)];
    case 'cancel':
      return [type, message.id];
    case 'answer':
      return [
        type,
        message.id,
        message.answer.status,
        message.answer.headers.map((text) => names.write(text)),
        message.answer.body,
        ...encodeReport(message.report),
      ];
    case 'not_run':
      return [type, message.id, names.write(message.reason), message.retryAfterMs, ...encodeReport(message.report)];
    case 'lost':
      return [type, message.id, message.reason, ...encodeReport(message.report)];
    case 'records':
      return [type, message.records];
    case 'version':
      return [type, message.version];
    case 'config':
      return [type, message.config];
    case 'records_wanted':
      return [type, message.zones];
    case 'erased':
      return [type, message.hosts];
    case 'logged':
      return [type, message.epoch, message.revision];
    case 'reading':
      return [type, message.well, message.version, message.digests];
    case 'proof_wanted':
      return [type, message.id];
    case 'proof':
      return [type, message.id, message.ageMs, message.version];
    case 'token_wanted':
      return [type, message.id, names.write(message.workspace)];
    case 'token':
      return [type, message.id, names.write(message.workspace), ...encodeGrant(message.result)];
    case 'tokens_back':
      return [type, message.tokens];
    case 'goodbye':
      return [type, message.taken];
    case 'suspects':
      return [type, message.suspects];
    case 'config_wanted':
    case 'ping':
    case 'pong':
      return [type];
  }
}

/** Granted, or the wait in milliseconds, or that the receiver has no part in the quota. */
function encodeGrant(result: GrantResult): unknown[] {
  if (result === 'not_owner') {
    return [kNotOwner];
  }
  return [result.granted ? 0 : Math.ceil(result.waitMs)];
}

function parseGrant(field: unknown): GrantResult {
  const waitMs = field as number;
  if (waitMs === kNotOwner) {
    return 'not_owner';
  }
  return waitMs === 0 ? { granted: true } : { granted: false, waitMs };
}

/** Daemons of one deployment run one program, so the fields are taken as they are. */
function parseFields(fields: unknown[], names: NameReader): PeerMessage {
  const type = kMessageTypes[fields[0] as number];
  const id = fields[1] as number;
  if (type === undefined) {
    throw new Error(`expected a type of message between 0 and ${kMessageTypes.length - 1}, got ${String(fields[0])}`);
  }
  switch (type) {
    case 'hello':
      return {
        type,
        host: fields[1] as string,
        version: fields[2] as number,
        record: fields[3] as TargetRecord,
        digests: fields[4] as Digests,
      };
    case 'proof_wanted':
    case 'proof':
    case 'token_wanted':
    case 'token':
    case 'tokens_back':
      return parseWorkspaceMessage(type, fields, names);
    case 'goodbye':
      return { type, taken: fields[1] as number };
    case 'suspects':
      return { type, suspects: fields[1] as Suspicion[] };
    case 'call':
      return { type, id, call: parseCall(fields, names) };
    case 'cancel':
      return { type, id };
    case 'answer': {
      const answer = { status: fields[2] as number, headers: parseHeaders(fields[3], names), body: fields[4] as Buffer };
      return { type, id, answer, report: parseReport(fields, 5) };
    }
    case 'not_run':
      return { type, id, reason: names.read(fields[2]) as NotRunReason, retryAfterMs: fields[3] as number, report: parseReport(fields, 4) };
    case 'lost':
      return { type, id, reason: fields[2] as string, report: parseReport(fields, 3) };
    case 'records':
      return { type, records: fields[1] as TargetRecord[] };
    case 'version':
      return { type, version: fields[1] as number };
    case 'config':
      return { type, config: fields[1] as MeshConfig };
    case 'records_wanted':
      return { type, zones: fields[1] as string[] };
    case 'erased':
      return { type, hosts: fields[1] as string[] };
    case 'logged':
      return { type, epoch: fields[1] as number, revision: fields[2] as number };
    case 'reading':
      return { type, well: fields[1] as boolean, version: fields[2] as number, digests: fields[3] as Digests };
    case 'config_wanted':
    case 'ping':
    case 'pong':
      return { type };
  }
}

function parseWorkspaceMessage(type: WorkspaceMessage['type'], fields: unknown[], names: NameReader): WorkspaceMessage {
  const id = fields[1] as number;
  switch (type) {
    case 'proof_wanted':
      return { type, id };
    case 'proof':
      return { type, id, ageMs: fields[2] as number, version: fields[3] as number };
    case 'token_wanted':
      return { type, id, workspace: names.read(fields[2]) };
    case 'token':
      return { type, id, workspace: names.read(fields[2]), result: parseGrant(fields[3]) };
    case 'tokens_back':
      return { type, tokens: fields[1] as Record<string, number> };
  }
}
