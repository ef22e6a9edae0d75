/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** What callers, logs and metrics are told of a request that was refused where it entered: one table for all outcomes. */

import { type EntryResult, loggedKeyHash } from '@gentiandrum/core';
import type { EventFields } from '../app/eventLog.js';
import type { RequestOutcome } from '../app/latencyMetric.js';

/** A request that was refused where it entered. */
export type RefusedEntry = Exclude<EntryResult, { kind: 'admitted' }>;

/** How a refusal is told. */
export interface EntryRefusal {
  status: number;
  detail: string;
  outcome: RequestOutcome;
  /** Time after which the caller may come back, in milliseconds; undefined when that is of no use. */
  retryAfterMs?: number;
  headers?: string[];
  /** Text of the log line; none for what callers send wrongly in numbers. */
  logText?: string;
  /** Whether the line takes from the budget of ordinary ones: what single callers cause must not displace failures. */
  ordinary?: boolean;
}

/** Time after which a caller may come back when nothing better is known, in milliseconds. */
const kDefaultRetryAfterMs = 200;
/** Time after which a daemon with an old configuration may know better, in milliseconds. */
const kStaleRetryMs = 500;
const kBearerChallenge = ['www-authenticate', 'Bearer'];

/** How a refusal is told to the caller, the log and the metrics. */
export function refusalOf(result: RefusedEntry): EntryRefusal {
  switch (result.kind) {
    case 'no_configuration':
      return { status: 503, detail: 'not run: no configuration is known yet', outcome: result.kind, retryAfterMs: kDefaultRetryAfterMs };
    case 'no_route':
      return { status: 404, detail: 'no route matches', outcome: result.kind };
    case 'no_key':
      return { status: 401, detail: 'expected the key of a workspace, got none', outcome: result.kind, headers: kBearerChallenge };
    case 'unknown_key':
      return {
        status: 401,
        detail: 'expected the key of a workspace, got one that no workspace has',
        outcome: result.kind,
        headers: kBearerChallenge,
        logText: 'The key is not known.',
        ordinary: true,
      };
    case 'stale_configuration':
      return {
        status: 503,
        detail: 'not run: it is not known whether the key still holds',
        outcome: result.kind,
        retryAfterMs: kStaleRetryMs,
        logText: 'The configuration is too old to rely on keys.',
      };
    case 'over_quota':
      return {
        status: 429,
        detail: 'not run: the workspace is over its quota',
        outcome: result.kind,
        retryAfterMs: result.retryAfterMs,
        logText: 'The workspace is over its quota.',
        ordinary: true,
      };
    case 'quota_unknown':
      return {
        status: 503,
        detail: 'not run: the quota of the workspace could not be checked',
        outcome: result.kind,
        retryAfterMs: result.retryAfterMs,
        logText: 'The owners of the quota could not be asked.',
      };
    case 'shed':
      return {
        status: 503,
        detail: 'not run: overloaded',
        outcome: result.kind,
        retryAfterMs: result.retryAfterMs,
        logText: 'Turned away where it entered: there is too much work on its chain.',
      };
  }
}

/** What a log line says of a refusal beyond its text; of a key only enough to tell two apart. */
export function refusalFields(result: RefusedEntry): EventFields {
  switch (result.kind) {
    case 'no_configuration':
    case 'no_route':
      return {};
    case 'no_key':
    case 'stale_configuration':
      return { route: result.route.name };
    case 'unknown_key':
      return { route: result.route.name, ...(result.key === undefined ? {} : { key: loggedKeyHash(result.key) }) };
    case 'over_quota':
    case 'quota_unknown':
      return { route: result.route.name, workspace: result.workspace, retryAfterMs: Math.round(result.retryAfterMs) };
    case 'shed':
      return { route: result.route.name, workspace: refusedWorkspace(result) };
  }
}

/** Workspace whose request was refused; undefined when it has none, or that is not known. */
export function refusedWorkspace(result: RefusedEntry): string | undefined {
  switch (result.kind) {
    case 'over_quota':
    case 'quota_unknown':
      return result.workspace;
    case 'shed':
      return result.workspace?.name;
    case 'no_configuration':
    case 'no_route':
    case 'no_key':
    case 'unknown_key':
    case 'stale_configuration':
      return undefined;
  }
}

/** Service that a refusal counts for. */
export function refusedService(result: RefusedEntry): string {
  return 'route' in result ? (result.route.destinations[0]?.service ?? 'none') : 'none';
}
