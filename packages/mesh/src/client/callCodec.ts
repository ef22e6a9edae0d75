/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Calls and gates' reports in messages between daemons: arrays of fields, in which names that come again are short numbers. */

import type { GateReport, Suspicion } from '@gentiandrum/core';
import type { NameReader, NameWriter } from './sharedNames.js';

/** Levels travel as whole thousandths. */
const kLevelScale = 1_000;
/** Fields of a report. */
const kReportFields = 8;
/** In place of a rank: that the call has none. */
const kNoRank = -1;
/** Fields of a call before those of its workspace, with its type and id. */
const kCallFields = 18;
/** In place of a time: that there is no limit. */
const kNoLimit = -1;

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
  /** What is held against the call's kind, if its targets may have ended by it: the gate may not have heard of that yet. */
  suspicion: Suspicion | undefined;
  /** The caller's own id of this attempt. */
  requestId: string;
  method: string;
  path: string;
  /** Names and values in turn. */
  headers: string[];
  body: Buffer;
}

/** Fields of a call behind its type and id. */
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

/** Fields of a gate's report. */
export function encodeReport({ inFlight, queued, limit, meanMs, level, inner, height, chargeMs }: GateReport): unknown[] {
  return [inFlight, queued, limit, Math.round(meanMs), Math.round(level * kLevelScale), chargeMs, height, inner];
}

/** A gate's report from the fields that begin at an index. */
export function parseReport(fields: unknown[], at: number): GateReport {
  const [inFlight = 0, queued = 0, limit = 0, meanMs = 0, level = 0, chargeMs = 0, height = 0] = fields.slice(
    at,
    at + kReportFields - 1,
  ) as number[];
  const inner = (fields[at + kReportFields - 1] ?? undefined) as boolean | undefined;
  return { inFlight, queued, limit, meanMs, level: level / kLevelScale, inner, height, chargeMs };
}

/** Headers from their field. */
export function parseHeaders(field: unknown, names: NameReader): string[] {
  return (field as unknown[]).map((text) => names.read(text));
}

/** A call from its fields. */
export function parseCall(fields: unknown[], names: NameReader): PeerCall {
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
