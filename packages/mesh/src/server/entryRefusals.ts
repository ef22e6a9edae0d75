/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Responses, log lines and metric outcomes for requests that are refused at entry. */

import { type EntryResult, loggedKeyHash } from '@gentiandrum/core';
import type { EventFields } from '../app/eventLog.js';
import type { RequestOutcome } from '../app/latencyMetric.js';

/** Result of a request that was refused at entry. */
export type RefusedEntry = Exclude<EntryResult, { kind: 'admitted' }>;

/** How a refusal is reported. */
export interface EntryRefusal {
  status: number;
  detail: string;
  outcome: RequestOutcome;
  /** Retry-After value, in milliseconds; undefined when a retry is useless. */
  retryAfterMs?: number;
  headers?: string[];
  /** Text of the log line; undefined for frequent mistakes of callers, which are not logged. */
  logText?: string;
  /** Whether the line counts against the budget of low-priority lines, so that a single caller cannot displace lines about failures. */
  lowPriority?: boolean;
}

/** Retry-After value when no better one is known, in milliseconds. */
const kDefaultRetryAfterMs = 200;
/** Retry-After value while the configuration is stale, in milliseconds. */
const kStaleRetryMs = 500;
const kBearerChallenge = ['www-authenticate', 'Bearer'];

/** Returns how a refusal is reported to the caller, the log and the metrics. */
export function refusalOf(result: RefusedEntry): EntryRefusal {
  switch (result.kind) {
    case 'no_configuration':
      return { status: 503, detail: 'not run: no configuration received yet', outcome: result.kind, retryAfterMs: kDefaultRetryAfterMs };
    case 'no_route':
      return { status: 404, detail: 'no route matches the request', outcome: result.kind };
    case 'no_key':
      return { status: 401, detail: 'expected an API key of a workspace, got none', outcome: result.kind, headers: kBearerChallenge };
    case 'unknown_key':
      return {
        status: 401,
        detail: 'expected an API key of a workspace, got an unknown key',
        outcome: result.kind,
        headers: kBearerChallenge,
        logText: 'Request refused: unknown API key.',
        lowPriority: true,
      };
    case 'stale_configuration':
      return {
        status: 503,
        detail: 'not run: the configuration is too old to validate the API key',
        outcome: result.kind,
        retryAfterMs: kStaleRetryMs,
        logText: 'Request refused: the configuration is too old to validate API keys.',
      };
    case 'over_quota':
      return {
        status: 429,
        detail: 'not run: the workspace is over its quota',
        outcome: result.kind,
        retryAfterMs: result.retryAfterMs,
        logText: 'Request refused: the workspace is over its quota.',
        lowPriority: true,
      };
    case 'quota_unknown':
      return {
        status: 503,
        detail: 'not run: the quota of the workspace could not be checked',
        outcome: result.kind,
        retryAfterMs: result.retryAfterMs,
        logText: 'Request refused: the owners of the workspace quota did not respond.',
      };
    case 'shed':
    case 'too_late':
      return overloadRefusalOf(result);
  }
}

function overloadRefusalOf({ kind, retryAfterMs }: Extract<RefusedEntry, { kind: 'shed' | 'too_late' }>): EntryRefusal {
  return kind === 'shed'
    ? {
        status: 503,
        detail: 'not run: overloaded',
        outcome: kind,
        retryAfterMs,
        logText: 'Request shed at entry: its call chain is overloaded.',
      }
    : {
        status: 503,
        detail: 'not run: its call chain takes longer than the time left',
        outcome: kind,
        retryAfterMs,
        logText: 'Request refused at entry: its call chain takes longer than the time left.',
        lowPriority: true,
      };
}

/** Returns the log fields of a refusal. Of a key, only a short hash is logged. */
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
    case 'too_late':
      return { route: result.route.name, workspace: refusedWorkspace(result) };
  }
}

/** Returns the workspace whose request was refused; undefined when there is none or it is unknown. */
export function refusedWorkspace(result: RefusedEntry): string | undefined {
  switch (result.kind) {
    case 'over_quota':
    case 'quota_unknown':
      return result.workspace;
    case 'shed':
    case 'too_late':
      return result.workspace?.name;
    case 'no_configuration':
    case 'no_route':
    case 'no_key':
    case 'unknown_key':
    case 'stale_configuration':
      return undefined;
  }
}

/** Returns the service to which metrics attribute a refusal. */
export function refusedService(result: RefusedEntry): string {
  return 'route' in result ? (result.route.destinations[0]?.service ?? 'none') : 'none';
}
