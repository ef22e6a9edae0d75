/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Encodes calls and gate reports as arrays of fields for messages between daemons. Repeated names are encoded as numbers. */

import type { ChainNeed, GateReport, MemoryLease, MessageBody, Suspicion } from '@gentiandrum/core';
import { encodeBody, parseBody } from './bodyFrames.js';
import type { NameReader, NameWriter } from './sharedNames.js';

/** Admission levels are sent as integer thousandths. */
const kLevelScale = 1_000;
/** Loads relative to a rate limit are sent as integer thousandths. */
const kLoadScale = 1_000;
/** Number of fields of a gate report before the optional ones: the load relative to a rate limit, the gates and the slowness. */
const kReportFields = 8;
/** Numbers of gates are sent as integer tenths. */
const kGatesScale = 10;
/** Encodes an undefined rank. */
const kNoRank = -1;
/**
 * Number of fields of a call message before the optional ones, including its type and id. Either one field follows, with the need of the
 * chain, or the fields of the workspace: calls of targets carry no workspace, and external requests have no chain above them.
 */
const kCallFields = 18;
const kCallFieldsWithChain = kCallFields + 1;
/** Encodes an infinite time. */
const kNoLimit = -1;

/** Workspace of a call and the remaining validity of its API key. */
export interface CallWorkspace {
  name: string;
  /** Hash of the key. The key itself is not sent to other hosts. */
  keyHash: number;
  /** Configuration version that assigns the key to the workspace. */
  version: number;
  /** Time for which the assignment remains valid, in milliseconds; infinite without a limit. */
  validMs: number;
}

/** A call that a daemon forwards to the daemon on the target's host. */
export interface PeerCall {
  /** Name of the route, for logs and metrics. */
  route: string;
  service: string;
  /** Longest time in the gate's queue, in milliseconds. */
  waitMs: number;
  /** Time until the deadline, in milliseconds. */
  remainingMs: number;
  /** Whether an earlier attempt of the request may have reached a target. */
  repeat: boolean;
  /** Whether the route is known to be internal: only targets call it. */
  inner: boolean;
  /** Whether it may run more than once. Such a call is aborted when its deadline has passed or its caller has disconnected. */
  idempotent: boolean;
  /** Rank of the root request under overload, 0 being the most urgent; undefined for calls of targets whose root is unknown. */
  rank: number | undefined;
  /** What the chain above needs after this call; undefined for external requests, and for calls whose parent is unknown. */
  chain?: ChainNeed | undefined;
  /** Expected instance of the target. */
  instance: string;
  /** Service of the host on which the call originated. */
  callerService: string;
  /** Undefined for calls of targets, on exempt routes, and in deployments without workspaces. */
  workspace: CallWorkspace | undefined;
  /** Known crashes of targets for the call's fingerprint; sent along because the gate may not have received them yet. */
  suspicion: Suspicion | undefined;
  /** Attempt id set by the caller. */
  requestId: string;
  method: string;
  path: string;
  /** Alternating names and values. */
  headers: string[];
  body: MessageBody;
  /** Memory of a long body that was received from another daemon; not sent. */
  memory?: MemoryLease | undefined;
}

/** Encodes the fields of a call that follow its type and id. */
export function encodeCall(call: PeerCall, names: NameWriter): unknown[] {
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
    encodeBody(call.body),
    call.suspicion,
    ...(call.chain ? [encodeChain(call.chain)] : encodeWorkspace(call.workspace, names)),
  ];
}

function encodeChain({ afterMs, gatesAfter }: ChainNeed): [number, number] {
  return [Math.round(afterMs), Math.round(gatesAfter * kGatesScale)];
}

function parseChain(fields: unknown[]): { chain?: ChainNeed } {
  if (fields.length !== kCallFieldsWithChain) {
    return {};
  }
  const [afterMs = 0, gatesAfter = 0] = fields[kCallFields] as number[];
  return { chain: { afterMs, gatesAfter: gatesAfter / kGatesScale } };
}

function encodeWorkspace(workspace: CallWorkspace | undefined, names: NameWriter): unknown[] {
  if (!workspace) {
    return [];
  }
  const { name, keyHash, version, validMs } = workspace;
  return [names.write(name), keyHash, version, validMs === Infinity ? kNoLimit : Math.floor(validMs)];
}

export function encodeReport(report: GateReport): unknown[] {
  const { inFlight, queued, limit, meanMs, level, inner, height, chargeMs, rateLoad, gates, slowness } = report;
  const fields = [inFlight, queued, limit, Math.round(meanMs), Math.round(level * kLevelScale), chargeMs, height, inner];
  const optional = [scaled(rateLoad, kLoadScale), scaled(gates, kGatesScale), slowness === undefined ? undefined : Math.round(slowness)];
  while (optional.length > 0 && optional.at(-1) === undefined) {
    optional.pop();
  }
  return [...fields, ...optional];
}

/** Decodes the gate report whose fields begin at index `at`. */
export function parseReport(fields: unknown[], at: number): GateReport {
  const [inFlight = 0, queued = 0, limit = 0, meanMs = 0, level = 0, chargeMs = 0, height = 0] = fields.slice(
    at,
    at + kReportFields - 1,
  ) as number[];
  const inner = (fields[at + kReportFields - 1] ?? undefined) as boolean | undefined;
  const [rateLoad, gates, slowness] = fields.slice(at + kReportFields) as (number | null | undefined)[];
  return {
    inFlight,
    queued,
    limit,
    meanMs,
    level: level / kLevelScale,
    inner,
    height,
    chargeMs,
    ...(typeof rateLoad === 'number' ? { rateLoad: rateLoad / kLoadScale } : {}),
    ...(typeof gates === 'number' ? { gates: gates / kGatesScale } : {}),
    ...(typeof slowness === 'number' ? { slowness } : {}),
  };
}

function scaled(value: number | undefined, scale: number): number | undefined {
  return value === undefined ? undefined : Math.round(value * scale);
}

export function parseHeaders(field: unknown, names: NameReader): string[] {
  return (field as unknown[]).map((text) => names.read(text));
}

/** Decodes the fields of a call message; `longBody` is the length of a body that follows in parts. */
export function parseCall(fields: unknown[], names: NameReader): { call: PeerCall; longBody?: number } {
  const { body, ...long } = parseBody(fields[16]);
  // Names must be read in the order in which they were written, because one field may define a name that the next one uses.
  const call = {
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
    headers: parseHeaders(fields[15], names),
    body,
    suspicion: (fields[17] ?? undefined) as Suspicion | undefined,
    workspace: parseWorkspace(fields, names),
    ...parseChain(fields),
  };
  return { call, ...long };
}

function parseWorkspace(fields: unknown[], names: NameReader): CallWorkspace | undefined {
  if (fields.length <= kCallFieldsWithChain) {
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
