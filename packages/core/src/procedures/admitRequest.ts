/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Admission of a request where it enters the mesh. Checks its route, its workspace, the age of the configuration, the quota and the load
 * on its chain, in this order. The generator yields token requests to quota owners; most requests need one or none.
 */

import type { Route } from '@gentiandrum/protocol';
import type { RouteTable } from '../routing/routeTable.js';
import type { PresentedKey } from '../workspaces/credentials.js';
import type { WorkspaceRate } from '../workspaces/fairShares.js';
import type { QuotaResult, TokenResponse, TokenRequest } from '../workspaces/quotaClient.js';
import type { QuotaLimits, QuotaShare } from '../workspaces/quotaShares.js';
import { keyHash, type WorkspaceTable } from '../workspaces/workspaceTable.js';

/** Ranks per workspace priority. Route priorities are capped below this, so the workspace priority takes precedence. */
const kRanksPerWorkspace = 1_000;
/** Retry-after time of a shed request, as a fraction of the latency target of its route. */
const kShedRetryAfterRatio = 0.3;

/** Properties of an incoming request that decide on its admission. */
export interface EntryRequest {
  host: string;
  /** May include a query string. */
  path: string;
  presented: PresentedKey;
  /** Time until the caller's deadline, in milliseconds; infinite when the caller sends none. */
  remainingMs: number;
}

/** Lookup tables built from the configuration in force. */
export interface RoutingTables {
  version: number;
  routes: RouteTable;
  workspaces: WorkspaceTable;
}

/** Workspace of a request, in the form that gates need. */
export interface RequestWorkspace {
  name: string;
  keyHash: number;
  /** Version of the configuration that maps the key to the workspace. */
  version: number;
  /** Monotonic time until which this mapping is valid, in milliseconds; infinite where revocation is not strict. */
  validUntil: number;
  /** Quota share that the token was taken from; undefined when the workspace has no limit. */
  token: QuotaShare | undefined;
  /** Monotonic time before the token was requested, in milliseconds; 0 without a token. */
  tokenAt?: number;
}

/** Result of admission at the entry. */
export type EntryResult =
  | { kind: 'admitted'; route: Route; service: string; rank: number; workspace: RequestWorkspace | undefined }
  | { kind: 'no_configuration' }
  | { kind: 'no_route' }
  | { kind: 'no_key'; route: Route }
  | { kind: 'unknown_key'; route: Route; key: string | undefined }
  | { kind: 'stale_configuration'; route: Route }
  | { kind: 'over_quota'; route: Route; workspace: string; retryAfterMs: number }
  | { kind: 'quota_unknown'; route: Route; workspace: string; retryAfterMs: number }
  | { kind: 'shed'; route: Route; workspace: RequestWorkspace | undefined; retryAfterMs: number }
  /** Its chain takes longer than the time left. */
  | { kind: 'too_late'; route: Route; workspace: RequestWorkspace | undefined; retryAfterMs: number };

/** Functions of the daemon that the procedure uses. */
export interface AdmitContext {
  tables(): RoutingTables | undefined;
  /** Monotonic time until which the configuration may be used to look up keys, in milliseconds. */
  validUntil(): number;
  /** Current time on the monotonic clock, in milliseconds. */
  now(): number;
  takeToken(workspace: string, limits: QuotaLimits): Generator<TokenRequest, QuotaResult, TokenResponse>;
  /** Whether to shed a request because of the load on its chain. Rank 0 is the most urgent; requests with a key have a workspace. */
  shouldShed(route: Route, rank: number, workspace: WorkspaceRate | undefined): boolean;
  /** Whether a request with this time left can end in time. */
  canEndInTime(route: Route, remainingMs: number, keyed: boolean): boolean;
}

/** Decides whether to admit one request. */
export function* admitRequest(req: EntryRequest, ctx: AdmitContext): Generator<TokenRequest, EntryResult, TokenResponse> {
  const tables = ctx.tables();
  if (!tables) {
    return { kind: 'no_configuration' };
  }
  const { routes, workspaces } = tables;
  const route = routes.find(req.host, req.path);
  if (!route) {
    return { kind: 'no_route' };
  }
  if (!workspaces.required || route.exempt) {
    return decideByLoad(req, { route, workspace: undefined, rate: undefined, rank: route.priority }, tables, ctx);
  }
  const identified = identify(route, req.presented, tables, ctx);
  if (identified.kind !== 'identified') {
    return identified;
  }
  const { workspace } = identified;
  const { name, ratePerSecond, burst, priority } = identified.entry;
  if (ratePerSecond !== undefined) {
    const tokenAt = ctx.now();
    const quota = yield* ctx.takeToken(name, { ratePerSecond, burst });
    if (quota.kind !== 'granted') {
      return { kind: quota.kind, route, workspace: name, retryAfterMs: quota.retryAfterMs };
    }
    workspace.token = quota.share;
    workspace.tokenAt = tokenAt;
  }
  const rank = priority * kRanksPerWorkspace + Math.min(kRanksPerWorkspace - 1, route.priority);
  return decideByLoad(req, { route, workspace, rate: identified.entry, rank }, tables, ctx);
}

type IdentifyResult =
  | {
      kind: 'identified';
      entry: WorkspaceRate & { burst: number; priority: number };
      workspace: RequestWorkspace;
    }
  | Extract<EntryResult, { kind: 'no_key' | 'unknown_key' | 'stale_configuration' }>;

/** Looks up the workspace of a key. With an outdated configuration, a missing key may be a new one, so it is not reported as unknown. */
function identify(route: Route, presented: PresentedKey, { version, workspaces }: RoutingTables, ctx: AdmitContext): IdentifyResult {
  if (presented.kind === 'none') {
    return { kind: 'no_key', route };
  }
  if (presented.kind === 'unreadable') {
    return { kind: 'unknown_key', route, key: undefined };
  }
  const validUntil = ctx.validUntil();
  if (validUntil <= ctx.now()) {
    return { kind: 'stale_configuration', route };
  }
  const { key } = presented;
  const entry = workspaces.find(key);
  if (!entry) {
    return { kind: 'unknown_key', route, key };
  }
  return {
    kind: 'identified',
    entry: entry,
    workspace: { name: entry.name, keyHash: keyHash(key), version, validUntil, token: undefined },
  };
}

/** A request whose route, key and quota allow it to run. */
interface RankedRequest {
  route: Route;
  workspace: RequestWorkspace | undefined;
  rate: WorkspaceRate | undefined;
  rank: number;
}

function decideByLoad(
  { remainingMs }: EntryRequest,
  { route, workspace, rate, rank }: RankedRequest,
  { routes }: RoutingTables,
  ctx: AdmitContext,
): EntryResult {
  if (ctx.shouldShed(route, rank, rate)) {
    return { kind: 'shed', route, workspace, retryAfterMs: route.latencyTargetMs * kShedRetryAfterRatio };
  }
  if (!ctx.canEndInTime(route, Math.min(route.timeoutMs, remainingMs), workspace !== undefined)) {
    return { kind: 'too_late', route, workspace, retryAfterMs: route.latencyTargetMs * kShedRetryAfterRatio };
  }
  return { kind: 'admitted', route, service: routes.nextService(route), rank, workspace };
}
