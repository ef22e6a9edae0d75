/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Whether a request is let in where it enters: its route, its workspace, how fresh the configuration is that says so, its quota, and the
 * load on its chain, in this order. A generator of questions to the owners of quotas; most requests need one or none.
 */

import type { Route } from '@gentiandrum/protocol';
import type { RouteTable } from '../routing/routeTable.js';
import type { PresentedKey } from '../workspaces/credentials.js';
import type { QuotaEnd, TokenAnswer, TokenRequest } from '../workspaces/quotaAsker.js';
import type { QuotaLimits, QuotaPart } from '../workspaces/quotaParts.js';
import { keyHash, type WorkspaceTable } from '../workspaces/workspaceTable.js';

/** A workspace's priority goes before that of routes, which are below this. */
const kRanksPerWorkspace = 1_000;
/** Time after which a request that was turned away may come back, as a share of its latency target. */
const kShedRetryAfterRatio = 0.3;

/** What decides of a request that came. */
export interface EntryRequest {
  host: string;
  /** May carry a query. */
  path: string;
  presented: PresentedKey;
}

/** A configuration in force, ready for look-ups. */
export interface RoutingTables {
  version: number;
  routes: RouteTable;
  workspaces: WorkspaceTable;
}

/** Whose request it is, as gates need it. */
export interface RequestWorkspace {
  name: string;
  keyHash: number;
  /** Version of the configuration that said so. */
  version: number;
  /** Until when that may be relied on, on the monotonic clock; infinite where revocation is not strict. */
  validUntil: number;
  /** Where its token came from; undefined when the workspace has no limit. */
  token: QuotaPart | undefined;
}

/** What became of a request where it entered. */
export type EntryResult =
  | { kind: 'admitted'; route: Route; service: string; rank: number; workspace: RequestWorkspace | undefined }
  | { kind: 'no_configuration' }
  | { kind: 'no_route' }
  | { kind: 'no_key'; route: Route }
  | { kind: 'unknown_key'; route: Route; key: string | undefined }
  | { kind: 'stale_configuration'; route: Route }
  | { kind: 'over_quota'; route: Route; workspace: string; retryAfterMs: number }
  | { kind: 'quota_unknown'; route: Route; workspace: string; retryAfterMs: number }
  | { kind: 'shed'; route: Route; workspace: RequestWorkspace | undefined; retryAfterMs: number };

/** What the procedure asks of its surroundings. */
export interface AdmitContext {
  tables(): RoutingTables | undefined;
  /** Until when the configuration may be relied on for keys, on the monotonic clock. */
  validUntil(): number;
  /** The monotonic clock, in milliseconds. */
  now(): number;
  takeToken(workspace: string, limits: QuotaLimits): Generator<TokenRequest, QuotaEnd, TokenAnswer>;
  /** Whether a request of a rank is to be turned away for the load on its chain; 0 is the most urgent, `keyed` are people's. */
  shouldShed(route: Route, rank: number, keyed: boolean): boolean;
}

/** Decides on one request. */
export function* admitRequest(req: EntryRequest, ctx: AdmitContext): Generator<TokenRequest, EntryResult, TokenAnswer> {
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
    return decideByLoad(route, undefined, route.priority, tables, ctx);
  }
  const identified = identify(route, req.presented, tables, ctx);
  if (identified.kind !== 'identified') {
    return identified;
  }
  const { workspace } = identified;
  const { name, ratePerSecond, burst, priority } = identified.entry;
  if (ratePerSecond !== undefined) {
    const quota = yield* ctx.takeToken(name, { ratePerSecond, burst });
    if (quota.kind !== 'granted') {
      return { kind: quota.kind, route, workspace: name, retryAfterMs: quota.retryAfterMs };
    }
    workspace.token = quota.part;
  }
  return decideByLoad(route, workspace, priority * kRanksPerWorkspace + Math.min(kRanksPerWorkspace - 1, route.priority), tables, ctx);
}

type IdentifyResult =
  | {
      kind: 'identified';
      entry: { name: string; ratePerSecond?: number | undefined; burst: number; priority: number };
      workspace: RequestWorkspace;
    }
  | Extract<EntryResult, { kind: 'no_key' | 'unknown_key' | 'stale_configuration' }>;

/** A key that isn't known to a daemon with an old configuration may be a new one, so that is no reason to call it unknown. */
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

function decideByLoad(
  route: Route,
  workspace: RequestWorkspace | undefined,
  rank: number,
  { routes }: RoutingTables,
  ctx: AdmitContext,
): EntryResult {
  if (ctx.shouldShed(route, rank, workspace !== undefined)) {
    return { kind: 'shed', route, workspace, retryAfterMs: route.latencyTargetMs * kShedRetryAfterRatio };
  }
  return { kind: 'admitted', route, service: routes.nextService(route), rank, workspace };
}
