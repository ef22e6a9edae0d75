/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Wiring of places for returns: guards against an inexact Retry-After, and against any effect while the switch is off. */

import { ChainModel, type EntryRequest, type EntryResult, RouteTable, WorkspaceTable } from '@gentiandrum/core';
import { ChainControl, RequestEntry, type RequestEntryDeps } from '@gentiandrum/mesh';
import { meshConfigSchema, meshSettingsSchema } from '@gentiandrum/protocol';
import { describe, itSerial } from '../support/describe.js';
import { withFakeClock } from '../support/fakeClock.js';

const kConfig = meshConfigSchema.parse({
  version: 1,
  routes: [{ name: 'r', host: 'app', prefix: '/', destinations: [{ service: 's', weight: 1 }], timeoutMs: 3_000, latencyTargetMs: 400 }],
  services: [{ name: 's', maxConnections: 10 }],
  limits: { headerBytes: 1_000, bodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 },
});

function unexpected(): never {
  throw new Error('expected no use of quotas');
}

const kNoQuotas: RequestEntryDeps['quotas'] = { take: unexpected, request: unexpected, returnToken: unexpected };

/** Admits ten requests a second for 3 s, then sheds nearly all, and enters one request twice. */
function enterTwice(returnPlaces: boolean): { results: EntryResult[]; hashed: number; entry: RequestEntry } {
  return withFakeClock((clock) => {
    const chains = new ChainModel();
    const load = meshSettingsSchema.shape.load.parse({ returnPlaces });
    const entry = new RequestEntry({
      tables: () => ({ version: 1, routes: new RouteTable(kConfig), workspaces: new WorkspaceTable(kConfig) }),
      validUntil: () => Infinity,
      quotas: kNoQuotas,
      chains,
      chainControl: new ChainControl({ load, chains }),
      load,
      metrics: { fairShareShed: () => undefined },
    });
    let hashed = 0;
    const enter = (path: string): EntryResult => {
      const results: EntryResult[] = [];
      const identity: EntryRequest['identity'] = () => {
        hashed++;
        return { method: 'GET', host: 'app', path, body: new Uint8Array() };
      };
      entry.enter({ host: 'app', path, presented: { kind: 'none' }, remainingMs: 3_000, identity }, (result) => results.push(result));
      return results[0] ?? { kind: 'no_configuration' };
    };
    const report = (level: number): void => {
      chains.recordReport('r', 'h', { level, inner: false, height: 0 });
    };
    report(0);
    for (let i = 0; i < 30; i++) {
      clock.tick(100);
      enter(`/${i}`);
    }
    report(0.999_999);
    clock.tick(100);
    const before = hashed;
    const first = enter('/x');
    clock.tick(first.kind === 'shed' ? Math.ceil(first.retryAfterMs) : 0);
    const results = [first, enter('/x')];
    return { results, hashed: before === 0 ? hashed : -1, entry };
  });
}

describe('the entry of requests', () => {
  itSerial('should admit a shed request that returns when told, and hash nothing while nothing is kept', (t) => {
    const { results, hashed, entry } = enterTwice(true);
    const [first, second] = results;
    t.true(first?.kind === 'shed' && first.retryAfterExact === true);
    t.is(second?.kind, 'admitted');
    t.is(hashed, 2);
    t.deepEqual(entry.returnCounts, { kept: 1, used: 1, lapsed: 0, none: 0 });
  });

  itSerial('should behave as without places where they are not enabled', (t) => {
    const { results, hashed, entry } = enterTwice(false);
    const [first, second] = results;
    t.true(first?.kind === 'shed' && first.retryAfterMs === 120 && !('retryAfterExact' in first));
    t.is(second?.kind, 'shed');
    t.is(hashed, 0);
    t.is(entry.returnCounts, undefined);
  });
});
