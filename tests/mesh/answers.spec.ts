/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against incomplete or foreign responses, a "not run" for a request that ran, and unsafe retries. */

import { describe, itSerial } from '../support/describe.js';
import type { ResponseMode } from '../platform/upstreamStandin.js';
import { withFleet } from './meshFleet.js';

describe('responses of a target', () => {
  const badResponses: { mode: ResponseMode; status: number }[] = [
    { mode: 'unsealed', status: 502 },
    { mode: 'foreign_id', status: 502 },
    { mode: 'truncated', status: 502 },
    { mode: 'dropped', status: 502 },
    { mode: 'garbage', status: 502 },
    { mode: 'unframed', status: 502 },
    { mode: 'unframed_reset', status: 502 },
    { mode: 'unproved_shedding', status: 502 },
    { mode: 'failing', status: 500 },
    { mode: 'shedding', status: 503 },
  ];
  for (const { mode, status } of badResponses) {
    itSerial(`should respond ${status} to a non-idempotent request when the response is ${mode}, and run it once`, (t) =>
      withFleet(async (fleet) => {
        fleet.configure([{ prefix: '/once/', service: 'holds', idempotent: false, maxAttempts: 3 }]);
        const host = await fleet.add('h1', 'holds');
        await fleet.untilServing('/once/warm');
        host.target.mode = mode;
        const before = host.target.seen.length;
        const response = await fleet.call(host, '/once/x', { method: 'POST', body: 'hold' });
        t.is(response.status, status);
        t.is(host.target.seen.length, before + 1);
        t.is('retry-after' in response.headers, status === 503);
        t.is('x-response-seal' in response.headers, mode === 'failing');
      }),
    );
  }

  itSerial('should not deliver a surplus response to another caller', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/a/', service: 'reads' }]);
      const host = await fleet.add('h1', 'reads');
      await fleet.untilServing('/a/warm');
      host.target.mode = 'surplus';
      for (let i = 0; i < 10; i++) {
        const response = await fleet.call(host, '/a/x');
        if (response.status === 200) {
          t.is(response.body, `i-h1 did ${String(response.headers['x-attempt-id'])}`);
        }
      }
    }),
  );

  itSerial('should retry an idempotent request on another target when the response is lost', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/a/', service: 'reads', maxAttempts: 2 }]);
      const first = await fleet.add('h1', 'reads');
      const second = await fleet.add('h2', 'reads', { zone: 'z2' });
      await fleet.untilServing('/a/warm');
      // The retry budget grows with the number of first attempts.
      await Promise.all(Array.from({ length: 200 }, () => fleet.call(second, '/a/x')));
      first.target.mode = 'dropped';
      const response = await fleet.call(first, '/a/x');
      t.is(response.status, 200);
      t.is(response.body.split(' ')[0], 'i-h2');
    }),
  );
});

describe('forwarded requests', () => {
  itSerial('should reach a target on another host unchanged, with caller, instance and remaining time', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/once/', service: 'holds', idempotent: false }]);
      const near = await fleet.add('h1', 'reads');
      const far = await fleet.add('h2', 'holds');
      await fleet.untilServing('/once/warm');
      const headers = { 'x-caller-service': 'forged', 'x-target-instance': 'forged', 'x-own': 'kept' };
      const response = await fleet.call(near, '/once/a%20b?c=d', { method: 'POST', body: 'the body', remainingMs: 900, headers });
      t.is(response.status, 200);
      const seen = far.target.seen.at(-1);
      t.is(seen?.path, '/once/a%20b?c=d');
      t.is(seen?.body, 'the body');
      t.is(seen?.caller, 'reads');
      t.is(seen?.instance, 'i-h2');
      t.true((seen?.remainingMs ?? 0) <= 900 && (seen?.remainingMs ?? 0) > 0);
    }),
  );

  itSerial('should get 404 without a route, 503 without a configuration and 413 for a body over the limit', (t) =>
    withFleet(async (fleet) => {
      const host = await fleet.add('h1', 'reads');
      t.is((await fleet.call(host, '/a/x')).status, 503);
      t.is(await fleet.readiness(host), 503);
      fleet.configure([{ prefix: '/a/', service: 'reads' }], { max_body_bytes: 10 });
      await fleet.untilServing('/a/warm');
      t.is(await fleet.readiness(host), 200);
      t.is((await fleet.call(host, '/b/x')).status, 404);
      t.is((await fleet.call(host, '/a/x', { method: 'POST', body: 'longer than ten bytes' })).status, 413);
    }),
  );

  itSerial('should get 504 at the timeout of the route, and be aborted on the target', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/a/', service: 'reads', timeoutMs: 300 }]);
      const near = await fleet.add('h1', 'other');
      const far = await fleet.add('h2', 'reads');
      await fleet.untilServing('/a/warm');
      far.target.workMs = 1_500;
      t.is((await fleet.call(near, '/a/x', { remainingMs: 5_000 })).status, 504);
      await fleet.until('the target to see the request aborted', () => far.target.abortedRequests === 1);
    }),
  );

  itSerial('should be sent to a new service after a configuration change, and follow its traffic split', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/a/', service: 'old' }]);
      const old = await fleet.add('h1', 'old');
      const next = await fleet.add('h2', 'new');
      await fleet.untilServing('/a/warm');
      fleet.configure([
        {
          prefix: '/a/',
          split: [
            { service: 'old', weight: 30 },
            { service: 'new', weight: 70 },
          ],
        },
      ]);
      await fleet.until('the new service to receive requests', async () => {
        await fleet.call(old, '/a/x');
        return next.target.seen.length > 0;
      });
      const before = next.target.seen.length;
      for (let i = 0; i < 100; i++) {
        await fleet.call(old, '/a/x');
      }
      t.true(Math.abs(next.target.seen.length - before - 70) <= 1);
    }),
  );
});
