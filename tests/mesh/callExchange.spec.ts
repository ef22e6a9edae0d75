/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { type CallResult, ChainModel, type GateReport, type TargetRecord } from '@gentiandrum/core';
import { CallExchange, Deadlines, type ExchangeDeps, type ExchangeResult, type RoutedRequest } from '@gentiandrum/mesh';
import type { Route } from '@gentiandrum/protocol';
import { describe, it } from '../support/describe.js';

const kFull: GateReport = { inFlight: 15, queued: 9, limit: 15, meanMs: 40, level: 0, inner: undefined, height: 0, chargeMs: 0 };
const kRoute: Route = {
  name: 'search',
  host: 'app.example',
  prefix: '/a/',
  destinations: [{ service: 'reads', weight: 1 }],
  idempotent: true,
  timeoutMs: 2_000,
  latencyTargetMs: 200,
  maxAttempts: 2,
  priority: 0,
  exempt: false,
};

function target(host: string): TargetRecord {
  return { host, zone: 'z1', peers: '', service: 'reads', instance: `i-${host}`, state: 'ready', slots: 16, epoch: 1, revision: 1 };
}

function run(results: CallResult[]): { exchange: CallExchange; end: ExchangeResult | undefined } {
  const targets = results.map((_, i) => target(`h${i + 1}`));
  const result: { end: ExchangeResult | undefined } = { end: undefined };
  let next = 0;
  const deps: ExchangeDeps = {
    candidates: () => targets,
    choose: (candidates, excluded) => candidates.find(({ host }) => !excluded.has(host)),
    offer: (_target, _call, done) => {
      done(results[next++] ?? { kind: 'lost', reason: 'no more results' }, kFull);
      return { cancel: () => undefined };
    },
    chains: new ChainModel(),
    suspects: { assess: () => undefined },
    unreachable: () => 0,
    deadlines: new Deadlines(),
    onOfferSent: () => undefined,
    onOfferResult: () => undefined,
    deprioritize: () => undefined,
  };
  const req: RoutedRequest = {
    route: kRoute,
    service: 'reads',
    callerService: 'front',
    requestId: 'a1',
    method: 'GET',
    path: '/a/x',
    headers: [],
    body: Buffer.alloc(0),
    rank: 0,
    chain: { kind: 'unknown' },
    workspace: undefined,
    deadline: performance.now() + 1_000,
  };
  const exchange = new CallExchange(req, deps, (finalResult) => {
    result.end = finalResult;
  });
  exchange.start();
  return { exchange, end: result.end };
}

describe('an exchange', () => {
  it('should report the host, the result and the gate load of each unsuccessful offer', (t) => {
    const { exchange, end } = run([
      { kind: 'not_run', reason: 'overloaded', retryAfterMs: 50 },
      { kind: 'answered', answer: { status: 500, headers: [], body: Buffer.alloc(0) } },
      { kind: 'answered', answer: { status: 200, headers: [], body: Buffer.alloc(0) } },
    ]);
    t.is(end?.kind, 'answered');
    t.deepEqual(
      exchange.failed.map(({ host, end: how, inFlight, queued, limit }) => ({ host, how, inFlight, queued, limit })),
      [
        { host: 'h1', how: 'not_run: overloaded', inFlight: 15, queued: 9, limit: 15 },
        { host: 'h2', how: 'status 500', inFlight: 15, queued: 9, limit: 15 },
      ],
    );
  });

  it('should report no failed offers when the first one succeeds', (t) => {
    const { exchange } = run([{ kind: 'answered', answer: { status: 200, headers: [], body: Buffer.alloc(0) } }]);
    t.deepEqual(exchange.failed, []);
  });
});
