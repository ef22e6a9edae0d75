/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Encodes calls and gate reports as arrays of fields for messages between daemons. Repeated names are encoded as numbers. */

import type { GateReport, Suspicion } from '@gentiandrum/core';
import type { NameReader, NameWriter } from './sharedNames.js';

/** Admission levels are sent as integer thousandths. */
const kLevelScale = 1_000;
/** Loads relative to a rate limit are sent as integer thousandths. */
const kLoadScale = 1_000;
/** Number of fields of a gate report before the optional last one, the load relative to a rate limit. */
const kReportFields = 8;
/** Encodes an undefined rank. */
const kNoRank = -1;
/** Number of fields of a call message before the workspace fields, including its type and id. */
const kCallFields = 18;
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
  /** Rank of an external request under overload, 0 being the most urgent; undefined for calls of targets. */
  rank: number | undefined;
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
  body: Buffer;
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
    call.body,
    call.suspicion,
    ...encodeWorkspace(call.workspace, names),
  ];
}

function encodeWorkspace(workspace: CallWorkspace | undefined, names: NameWriter): unknown[] {
  if (!workspace) {
    return [];
  }
  const { name, keyHash, version, validMs } = workspace;
  return [names.write(name), keyHash, version, validMs === Infinity ? kNoLimit : Math.floor(validMs)];
}

export function encodeReport({ inFlight, queued, limit, meanMs, level, inner, height, chargeMs, rateLoad }: GateReport): unknown[] {
  const fields = [inFlight, queued, limit, Math.round(meanMs), Math.round(level * kLevelScale), chargeMs, height, inner];
  return rateLoad === undefined ? fields : [...fields, Math.round(rateLoad * kLoadScale)];
}

/** Decodes the gate report whose fields begin at index `at`. */
export function parseReport(fields: unknown[], at: number): GateReport {
  const [inFlight = 0, queued = 0, limit = 0, meanMs = 0, level = 0, chargeMs = 0, height = 0] = fields.slice(
    at,
    at + kReportFields - 1,
  ) as number[];
  const inner = (fields[at + kReportFields - 1] ?? undefined) as boolean | undefined;
  const rateLoad = fields[at + kReportFields] as number | undefined;
  return {
    inFlight,
    queued,
    limit,
    meanMs,
    level: level / kLevelScale,
    inner,
    height,
    chargeMs,
    ...(rateLoad === undefined ? {} : { rateLoad: rateLoad / kLoadScale }),
  };
}

export function parseHeaders(field: unknown, names: NameReader): string[] {
  return (field as unknown[]).map((text) => names.read(text));
}

/** Decodes the fields of a call message. */
export function parseCall(fields: unknown[], names: NameReader): PeerCall {
  // Names must be read in the order in which they were written, because one field may define a name that the next one uses.
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
    headers: parseHeaders(fields[15], names),
    body: fields[16] as Buffer,
    suspicion: (fields[17] ?? undefined) as Suspicion | undefined,
    workspace: parseWorkspace(fields, names),
  };
}

function parseWorkspace(fields: unknown[], names: NameReader): CallWorkspace | undefined {
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
