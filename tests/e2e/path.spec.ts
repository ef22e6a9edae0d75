/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against incomplete responses, wrong rejections and repeated holds in a fleet of real processes. */

import test from 'ava';
import { RawCaller } from '../mesh/rawCaller.js';
import { describe, itSerial } from '../support/describe.js';
import { Fleet } from '../support/fleet.js';
import { kSampleConfig } from '../support/sampleConfig.js';

let fleet: Fleet;

test.before(async () => {
  fleet = await Fleet.start([
    { id: 'a1', zone: 'east', service: 'alpha', behaviour: { onward: [{ service: 'beta', method: 'GET', path: '/x' }] } },
    { id: 'b1', zone: 'east', service: 'beta', behaviour: { echo: true } },
    { id: 'b2', zone: 'west', service: 'beta', behaviour: { echo: true } },
  ]);
  const applied = await fleet.runCli(['apply', 'FILE', '--base', '0', '--wait'], kSampleConfig);
  if (applied.code !== 0) {
    throw new Error(applied.err);
  }
  await fleet.untilTargets('beta', 2);
  await fleet.untilTargets('alpha', 1);
});

test.after.always(() => {
  fleet.stop();
});

function send(host: string, path: string, init: RequestInit = {}): Promise<Response> {
  return fetch(`http://${fleet.host(host).address}${path}`, init);
}

describe('a request', () => {
  itSerial('should receive the complete response through two daemons and an onward call', async (t) => {
    const res = await send('b2', '/alpha/hello', { headers: { 'x-call': 'one' } });
    t.is(res.status, 200);
    t.is(await res.text(), 'alpha GET /hello');
    t.is(res.headers.get('gentiandrum-outcome'), 'ran');
    t.is(await fleet.totalRuns('one'), 2);
  });

  itSerial('should transfer bodies of any size in full', async (t) => {
    const sizes = [0, 1, 1_000, 100_000, 1_048_576];
    const lengths = await Promise.all(
      sizes.map(async (size) => {
        const res = await send('a1', '/beta/holds', { method: 'POST', body: 'x'.repeat(size) });
        return (await res.text()).length;
      }),
    );
    t.deepEqual(lengths, sizes);
  });

  // The HTTP server discarded the bytes behind it, so that a later request got no response, or was read from its middle.
  itSerial('should be the last one of its connection when it offers to upgrade the protocol', async (t) => {
    const caller = await RawCaller.open(fleet.host('a1').address);
    const offer = 'Host: a1\r\nConnection: Upgrade\r\nUpgrade: other\r\nContent-Length: 5\r\n\r\nfirst';
    const inner = 'POST /beta/holds HTTP/1.1\r\nHost: a1\r\nX-Call: inner\r\nContent-Length: 0\r\n\r\n';
    caller.write(`POST /beta/holds HTTP/1.1\r\n${offer}POST /beta/holds HTTP/1.1\r\nHost: a1\r\nContent-Length: ${inner.length}\r\n\r\n`);
    caller.write(inner);
    const text = await caller.untilClosed();
    t.is(text.match(/HTTP\/1.1 /g)?.length, 1);
    t.regex(text, /^HTTP\/1.1 200 [^]*connection: close[^]*\r\n\r\nfirst$/i);
    t.is(await fleet.totalRuns('inner'), 0);
  });

  itSerial('should be explained by its id', async (t) => {
    const res = await send('a1', '/beta/x');
    await res.text();
    const explained = await fleet.runCli(['explain', res.headers.get('gentiandrum-request-id') ?? '']);
    t.is(explained.code, 0, explained.err);
    t.regex(explained.out, /route \[beta-read\] b1-target: own_zone/);
  });
});

describe('a rejected request', () => {
  const cases = [
    { title: 'an unknown service', path: '/gamma/x', init: {}, kind: 'unknown_service' },
    { title: 'a request that matches no class', path: '/beta/x', init: { method: 'DELETE' }, kind: 'unknown_class' },
    {
      title: 'a forged chain token',
      path: '/beta/x',
      init: { headers: { 'gentiandrum-chain': 'Zm9yZ2Vk.AAAAAAAAAAAAAAAA' } },
      kind: 'bad_chain_token',
    },
    { title: 'a truncated chain token', path: '/beta/x', init: { headers: { baggage: 'gentiandrum-chain=abc' } }, kind: 'bad_chain_token' },
    { title: 'a malformed timeout', path: '/beta/x', init: { headers: { 'gentiandrum-timeout-ms': 'soon' } }, kind: 'bad_request' },
    {
      title: 'a malformed key',
      path: '/beta/x',
      init: { method: 'POST', headers: { 'idempotency-key': 'k'.repeat(300) } },
      kind: 'bad_key',
    },
    { title: 'a body over the limit', path: '/beta/x', init: { method: 'POST', body: 'x'.repeat(5_000_000) }, kind: 'body_too_large' },
  ];
  for (const { title, path, init, kind } of cases) {
    itSerial(`should report ${title} with the outcome not_run`, async (t) => {
      const res = await send('a1', path, {
        ...init,
        headers: { 'x-call': kind, ...((init as RequestInit).headers as Record<string, string> | undefined) },
      });
      const problem = (await res.json()) as { kind: string; outcome: string };
      t.is(problem.kind, kind);
      t.is(problem.outcome, 'not_run');
      t.is(res.headers.get('content-type'), 'application/problem+json');
      t.is(await fleet.totalRuns(kind), 0);
    });
  }
});

describe('a keyed hold', () => {
  itSerial('should run once and return the same response to its repeats at every daemon', async (t) => {
    const hold = { method: 'POST', body: '{"bed":1}', headers: { 'idempotency-key': 'hold-1', 'x-call': 'hold-1' } };
    for (const host of ['a1', 'b1', 'b2', 'a1']) {
      const res = await send(host, '/beta/holds', hold);
      t.is(res.status, 200);
      t.is(await res.text(), '{"bed":1}');
    }
    t.is(await fleet.totalRuns('hold-1'), 1);
  });

  itSerial('should be rejected when its key is reused with another body', async (t) => {
    const hold = (bed: number): RequestInit => ({
      method: 'POST',
      body: `{"bed":${bed}}`,
      headers: { 'idempotency-key': 'hold-2', 'x-call': 'hold-2' },
    });
    t.is((await send('a1', '/beta/holds', hold(1))).status, 200);
    t.is((await send('b2', '/beta/holds', hold(2))).status, 422);
    t.is(await fleet.totalRuns('hold-2'), 1);
  });

  itSerial('should run once with a minted key that is settled without the log', async (t) => {
    const { namespace } = (await (await send('a1', '/-/namespaces', { method: 'POST' })).json()) as { namespace: string };
    await fleet.setLogFaults({ down: true });
    const hold = { method: 'POST', body: '{"bed":3}', headers: { 'idempotency-key': `${namespace}/1`, 'x-call': 'hold-3' } };
    for (const host of ['b1', 'a1', 'b2']) {
      t.is((await send(host, '/beta/holds', hold)).status, 200, host);
    }
    await fleet.setLogFaults({});
    t.is(await fleet.totalRuns('hold-3'), 1);
  });

  itSerial('should be rejected as not_run while the log is down, and run afterwards', async (t) => {
    await fleet.setLogFaults({ down: true });
    const hold = { method: 'POST', body: '{"bed":4}', headers: { 'idempotency-key': 'hold-4', 'x-call': 'hold-4' } };
    const refused = await send('a1', '/beta/holds', hold);
    const problem = (await refused.json()) as { kind: string; outcome: string };
    t.is(problem.kind, 'log_unavailable');
    t.is(problem.outcome, 'not_run');
    t.truthy(refused.headers.get('retry-after'));
    t.is(await fleet.totalRuns('hold-4'), 0);
    await fleet.setLogFaults({});
    t.is((await send('a1', '/beta/holds', hold)).status, 200);
    t.is(await fleet.totalRuns('hold-4'), 1);
  });
});
