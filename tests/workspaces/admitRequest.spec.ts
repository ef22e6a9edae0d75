/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Admission of external requests. Guards against a wrong order of checks, and against effects of one overloaded workspace on others. */

import {
  type AdmitContext,
  admitRequest,
  type EntryRequest,
  type EntryResult,
  TokenBucket,
  RootAdmission,
  RouteTable,
  seededRandom,
  SlotGate,
  WorkspaceTable,
} from '@gentiandrum/core';
import { type MeshConfig, meshConfigSchema } from '@gentiandrum/protocol';
import { describe, it } from '../support/describe.js';

const kRoute = { host: 'app', destinations: [{ service: 's', weight: 1 }], timeoutMs: 1_000, latencyTargetMs: 400 };
const kConfig: MeshConfig = meshConfigSchema.parse({
  version: 3,
  routes: [
    { ...kRoute, name: 'read', prefix: '/read/', priority: 2 },
    { ...kRoute, name: 'hold', prefix: '/hold/', priority: 0 },
    { ...kRoute, name: 'open', prefix: '/open/', exempt: true },
  ],
  services: [{ name: 's', maxConnections: 10 }],
  limits: { headerBytes: 1_000, bodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 },
  workspaces: [
    { name: 'crew', keys: ['k-crew'], priority: 0, ratePerSecond: 10, burst: 10 },
    { name: 'office', keys: ['k-office'], priority: 1, ratePerSecond: 10, burst: 10 },
    { name: 'free', keys: ['k-free'], priority: 1 },
  ],
});
const kTables = { version: 3, routes: new RouteTable(kConfig), workspaces: new WorkspaceTable(kConfig) };

interface Recorded {
  taken: string[];
  ranks: number[];
}

function createContext(recorded: Recorded, changed: Partial<AdmitContext> = {}): AdmitContext {
  return {
    tables: () => kTables,
    validUntil: () => 1_000,
    now: () => 0,
    *takeToken(workspace) {
      recorded.taken.push(workspace);
      return { kind: 'granted', share: { host: 'h', zone: 'z', fraction: 1 } };
    },
    shouldShed: (_route, rank) => {
      recorded.ranks.push(rank);
      return false;
    },
    canEndInTime: () => true,
    ...changed,
  };
}

function enter(req: Partial<EntryRequest>, changed?: Partial<AdmitContext>): { result: EntryResult; recorded: Recorded } {
  const recorded: Recorded = { taken: [], ranks: [] };
  const procedure = admitRequest(
    { host: 'app', path: '/read/1', presented: { kind: 'none' }, remainingMs: Infinity, ...req },
    createContext(recorded, changed),
  );
  const step = procedure.next();
  if (step.done !== true) {
    throw new Error('expected no token request');
  }
  return { result: step.value, recorded };
}

const kCrew = { presented: { kind: 'key', key: 'k-crew' } } as const;

describe('the admission of a request', () => {
  it('should return one outcome per reason, and take a token only after all other checks', (t) => {
    const cases: [EntryResult['kind'], Partial<EntryRequest>, Partial<AdmitContext>?][] = [
      ['no_configuration', kCrew, { tables: () => undefined }],
      ['no_route', { ...kCrew, path: '/none/' }],
      ['no_key', {}],
      ['no_key', {}, { validUntil: () => 0 }],
      ['unknown_key', { presented: { kind: 'unreadable' } }],
      ['unknown_key', { presented: { kind: 'key', key: 'k-none' } }],
      ['stale_configuration', kCrew, { validUntil: () => 0 }],
      ['stale_configuration', { presented: { kind: 'key', key: 'k-none' } }, { validUntil: () => -Infinity }],
      ['admitted', { path: '/open/1' }, { validUntil: () => 0 }],
    ];
    for (const [kind, req, changed] of cases) {
      const { result, recorded } = enter(req, changed);
      t.is(result.kind, kind);
      t.deepEqual(recorded.taken, []);
    }
    t.deepEqual(enter(kCrew).recorded.taken, ['crew']);
    t.deepEqual(enter({ presented: { kind: 'key', key: 'k-free' } }).recorded.taken, []);
  });

  it('should rank by workspace before route', (t) => {
    const rankOf = (key: string, path: string): number => enter({ presented: { kind: 'key', key }, path }).recorded.ranks[0] ?? -1;
    const ranks = [rankOf('k-crew', '/hold/1'), rankOf('k-crew', '/read/1'), rankOf('k-office', '/hold/1'), rankOf('k-office', '/read/1')];
    t.deepEqual(
      ranks,
      [...ranks].sort((a, b) => a - b),
    );
    t.is(new Set(ranks).size, 4);
  });

  it('should return the workspace of a shed request, so that its token is returned', (t) => {
    const { result } = enter(kCrew, { shouldShed: () => true });
    t.is(result.kind === 'shed' ? result.workspace?.token?.host : undefined, 'h');
  });

  it('should refuse a request whose chain takes longer than the time left, or than the limit of its route, and return its token', (t) => {
    const seen: number[] = [];
    const canEndInTime: AdmitContext['canEndInTime'] = (_route, remainingMs) => {
      seen.push(remainingMs);
      return false;
    };
    const { result } = enter({ ...kCrew, remainingMs: 7 }, { canEndInTime });
    enter(kCrew, { canEndInTime });
    t.is(result.kind === 'too_late' ? result.workspace?.token?.host : undefined, 'h');
    t.deepEqual(seen, [7, kRoute.timeoutMs]);
  });
});

describe('the load check at admission', () => {
  it('should receive the workspace and the rate of its quota, as fair shares need both', (t) => {
    const seen: unknown[] = [];
    const shouldShed: AdmitContext['shouldShed'] = (_route, _rank, workspace) => {
      seen.push(workspace && [workspace.name, workspace.ratePerSecond]);
      return false;
    };
    enter(kCrew, { shouldShed });
    enter({ presented: { kind: 'key', key: 'k-free' } }, { shouldShed });
    enter({ path: '/open/1' }, { shouldShed });
    t.deepEqual(seen, [['crew', 10], ['free', undefined], undefined]);
  });
});

describe('a workspace at eight times its usual load, while a third of all load is excess', () => {
  const kUsual = 20;
  const kSeconds = 60;
  const kLevel = 0.33;

  /** Shares of admitted requests; with `hot`, one workspace sends eight times its usual load. */
  function runLoad(hot: boolean): { hot: number; others: number; rejected: number } {
    const random = seededRandom(3);
    const admission = new RootAdmission();
    const buckets = new Map<string, TokenBucket>();
    const counts = new Map<string, { arrived: number; admitted: number; overQuota: number }>();
    for (let now = 0; now < kSeconds * 1_000; now += 1) {
      for (const name of ['w0', 'w1', 'w2', 'w3', 'w4']) {
        const rate = kUsual * (hot && name === 'w0' ? 8 : 1);
        if (random() >= rate / 1_000) {
          continue;
        }
        const limits = { ratePerSecond: kUsual * 1.6, capacity: kUsual * 1.6, reserve: 0 };
        const bucket = buckets.get(name) ?? new TokenBucket(limits, kUsual, now);
        buckets.set(name, bucket);
        const count = counts.get(name) ?? { arrived: 0, admitted: 0, overQuota: 0 };
        counts.set(name, count);
        count.arrived++;
        if (!bucket.take(now).granted) {
          count.overQuota++;
        } else if (admission.admits(1_000, kLevel, random(), now)) {
          count.admitted++;
        } else {
          bucket.returnTokens(1, now);
        }
      }
    }
    const others = [...counts].filter(([name]) => name !== 'w0').map(([, count]) => count);
    const admittedShare = (list: { arrived: number; admitted: number }[]): number =>
      list.reduce((sum, count) => sum + count.admitted, 0) / list.reduce((sum, count) => sum + count.arrived, 0);
    const overloaded = counts.get('w0') ?? { arrived: 1, admitted: 0, overQuota: 0 };
    return { hot: admittedShare([overloaded]), others: admittedShare(others), rejected: overloaded.overQuota / overloaded.arrived };
  }

  it('should not affect others, as requests above its quota are refused before they count as load', (t) => {
    const baseline = runLoad(false);
    const overload = runLoad(true);
    t.true(
      Math.abs(overload.others - baseline.others) < 0.02,
      `${baseline.others} admitted before, ${overload.others} during the overload`,
    );
    t.true(overload.rejected > 0.5);
    t.true(overload.hot > 0.1, 'it still gets its quota');
  });
});

describe('a full gate', () => {
  it('should shed the less urgent request first, even if it arrived earlier, and no internal call before an external one', (t) => {
    const refused: number[] = [];
    const gate = new SlotGate({ onStart: () => undefined, onRefuse: ({ id }) => refused.push(id) });
    gate.open(1, 0);
    gate.offer({ id: 0, waitUntil: Infinity });
    gate.callEnded(0, 100);
    gate.offer({ id: 1, waitUntil: Infinity });
    const waitUntil = performance.now() + 250;
    t.is(gate.offer({ id: 2, waitUntil, rank: 1_002 }).kind, 'queued');
    t.is(gate.offer({ id: 3, waitUntil }).kind, 'queued');
    t.is(gate.offer({ id: 4, waitUntil, rank: 1_002 }).kind, 'refused');
    t.is(gate.offer({ id: 5, waitUntil, rank: 2 }).kind, 'queued');
    t.deepEqual(refused, [2]);
    t.is(gate.offer({ id: 6, waitUntil, rank: 1 }).kind, 'queued');
    t.deepEqual(refused, [2, 5]);
    t.is(gate.offer({ id: 7, waitUntil, rank: 1 }).kind, 'refused');
    t.is(gate.queued, 2);
  });
});
