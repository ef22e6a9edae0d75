/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** The way of a request in: the order of its checks, and a workspace that sends many times its usual while the rest is busy. */

import {
  type AdmitContext,
  admitRequest,
  type EntryRequest,
  type EntryResult,
  QuotaBucket,
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

interface Noted {
  taken: string[];
  ranks: number[];
}

function around(noted: Noted, changed: Partial<AdmitContext> = {}): AdmitContext {
  return {
    tables: () => kTables,
    validUntil: () => 1_000,
    now: () => 0,
    *takeToken(workspace) {
      noted.taken.push(workspace);
      return { kind: 'granted', part: { host: 'h', zone: 'z', share: 1 } };
    },
    shouldShed: (_route, rank) => {
      noted.ranks.push(rank);
      return false;
    },
    ...changed,
  };
}

function enter(req: Partial<EntryRequest>, changed?: Partial<AdmitContext>): { end: EntryResult; noted: Noted } {
  const noted: Noted = { taken: [], ranks: [] };
  const procedure = admitRequest({ host: 'app', path: '/read/1', presented: { kind: 'none' }, ...req }, around(noted, changed));
  const step = procedure.next();
  if (step.done !== true) {
    throw new Error('expected no question');
  }
  return { end: step.value, noted };
}

const kCrew = { presented: { kind: 'key', key: 'k-crew' } } as const;

describe('the way of a request in', () => {
  it('should end in one outcome for each reason, and take a token only when all else is well', (t) => {
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
      const { end, noted } = enter(req, changed);
      t.is(end.kind, kind);
      t.deepEqual(noted.taken, []);
    }
    t.deepEqual(enter(kCrew).noted.taken, ['crew']);
    t.deepEqual(enter({ presented: { kind: 'key', key: 'k-free' } }).noted.taken, []);
  });

  it('should rank by workspace before route', (t) => {
    const rankOf = (key: string, path: string): number => enter({ presented: { kind: 'key', key }, path }).noted.ranks[0] ?? -1;
    const ranks = [rankOf('k-crew', '/hold/1'), rankOf('k-crew', '/read/1'), rankOf('k-office', '/hold/1'), rankOf('k-office', '/read/1')];
    t.deepEqual(
      ranks,
      [...ranks].sort((a, b) => a - b),
    );
    t.is(new Set(ranks).size, 4);
  });

  it('should name the workspace of a request that is shed, so that its token goes back', (t) => {
    const { end } = enter(kCrew, { shouldShed: () => true });
    t.is(end.kind === 'shed' ? end.workspace?.token?.host : undefined, 'h');
  });
});

describe('a workspace at eight times its usual, while a third of the load is too much', () => {
  const kUsual = 20;
  const kSeconds = 60;
  const kLevel = 0.33;

  /** Shares of requests that are let in, by workspace; `hot` sends eight times its usual. */
  function play(hot: boolean): { hot: number; others: number; rejected: number } {
    const random = seededRandom(3);
    const admission = new RootAdmission();
    const buckets = new Map<string, QuotaBucket>();
    const counts = new Map<string, { came: number; in: number; over: number }>();
    for (let now = 0; now < kSeconds * 1_000; now += 1) {
      for (const name of ['w0', 'w1', 'w2', 'w3', 'w4']) {
        const rate = kUsual * (hot && name === 'w0' ? 8 : 1);
        if (random() >= rate / 1_000) {
          continue;
        }
        const limits = { ratePerSecond: kUsual * 1.6, capacity: kUsual * 1.6, start: 0 };
        const bucket = buckets.get(name) ?? new QuotaBucket(limits, kUsual, now);
        buckets.set(name, bucket);
        const count = counts.get(name) ?? { came: 0, in: 0, over: 0 };
        counts.set(name, count);
        count.came++;
        if (!bucket.take(now).granted) {
          count.over++;
        } else if (admission.admits(1_000, kLevel, random(), now)) {
          count.in++;
        } else {
          bucket.giveBack(1, now);
        }
      }
    }
    const others = [...counts].filter(([name]) => name !== 'w0').map(([, count]) => count);
    const shareOf = (list: { came: number; in: number }[]): number =>
      list.reduce((sum, count) => sum + count.in, 0) / list.reduce((sum, count) => sum + count.came, 0);
    const of = counts.get('w0') ?? { came: 1, in: 0, over: 0 };
    return { hot: shareOf([of]), others: shareOf(others), rejected: of.over / of.came };
  }

  it('should cost the others nothing, as what is over its quota is refused before it counts as load', (t) => {
    const calm = play(false);
    const rush = play(true);
    t.true(Math.abs(rush.others - calm.others) < 0.02, `${calm.others} let in before, ${rush.others} beside it`);
    t.true(rush.rejected > 0.5);
    t.true(rush.hot > 0.1, 'it is still served what it is owed');
  });
});

describe('a full gate', () => {
  it('should shed the less urgent first, also one that came first, and never a call of a target for a person’s request', (t) => {
    const refused: number[] = [];
    const gate = new SlotGate({ onStart: () => undefined, onRefuse: ({ id }) => refused.push(id) });
    gate.open(1, 0);
    gate.offer({ id: 0, waitUntil: Infinity });
    gate.ended(0, 100);
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
