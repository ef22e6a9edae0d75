/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { describe, itSerial } from '../support/describe.js';
import { UpstreamStandin } from '../platform/upstreamStandin.js';
import { type FleetHost, type MeshFleet, withFleet } from './meshFleet.js';

const kRunMs = 300;

/** Two hosts; returns the one whose target something happens to, with a call under way there. */
async function withCallUnderWay(fleet: MeshFleet): Promise<{ host: FleetHost; call: Promise<number> }> {
  fleet.configure([{ prefix: '/s/', service: 's', idempotent: false }]);
  const host = await fleet.add('a', 's');
  await fleet.untilServing('/s/1');
  host.target.workMs = kRunMs;
  const call = fleet.call(host, '/s/2').then(({ status }) => status);
  await fleet.until('the call to run', () => host.target.running === 1);
  return { host, call };
}

async function crashes(fleet: MeshFleet, host: FleetHost): Promise<number> {
  const [, count = '0'] = /target_crashes_total\{[^}]*\} (\d+)/.exec(await fleet.metrics(host)) ?? [];
  return Number(count);
}

describe('the end of a target', () => {
  itSerial('should be told from that of a connection: all are gone, and the next is refused', async (t) => {
    await withFleet(async (fleet) => {
      const { host, call } = await withCallUnderWay(fleet);
      host.target.close();
      t.is(await call, 502);
      t.is(await crashes(fleet, host), 1);
    });
  });

  itSerial('should count once, however many calls were under way', async (t) => {
    await withFleet(async (fleet) => {
      const { host, call } = await withCallUnderWay(fleet);
      const others = Array.from({ length: 8 }, () => fleet.call(host, '/s/3'));
      await fleet.until('all to run', () => host.target.running === 9);
      host.target.close();
      await Promise.all([call, ...others]);
      t.is(await crashes(fleet, host), 1);
    });
  });

  itSerial('should be seen also when the caller had left before', async (t) => {
    await withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/s/', service: 's' }]);
      const host = await fleet.add('a', 's');
      await fleet.untilServing('/s/1');
      host.target.workMs = kRunMs;
      t.is((await fleet.call(host, '/s/2', { remainingMs: 100 })).status, 504);
      host.target.close();
      t.is((await fleet.call(host, '/s/3')).status, 503);
      t.is(await crashes(fleet, host), 1);
    });
  });

  itSerial('should not be seen in a connection that ends without an answer', async (t) => {
    await withFleet(async (fleet) => {
      const { host, call } = await withCallUnderWay(fleet);
      host.target.mode = 'dropped';
      t.is(await call, 502);
      host.target.mode = 'whole';
      t.is((await fleet.call(host, '/s/4')).status, 200);
      t.is(await crashes(fleet, host), 0);
    });
  });

  itSerial('should not be seen in a target that answers too late', async (t) => {
    await withFleet(async (fleet) => {
      const { host, call } = await withCallUnderWay(fleet);
      await call;
      host.target.workMs = 5_000;
      t.is((await fleet.call(host, '/s/4', { remainingMs: 200 })).status, 504);
      t.is(await crashes(fleet, host), 0);
    });
  });

  itSerial('should not be seen in one that left as it said', async (t) => {
    await withFleet(async (fleet) => {
      const { host, call } = await withCallUnderWay(fleet);
      t.is(await host.target.sendHeartbeat(host.control, 'draining'), 200);
      host.target.close();
      t.is(await call, 502);
      t.is(await crashes(fleet, host), 0);
    });
  });

  itSerial('should not be seen in one that made place for another', async (t) => {
    await withFleet(async (fleet) => {
      const { host, call } = await withCallUnderWay(fleet);
      const next = new UpstreamStandin('i-next', 's');
      await host.target.deregister(host.control);
      host.target.close();
      await call;
      const [, port = '0'] = host.target.address.split(':');
      next.port = Number(port);
      await next.start();
      try {
        await next.sendHeartbeat(host.control);
        await fleet.until('the next one to serve', async () => (await fleet.call(host, '/s/5')).status === 200);
        t.is(await crashes(fleet, host), 0);
      } finally {
        next.close();
      }
    });
  });
});
