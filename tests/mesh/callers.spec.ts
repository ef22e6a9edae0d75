/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Requests of callers: pipelining, chunked, long and late bodies, early disconnects, and malformed input. */

import { UpstreamStandin } from '../platform/upstreamStandin.js';
import { describe, itSerial } from '../support/describe.js';
import { type FleetHost, type MeshFleet, withFleet } from './meshFleet.js';
import { RawCaller, requestText } from './rawCaller.js';

async function startHost(fleet: MeshFleet, limits: Record<string, number> = {}): Promise<FleetHost> {
  fleet.configure(
    [
      { prefix: '/a/', service: 'reads' },
      { prefix: '/once/', service: 'reads', idempotent: false },
    ],
    limits,
  );
  const host = await fleet.add('h1', 'reads');
  await fleet.untilServing('/a/warm');
  return host;
}

describe('callers', () => {
  itSerial('should receive the responses to pipelined requests in request order', (t) =>
    withFleet(async (fleet) => {
      const host = await startHost(fleet);
      const caller = await RawCaller.open(host.calls);
      host.target.workMs = 120;
      caller.write(requestText('/a/1', 'p1'));
      await fleet.until('the first request to run', () => host.target.running === 1);
      host.target.workMs = 1;
      caller.write(requestText('/a/2', 'p2') + requestText('/a/3', 'p3'));
      const text = await caller.until(/did p3/);
      t.deepEqual(text.match(/did p\d/g), ['did p1', 'did p2', 'did p3']);
      caller.disconnect();
    }),
  );

  itSerial('should have chunked bodies forwarded completely, and their connection kept open', (t) =>
    withFleet(async (fleet) => {
      const host = await startHost(fleet);
      const caller = await RawCaller.open(host.calls);
      const headers = ['Transfer-Encoding: chunked'];
      caller.write(requestText('/once/1', 'c1', { method: 'POST', headers, body: '5\r\nfirst\r\n' }));
      caller.write('7\r\n second\r\n0\r\n\r\n');
      await caller.until(/did c1/);
      t.is(host.target.seen.at(-1)?.body, 'first second');
      caller.write(requestText('/a/2', 'c2'));
      t.regex(await caller.until(/did c2/), /did c2/);
      caller.disconnect();
    }),
  );

  itSerial('should have long bodies forwarded completely, also when the target responds before it has read them', (t) =>
    withFleet(async (fleet) => {
      const host = await startHost(fleet);
      const body = 'x'.repeat(700_000);
      t.is((await fleet.call(host, '/once/1', { method: 'POST', body })).status, 200);
      t.is(host.target.seen.at(-1)?.body.length, body.length);
      host.target.respondsEarly = true;
      const early = await fleet.call(host, '/once/2', { method: 'POST', body });
      t.is(early.status, 500);
      host.target.respondsEarly = false;
      for (let i = 0; i < 5; i++) {
        t.is((await fleet.call(host, `/once/${i + 3}`, { method: 'POST', body: `b${i}` })).status, 200);
        t.is(host.target.seen.at(-1)?.body, `b${i}`);
      }
    }),
  );

  itSerial('should receive the complete response when they read slowly', (t) =>
    withFleet(async (fleet) => {
      const host = await startHost(fleet);
      host.target.padding = 900_000;
      const caller = await RawCaller.open(host.calls);
      caller.pause();
      caller.write(requestText('/a/1', 's1'));
      await fleet.until('the target to have responded', () => host.target.seen.at(-1)?.id === 's1' && host.target.running === 0);
      await new Promise((resolve) => setTimeout(resolve, 200));
      caller.resume();
      const text = await caller.until(/did s1x*$/);
      await fleet.until('all bytes to be received', () => caller.text.length > 900_000);
      t.regex(text, /^HTTP\/1.1 200/);
      caller.disconnect();
    }),
  );

  itSerial('should get 408 when the body does not arrive, and 431 for a head over the limit', (t) =>
    withFleet(async (fleet) => {
      const host = await startHost(fleet, { max_header_bytes: 2_000 });
      const late = await RawCaller.open(host.calls);
      const headers = ['Content-Length: 10'];
      late.write(requestText('/once/1', 'l1', { method: 'POST', headers, body: 'half' }).replace('3000', '200'));
      t.regex(await late.untilClosed(), /^HTTP\/1.1 408/);
      const long = await RawCaller.open(host.calls);
      long.write(requestText('/a/1', 'h1', { headers: [`X-Long: ${'y'.repeat(3_000)}`] }));
      t.regex(await long.untilClosed(), /^HTTP\/1.1 431/);
      t.false(host.target.seen.some(({ id }) => id === 'l1' || id === 'h1'));
    }),
  );

  itSerial('should not be able to smuggle a request inside another one, or behind it', (t) =>
    withFleet(async (fleet) => {
      const host = await startHost(fleet);
      const before = host.target.seen.length;
      const twice = await RawCaller.open(host.calls);
      const inner = requestText('/once/inner', 'i1', { method: 'POST' });
      const headers = ['Content-Length: 4', 'Transfer-Encoding: chunked'];
      twice.write(requestText('/once/1', 'o1', { method: 'POST', headers, body: `0\r\n\r\n${inner}` }));
      t.regex(await twice.untilClosed(), /^HTTP\/1.1 400/);
      t.is(host.target.seen.length, before);
      const trailing = await RawCaller.open(host.calls);
      trailing.write(`${requestText('/a/1', 't1')}\u0001\u0002 no request\r\n\r\n`);
      await trailing.untilClosed();
      t.true(host.target.seen.slice(before).every(({ id }) => id === 't1'));
    }),
  );

  // The body of CONNECT, which the parser takes for the data of a tunnel, was read as the next request and run.
  itSerial('should not be able to smuggle a request behind CONNECT', (t) =>
    withFleet(async (fleet) => {
      const host = await startHost(fleet);
      const before = host.target.seen.length;
      const inner = requestText('/a/inner', 'c2');
      for (const target of ['app.example:80', '/a/1']) {
        for (const headers of [[], [`Content-Length: ${inner.length}`], ['Transfer-Encoding: chunked']]) {
          const caller = await RawCaller.open(host.calls);
          caller.write(requestText(target, 'c1', { method: 'CONNECT', headers, body: inner }));
          caller.write(inner);
          const text = await caller.untilClosed();
          t.is(text.match(/HTTP\/1.1 \d/g)?.length, 1, `${target} ${headers.join()}: ${text}`);
        }
      }
      t.false(host.target.seen.slice(before).some(({ id }) => id === 'c2'));
    }),
  );

  itSerial('should have an idempotent request aborted on the target when they disconnect, and a non-idempotent one completed', (t) =>
    withFleet(async (fleet) => {
      const host = await startHost(fleet);
      host.target.workMs = 400;
      for (const [path, expectedAborts] of [
        ['/a/1', 1],
        ['/once/1', 1],
      ] as const) {
        const caller = await RawCaller.open(host.calls);
        caller.write(requestText(path, path));
        await fleet.until('the target to work', () => host.target.running === 1);
        caller.disconnect();
        await fleet.until('the run to end', () => host.target.running === 0);
        t.is(host.target.abortedRequests, expectedAborts);
      }
    }),
  );

  itSerial('should be counted when they disconnect before the response', (t) =>
    withFleet(async (fleet) => {
      const host = await startHost(fleet);
      host.target.workMs = 400;
      const caller = await RawCaller.open(host.calls);
      caller.write(requestText('/a/1', 'd1') + requestText('/a/2', 'd2'));
      await fleet.until('the target to work', () => host.target.running === 2);
      caller.disconnect();
      await fleet.until('both requests to be counted', async () => {
        const [, count] = /unanswered_requests_total\{closed_by="caller"[^}]*\} (\d+)/.exec(await fleet.metrics(host)) ?? [];
        return count === '2';
      });
      t.notRegex(await fleet.metrics(host), /closed_by="daemon"/);
    }),
  );

  // Bytes behind an upgrade offer were dropped: responses went to the wrong requests, and a part of a body ran as a request.
  itSerial('should receive the responses to requests behind an offer to upgrade the protocol', (t) =>
    withFleet(async (fleet) => {
      const host = await startHost(fleet);
      const before = host.target.seen.length;
      const caller = await RawCaller.open(host.calls);
      const offer = { headers: ['Connection: Upgrade', 'Upgrade: other'] };
      const body = requestText('/a/inner', 'inner');
      caller.write(requestText('/a/1', 'u1', offer) + requestText('/a/2', 'u2'));
      caller.write(requestText('/a/3', 'u3'));
      caller.write(
        requestText('/a/4', 'u4', offer) + requestText('/once/5', 'u5', { method: 'POST', headers: [`Content-Length: ${body.length}`] }),
      );
      await caller.until(/did u4/);
      caller.write(body);
      const text = await caller.until(/did u5/);
      t.deepEqual(text.match(/did u\d/g), ['did u1', 'did u2', 'did u3', 'did u4', 'did u5']);
      t.deepEqual(
        host.target.seen
          .slice(before)
          .map(({ id }) => id)
          .sort(),
        ['u1', 'u2', 'u3', 'u4', 'u5'],
      );
      t.is(host.target.seen.find(({ id }) => id === 'u5')?.body, body);
      caller.disconnect();
    }),
  );

  itSerial('should receive all responses to pipelined requests when the last one requests to close the connection', (t) =>
    withFleet(async (fleet) => {
      const host = await startHost(fleet);
      const caller = await RawCaller.open(host.calls);
      caller.write(requestText('/a/1', 'e1') + requestText('/a/2', 'e2', { headers: ['Connection: close'] }));
      const text = await caller.untilClosed();
      t.deepEqual(text.match(/did e\d/g), ['did e1', 'did e2']);
      t.is(text.match(/connection: close/gi)?.length, 1);
    }),
  );

  // White space behind the host's name made it another host, and the response was 404.
  itSerial('should be served when white space follows the values of their headers', (t) =>
    withFleet(async (fleet) => {
      const host = await startHost(fleet);
      const caller = await RawCaller.open(host.calls);
      caller.write(requestText('/a/1', 'w1').replace('app.example', 'app.example \t'));
      t.regex(await caller.until(/did w1|404/), /did w1$/);
      caller.disconnect();
    }),
  );

  // A time limit of 0 counted as none, and the target was given the whole time of the route.
  itSerial('should not have a request run that has no time left', (t) =>
    withFleet(async (fleet) => {
      const host = await startHost(fleet);
      const caller = await RawCaller.open(host.calls);
      caller.write(requestText('/a/1', 'z1').replace('3000', '0'));
      t.regex(await caller.until(/\}$/), /^HTTP\/1.1 50[34]/);
      t.false(host.target.seen.some(({ id }) => id === 'z1'));
      caller.disconnect();
    }),
  );

  itSerial('should receive 100 Continue before a body, and no body in the response to HEAD', (t) =>
    withFleet(async (fleet) => {
      const host = await startHost(fleet);
      const caller = await RawCaller.open(host.calls);
      caller.write(requestText('/once/1', 'x1', { method: 'POST', headers: ['Content-Length: 4', 'Expect: 100-continue'] }));
      t.regex(await caller.until(/100 Continue/), /^HTTP\/1.1 100 Continue\r\n\r\n$/);
      caller.write('body');
      await caller.until(/did x1/);
      t.is(host.target.seen.at(-1)?.body, 'body');
      caller.write(requestText('/a/2', 'x2', { method: 'HEAD' }) + requestText('/a/3', 'x3'));
      const text = await caller.until(/did x3/);
      t.false(text.includes('did x2'));
      caller.disconnect();
    }),
  );

  itSerial('should have an idle connection closed after the timeout, and get 408 for a stalled head', (t) =>
    withFleet(async (fleet) => {
      const host = await startHost(fleet, { idle_timeout_ms: 300, header_timeout_ms: 300 });
      const idle = await RawCaller.open(host.calls);
      idle.write(requestText('/a/1', 'i1'));
      await idle.until(/did i1/);
      const stalled = await RawCaller.open(host.calls);
      stalled.write('GET /a/2 HTTP/1.1\r\nHost: app');
      t.regex(await stalled.untilClosed(), /^HTTP\/1.1 408/);
      t.regex(await idle.untilClosed(), /did i1$/);
    }),
  );

  itSerial('should have pipelined requests delayed until they read the responses, and receive all responses', (t) =>
    withFleet(async (fleet) => {
      // Long timeouts and a slot for every request in flight, so that all are served even on a slow machine.
      fleet.configure([{ prefix: '/a/', service: 'reads', timeoutMs: 60_000 }]);
      const host = await fleet.add('h1', 'reads', { target: new UpstreamStandin('i-h1', 'reads', 64) });
      await fleet.untilServing('/a/warm');
      host.target.padding = 400_000;
      const caller = await RawCaller.open(host.calls);
      caller.pause();
      const ids = Array.from({ length: 80 }, (_, i) => `q${i}.`);
      caller.write(ids.map((id) => requestText('/a/1', id).replace('3000', '60000')).join(''));
      await new Promise((resolve) => setTimeout(resolve, 300));
      t.true(host.target.seen.length < ids.length);
      caller.resume();
      await fleet.until(
        'the last response',
        () => caller.text.length > ids.length * host.target.padding && caller.text.includes('did q79.x'),
      );
      t.is(caller.text.match(/HTTP\/1.1 200 OK/g)?.length, ids.length);
      t.deepEqual(
        caller.text.match(/did q\d+\./g),
        ids.map((id) => `did ${id}`),
      );
      caller.disconnect();
    }),
  );

  itSerial('should have the time for reading the body counted against the deadline', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/once/', service: 'reads', idempotent: false, timeoutMs: 60_000 }]);
      const host = await fleet.add('h1', 'reads');
      await fleet.untilServing('/once/warm');
      const caller = await RawCaller.open(host.calls);
      caller.write(requestText('/once/1', 'w1', { method: 'POST', headers: ['Content-Length: 4'], body: 'bo' }).replace('3000', '50000'));
      // Longer than the difference checked below, because a busy machine may read the head late.
      await new Promise((resolve) => setTimeout(resolve, 1_000));
      caller.write('dy');
      await caller.until(/did w1/);
      const seen = host.target.seen.at(-1);
      t.is(seen?.body, 'body');
      t.true((seen?.remainingMs ?? Infinity) <= 49_300);
      caller.disconnect();
    }),
  );
});
