/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Messages between routing daemons and their wire format: MessagePack arrays with a length prefix of four bytes. Repeated names
 * (routes, services, headers) are sent as numbers.
 */

import type { GateReport, GrantResult, NotRunReason, Suspicion, TargetRecord, CompleteResponse } from '@gentiandrum/core';
import type { MeshConfig } from '@gentiandrum/protocol';
import { Packr, Unpackr } from 'msgpackr';
import {
  type BodyOwner,
  encodeBody,
  encodePartHeader,
  isPart,
  kPartHeaderBytes,
  parseBody,
  parsePartHeader,
  type PartHeader,
} from './bodyFrames.js';
import { encodeCall, parseCall, parseHeaders, encodeReport, parseReport, type PeerCall } from './callCodec.js';
import { NameReader, NameWriter } from './sharedNames.js';

/** Digest of the known host records by zone. */
export type Digests = Readonly<Record<string, number>>;

/** A message between two daemons. */
export type PeerMessage =
  /** First message on each link: the sender, its configuration version, its record, and its digests. */
  | { type: 'hello'; host: string; version: number; record: TargetRecord; digests: Digests }
  /** `longBody` is the length of a body that follows in parts. */
  | { type: 'call'; id: number; call: PeerCall; longBody?: number }
  | { type: 'cancel'; id: number }
  | { type: 'answer'; id: number; answer: CompleteResponse; report: GateReport; longBody?: number }
  /** Requests the body of a call, or of an answer, with a long one. */
  | { type: 'body_wanted'; of: BodyOwner; id: number }
  /** Part of a long body. */
  | { type: 'part'; of: BodyOwner; id: number; bytes: Buffer }
  | { type: 'not_run'; id: number; reason: NotRunReason; retryAfterMs: number; report: GateReport }
  | { type: 'lost'; id: number; reason: string; report: GateReport }
  | { type: 'records'; records: TargetRecord[] }
  | { type: 'version'; version: number }
  | { type: 'config_wanted' }
  | { type: 'config'; config: MeshConfig }
  /** Requests all records of some zones. */
  | { type: 'records_wanted'; zones: string[] }
  /** Hosts whose records were removed from the log. */
  | { type: 'erased'; hosts: string[] }
  /** The platform's log has the receiver's record up to this epoch and revision. */
  | { type: 'logged'; epoch: number; revision: number }
  /** Sent by a reader of the platform's log; `well` is true if the log responds to it. */
  | { type: 'reading'; well: boolean; version: number; digests: Digests }
  /** Requests a proof of the configuration's freshness. */
  | { type: 'proof_wanted'; id: number }
  /** `version` was the newest one in the platform's log `ageMs` ago. */
  | { type: 'proof'; id: number; ageMs: number; version: number }
  /** Requests a token from the owner of a share of a workspace's quota. */
  | { type: 'token_wanted'; id: number; workspace: string }
  | { type: 'token'; id: number; workspace: string; result: GrantResult }
  /** Returns the tokens of requests that have not run, by workspace; `ageMs` is the age of the earliest, only with quotas by window. */
  | { type: 'tokens_back'; tokens: Readonly<Record<string, number>>; ageMs?: number }
  /** Request fingerprints that are suspected of crashing targets. */
  | { type: 'suspects'; suspects: Suspicion[] }
  /** Last message on a link: the sender shuts down, and has not accepted calls with ids above `taken`. */
  | { type: 'goodbye'; taken: number }
  | { type: 'ping' }
  | { type: 'pong' };

/** Messages about freshness proofs and quota tokens. */
export type WorkspaceMessage = Extract<PeerMessage, { type: 'proof_wanted' | 'proof' | 'token_wanted' | 'token' | 'tokens_back' }>;

/** Message types; their index is their number on the wire, so new types are appended. */
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
  'body_wanted',
] as const satisfies Exclude<PeerMessage['type'], 'part'>[];

const kLengthBytes = 4;
/** Sent in place of a wait when the daemon owns no share of the quota. */
const kNotOwner = -1;
/** Longest message, in bytes; long bodies are sent in parts. */
const kMaxMessageBytes = 16 * 1024 * 1024;

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: true });
const unpackr = new Unpackr({ useRecords: false });

/** Encodes the messages of one link. They must be sent in the order in which they are encoded. */
export class MessageWriter {
  private readonly _names = new NameWriter();

  /** Returns the message with its length prefix. */
  encode(message: PeerMessage): Buffer {
    if (message.type === 'part') {
      return Buffer.concat([encodePartHeader({ of: message.of, id: message.id, bytes: message.bytes.length }), message.bytes]);
    }
    const body = packr.pack(encodeFields(message, this._names));
    const frame = Buffer.allocUnsafe(kLengthBytes + body.length);
    frame.writeUInt32BE(body.length, 0);
    body.copy(frame, kLengthBytes);
    return frame;
  }
}

/** Decodes the byte stream of one link into messages. */
export class MessageReader {
  private readonly _names = new NameReader();
  private _pending: Buffer[] = [];
  private _bytes = 0;
  /** Part that is being received; `bytes` is what is missing. */
  private _part: PartHeader | undefined;

  /** Appends bytes and returns the messages that are complete, and parts as far as they were received; throws on a malformed message. */
  push(chunk: Buffer): PeerMessage[] {
    this._pending.push(chunk);
    this._bytes += chunk.length;
    const messages: PeerMessage[] = [];
    for (let message = this._next(); message; message = this._next()) {
      messages.push(message);
    }
    return messages;
  }

  private _next(): PeerMessage | undefined {
    if (this._part) {
      return this._nextOfPart(this._part);
    }
    if (this._bytes < kLengthBytes) {
      return undefined;
    }
    const length = this._peek(kLengthBytes).readUInt32BE(0);
    if (!isPart(length)) {
      return this._nextMessage(length);
    }
    if (this._bytes < kPartHeaderBytes) {
      return undefined;
    }
    this._part = parsePartHeader(this._peek(kPartHeaderBytes));
    this._skip(kPartHeaderBytes);
    return this._nextOfPart(this._part);
  }

  /** Takes what was received of a part, without a copy. */
  private _nextOfPart(part: PartHeader): PeerMessage | undefined {
    const [first] = this._pending;
    if (!first || this._bytes === 0) {
      return undefined;
    }
    const bytes = first.subarray(0, part.bytes);
    this._skip(bytes.length);
    part.bytes -= bytes.length;
    if (part.bytes === 0) {
      this._part = undefined;
    }
    return { type: 'part', of: part.of, id: part.id, bytes };
  }

  private _nextMessage(length: number): PeerMessage | undefined {
    if (length > kMaxMessageBytes) {
      throw new Error(`expected a message of at most ${kMaxMessageBytes} bytes, got one of ${length}`);
    }
    if (this._bytes < kLengthBytes + length) {
      return undefined;
    }
    const frame = this._peek(kLengthBytes + length);
    const message = parseFields(unpackr.unpack(frame.subarray(kLengthBytes, kLengthBytes + length)) as unknown[], this._names);
    this._skip(kLengthBytes + length);
    return message;
  }

  /** Returns a contiguous buffer that begins with the first `bytes` pending bytes. */
  private _peek(bytes: number): Buffer {
    const [first] = this._pending;
    if (first && first.length >= bytes) {
      return first;
    }
    const joined = Buffer.concat(this._pending);
    this._pending = [joined];
    return joined;
  }

  /** Removes bytes of the first pending buffer. */
  private _skip(bytes: number): void {
    const [first] = this._pending;
    if (first && first.length > bytes) {
      this._pending[0] = first.subarray(bytes);
    } else {
      this._pending.shift();
    }
    this._bytes -= bytes;
  }
}

function encodeFields(message: Exclude<PeerMessage, { type: 'part' }>, names: NameWriter): unknown[] {
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
        encodeBody(message.answer.body),
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
      return [type, message.tokens, ...(message.ageMs === undefined ? [] : [message.ageMs])];
    case 'goodbye':
      return [type, message.taken];
    case 'suspects':
      return [type, message.suspects];
    case 'body_wanted':
      return [type, message.id, message.of];
    case 'config_wanted':
    case 'ping':
    case 'pong':
      return [type];
  }
}

/** Encodes a grant as 0, a denial as its wait in milliseconds, and `not_owner` as {@link kNotOwner}. */
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

/** Field types are not validated, because all daemons of a deployment run the same version. */
function parseFields(fields: unknown[], names: NameReader): PeerMessage {
  const type = kMessageTypes[fields[0] as number];
  const id = fields[1] as number;
  if (type === undefined) {
    throw new Error(`expected a message type between 0 and ${kMessageTypes.length - 1}, got ${String(fields[0])}`);
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
      return { type, id, ...parseCall(fields, names) };
    case 'cancel':
      return { type, id };
    case 'answer': {
      const { body, ...long } = parseBody(fields[4]);
      const answer = { status: fields[2] as number, headers: parseHeaders(fields[3], names), body };
      return { type, id, answer, report: parseReport(fields, 5), ...long };
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
    case 'body_wanted':
      return { type, id, of: fields[2] as BodyOwner };
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
      return { type, tokens: fields[1] as Record<string, number>, ...(typeof fields[2] === 'number' ? { ageMs: fields[2] } : {}) };
  }
}
