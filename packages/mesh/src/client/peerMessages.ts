/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Messages between routing daemons, and their form on the wire: MessagePack arrays behind a length of four bytes. Names that
 * come again and again (routes, services, headers) travel as short numbers once both ends know them.
 */

import type { GateReport, GrantEnd, NotRunReason, TargetRecord, WholeAnswer } from '@gentiandrum/core';
import type { MeshConfig } from '@gentiandrum/protocol';
import { Packr, Unpackr } from 'msgpackr';
import { NameReader, NameWriter } from './sharedNames.js';

/** The workspace of a call, and until when its key may be relied on. */
export interface CallWorkspace {
  name: string;
  /** Hash of the key, which itself stays where it came. */
  keyHash: number;
  /** Version of the configuration that says so. */
  version: number;
  /** Time for which that may be relied on, in milliseconds; infinite without a limit. */
  validMs: number;
}

/** A call that one daemon hands to the daemon beside the target. */
export interface PeerCall {
  /** Name of the route, for logs and statistics. */
  route: string;
  service: string;
  /** Time that it may wait at the gate, in milliseconds. */
  waitMs: number;
  /** Time until nobody waits for the answer, in milliseconds. */
  remainingMs: number;
  /** Whether the request may have reached a target before. */
  repeat: boolean;
  /** Whether only targets make calls on this route, as far as is known. */
  inner: boolean;
  /** Whether it may run more than once; such a call is cancelled when nobody waits for it. */
  idempotent: boolean;
  /** Rank of a person's request under overload, 0 the most urgent; calls of targets have none. */
  rank: number | undefined;
  /** Instance that it is meant for. */
  instance: string;
  /** Service on whose host it began. */
  callerService: string;
  /** Whose request it is; undefined for calls of targets, on exempt routes, and without workspaces. */
  workspace: CallWorkspace | undefined;
  /** The caller's own id of this attempt. */
  requestId: string;
  method: string;
  path: string;
  /** Names and values in turn. */
  headers: string[];
  body: Buffer;
}

/** What a daemon knows of each zone's hosts, as one number a zone. */
export type Digests = Readonly<Record<string, number>>;

/** What one daemon says to another. */
export type PeerMessage =
  /** First on each link: who speaks, its version of the configuration, its record, and what it knows of each zone in short. */
  | { type: 'hello'; host: string; version: number; record: TargetRecord; digests: Digests }
  | { type: 'call'; id: number; call: PeerCall }
  | { type: 'cancel'; id: number }
  | { type: 'answer'; id: number; answer: WholeAnswer; load: GateReport }
  | { type: 'not_run'; id: number; reason: NotRunReason; retryAfterMs: number; load: GateReport }
  | { type: 'lost'; id: number; reason: string; load: GateReport }
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
  | { type: 'token'; id: number; workspace: string; end: GrantEnd }
  /** Tokens of requests that have not run, by workspace. */
  | { type: 'tokens_back'; tokens: Readonly<Record<string, number>> }
  | { type: 'ping' }
  | { type: 'pong' };

/** Messages about proofs of freshness and tokens of quotas. */
export type WorkspaceMessage = Extract<PeerMessage, { type: 'proof_wanted' | 'proof' | 'token_wanted' | 'token' | 'tokens_back' }>;

/** Order of the types on the wire; new ones go to the end. */
const kTypes = [
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
] as const satisfies PeerMessage['type'][];

const kLengthBytes = 4;
/** Levels travel as whole thousandths. */
const kLevelSteps = 1_000;
/** Fields of a report. */
const kLoadFields = 8;
/** In place of a rank: that the call has none. */
const kNoRank = -1;
/** In place of a time: that there is no limit; in place of a wait: that the daemon has no part in the quota. */
const kNoLimit = -1;
const kNotOwner = -1;
/** Fields of a call before those of its workspace, with its type and id. */
const kCallFields = 17;
/** Longest message, in bytes: a request body of the largest size, and room for its head. */
const kMaxMessageBytes = 80 * 1024 * 1024;

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: true });
const unpackr = new Unpackr({ useRecords: false });

/** Encodes the messages of one link, in the order in which they are sent. */
export class MessageWriter {
  private readonly _names = new NameWriter();

  /** The message with its length in front. */
  encode(message: PeerMessage): Buffer {
    const body = packr.pack(fieldsOf(message, this._names));
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
      const first = this._joined(kLengthBytes);
      const length = first.readUInt32BE(0);
      if (length > kMaxMessageBytes) {
        throw new Error(`expected a message of at most ${kMaxMessageBytes} bytes, got one of ${length}`);
      }
      if (this._bytes < kLengthBytes + length) {
        return messages;
      }
      const whole = this._joined(kLengthBytes + length);
      messages.push(decodeFields(unpackr.unpack(whole.subarray(kLengthBytes, kLengthBytes + length)) as unknown[], this._names));
      this._pending = [whole.subarray(kLengthBytes + length)];
      this._bytes -= kLengthBytes + length;
    }
    return messages;
  }

  /** The first pending buffer, joined with the next ones until it has `bytes`. */
  private _joined(bytes: number): Buffer {
    const [first] = this._pending;
    if (first && first.length >= bytes) {
      return first;
    }
    const joined = Buffer.concat(this._pending);
    this._pending = [joined];
    return joined;
  }
}

function fieldsOf(message: PeerMessage, names: NameWriter): unknown[] {
  const type = kTypes.indexOf(message.type);
  switch (message.type) {
    case 'hello':
      return [type, message.host, message.version, message.record, message.digests];
    case 'call':
      return [type, message.id, ...callFields(message.call, names)];
    case 'cancel':
      return [type, message.id];
    case 'answer':
      return [
        type,
        message.id,
        message.answer.status,
        message.answer.headers.map((text) => names.write(text)),
        message.answer.body,
        ...loadFields(message.load),
      ];
    case 'not_run':
      return [type, message.id, names.write(message.reason), message.retryAfterMs, ...loadFields(message.load)];
    case 'lost':
      return [type, message.id, message.reason, ...loadFields(message.load)];
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
      return [type, message.id, names.write(message.workspace), ...grantFields(message.end)];
    case 'tokens_back':
      return [type, message.tokens];
    case 'config_wanted':
    case 'ping':
    case 'pong':
      return [type];
  }
}

function callFields(call: PeerCall, names: NameWriter): unknown[] {
  return [
    names.write(call.route),
    names.write(call.service),
    Math.round(call.waitMs),
    call.remainingMs,
    call.repeat,
    call.inner,
    call.idempotent,
    call.rank ?? kNoRank,
    names.write(call.instance),
    names.write(call.callerService),
    call.requestId,
    names.write(call.method),
    call.path,
    call.headers.map((text) => names.write(text)),
    call.body,
    ...workspaceFields(call.workspace, names),
  ];
}

function workspaceFields(workspace: CallWorkspace | undefined, names: NameWriter): unknown[] {
  if (!workspace) {
    return [];
  }
  const { name, keyHash, version, validMs } = workspace;
  return [names.write(name), keyHash, version, validMs === Infinity ? kNoLimit : Math.floor(validMs)];
}

/** Granted, or the wait in milliseconds, or that the receiver has no part in the quota. */
function grantFields(end: GrantEnd): unknown[] {
  if (end === 'not_owner') {
    return [kNotOwner];
  }
  return [end.granted ? 0 : Math.ceil(end.waitMs)];
}

function grantFrom(field: unknown): GrantEnd {
  const waitMs = field as number;
  if (waitMs === kNotOwner) {
    return 'not_owner';
  }
  return waitMs === 0 ? { granted: true } : { granted: false, waitMs };
}

function loadFields({ inFlight, queued, limit, meanMs, level, inner, height, chargeMs }: GateReport): unknown[] {
  return [inFlight, queued, limit, Math.round(meanMs), Math.round(level * kLevelSteps), chargeMs, height, inner];
}

function loadFrom(fields: unknown[], at: number): GateReport {
  const [inFlight = 0, queued = 0, limit = 0, meanMs = 0, level = 0, chargeMs = 0, height = 0] = fields.slice(
    at,
    at + kLoadFields - 1,
  ) as number[];
  const inner = (fields[at + kLoadFields - 1] ?? undefined) as boolean | undefined;
  return { inFlight, queued, limit, meanMs, level: level / kLevelSteps, inner, height, chargeMs };
}

/** Daemons of one deployment run one program, so the fields are taken as they are. */
function decodeFields(fields: unknown[], names: NameReader): PeerMessage {
  const type = kTypes[fields[0] as number];
  const id = fields[1] as number;
  if (type === undefined) {
    throw new Error(`expected a type of message between 0 and ${kTypes.length - 1}, got ${String(fields[0])}`);
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
      return { type, id };
    case 'proof':
      return { type, id, ageMs: fields[2] as number, version: fields[3] as number };
    case 'token_wanted':
      return { type, id, workspace: names.read(fields[2]) };
    case 'token':
      return { type, id, workspace: names.read(fields[2]), end: grantFrom(fields[3]) };
    case 'tokens_back':
      return { type, tokens: fields[1] as Record<string, number> };
    case 'call':
      return { type, id, call: callFrom(fields, names) };
    case 'cancel':
      return { type, id };
    case 'answer': {
      const answer = { status: fields[2] as number, headers: headersFrom(fields[3], names), body: fields[4] as Buffer };
      return { type, id, answer, load: loadFrom(fields, 5) };
    }
    case 'not_run':
      return { type, id, reason: names.read(fields[2]) as NotRunReason, retryAfterMs: fields[3] as number, load: loadFrom(fields, 4) };
    case 'lost':
      return { type, id, reason: fields[2] as string, load: loadFrom(fields, 3) };
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

function headersFrom(field: unknown, names: NameReader): string[] {
  return (field as unknown[]).map((text) => names.read(text));
}

function callFrom(fields: unknown[], names: NameReader): PeerCall {
  // In the order in which they were written: a name may be introduced by one field and used by the next.
  return {
    route: names.read(fields[2]),
    service: names.read(fields[3]),
    waitMs: fields[4] as number,
    remainingMs: fields[5] as number,
    repeat: fields[6] as boolean,
    inner: fields[7] as boolean,
    idempotent: fields[8] as boolean,
    rank: fields[9] === kNoRank ? undefined : (fields[9] as number),
    instance: names.read(fields[10]),
    callerService: names.read(fields[11]),
    requestId: fields[12] as string,
    method: names.read(fields[13]),
    path: fields[14] as string,
    headers: headersFrom(fields[15], names),
    body: fields[16] as Buffer,
    workspace: workspaceFrom(fields, names),
  };
}

function workspaceFrom(fields: unknown[], names: NameReader): CallWorkspace | undefined {
  if (fields.length <= kCallFields) {
    return undefined;
  }
  const [name, keyHash, version, validMs] = fields.slice(kCallFields);
  return {
    name: names.read(name),
    keyHash: keyHash as number,
    version: version as number,
    validMs: validMs === kNoLimit ? Infinity : (validMs as number),
  };
}
