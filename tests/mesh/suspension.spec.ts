/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Guards against revoked keys that are accepted after a suspension of the host: the monotonic clock does not count that time, so a
 * freshness proof would look newer than it is. The tests simulate a suspension by a jump of the wall clock.
 */

import { describe, itSerial } from '../support/describe.js';
import { type FleetHost, type MeshFleet, type TestWorkspace, withFleet } from './meshFleet.js';

const kCrew: TestWorkspace = { name: 'crew', keys: ['key-of-crew'] };
const kRoutes = [
  { prefix: '/a/', service: 'reads' },
  { prefix: '/open/', service: 'reads', exempt: true },
];
const kKey = { headers: { authorization: 'Bearer key-of-crew' } };
const kSuspendedMs = 10_000;
const kWithinMs = 8_000;

async function start(fleet: MeshFleet): Promise<FleetHost> {
  fleet.configure(kRoutes, {}, 50, [kCrew]);
  const settings = { revocation: { strict: true, withinMs: kWithinMs }, inForceMs: 1_000 };
  const host = await fleet.add('h1', 'reads', { settings });
  await fleet.until('a key to be served', async () => (await fleet.call(host, '/a/warm', kKey)).status === 200);
  return host;
}

/** Runs with a wall clock that has advanced while the monotonic clock has not. */
async function afterSuspension(body: () => Promise<void>): Promise<void> {
  const { now } = Date;
  Date.now = () => now() + kSuspendedMs;
  try {
    await body();
  } finally {
    Date.now = now;
  }
}

describe('a host that was suspended', () => {
  itSerial('should refuse requests with keys while its proof is from before, and serve others', (t) =>
    withFleet(async (fleet) => {
      const host = await start(fleet);
      fleet.store.mode = 'silent';
      t.is((await fleet.call(host, '/a/before', kKey)).status, 200);
      await afterSuspension(async () => {
        const refused = await fleet.call(host, '/a/after', kKey);
        t.is(refused.status, 503);
        t.truthy(refused.headers['retry-after']);
        t.is((await fleet.call(host, '/open/after')).status, 200);
        t.true(host.target.seen.every(({ path }) => path !== '/a/after'));
      });
    }),
  );

  itSerial('should serve requests with keys again once the log has responded', (t) =>
    withFleet(async (fleet) => {
      const host = await start(fleet);
      await afterSuspension(async () => {
        t.is((await fleet.call(host, '/a/after', kKey)).status, 503);
        await fleet.until('a key to be served again', async () => (await fleet.call(host, '/a/again', kKey)).status === 200);
      });
    }),
  );

  itSerial('should count suspensions in its metrics', (t) =>
    withFleet(async (fleet) => {
      const host = await start(fleet);
      await afterSuspension(async () => {
        await fleet.call(host, '/a/after', kKey);
        t.regex(await fleet.metrics(host), /name="suspensions"[^}]*\} 1\n/);
      });
    }),
  );

  itSerial('should not be detected when the wall clock is set back', (t) =>
    withFleet(async (fleet) => {
      const host = await start(fleet);
      const { now } = Date;
      Date.now = () => now() - kSuspendedMs;
      try {
        t.is((await fleet.call(host, '/a/after', kKey)).status, 200);
      } finally {
        Date.now = now;
      }
    }),
  );
});
