/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { describe, itSerial } from '../support/describe.js';
import { UpstreamStandin } from '../platform/upstreamStandin.js';
import { type FleetHost, type MeshFleet, withFleet } from './meshFleet.js';

const kWorkMs = 300;
/** Times for which an exiting target accepts connections after it has closed those that were open, in milliseconds. */
const kExitMs = [30, 80];
/** Time for the daemon, which runs in this process, to notice that the connections were closed, in milliseconds. */
const kNoticeMs = 10;

/** Starts one host; returns it with a call in flight on its target. */
async function startCall(fleet: MeshFleet): Promise<{ host: FleetHost; call: Promise<number> }> {
  fleet.configure([{ prefix: '/s/', service: 's', idempotent: false }]);
  const host = await fleet.add('a', 's');
  await fleet.untilServing('/s/1');
  host.target.workMs = kWorkMs;
  const call = fleet.call(host, '/s/2').then(({ status }) => status);
  await fleet.until('the call to run', () => host.target.running === 1);
  return { host, call };
}

/** Number of suspected fingerprints that the daemon of a host knows. */
async function suspectCount(host: FleetHost): Promise<number> {
  const res = await fetch(`http://${host.metrics}/-/suspects`);
  return ((await res.json()) as { suspects: unknown[] }).suspects.length;
}

async function crashCount(fleet: MeshFleet, host: FleetHost): Promise<number> {
  const [, count = '0'] = /target_crashes_total\{[^}]*\} (\d+)/.exec(await fleet.metrics(host)) ?? [];
  return Number(count);
}

describe('a crash of a target', () => {
  itSerial('should be detected when all connections are reset and the next one is refused', async (t) => {
    await withFleet(async (fleet) => {
      const { host, call } = await startCall(fleet);
      host.target.close();
      t.is(await call, 502);
      t.is(await crashCount(fleet, host), 1);
    });
  });

  itSerial('should be counted once, however many calls were in flight', async (t) => {
    await withFleet(async (fleet) => {
      const { host, call } = await startCall(fleet);
      const others = Array.from({ length: 8 }, () => fleet.call(host, '/s/3'));
      await fleet.until('all to run', () => host.target.running === 9);
      host.target.close();
      await Promise.all([call, ...others]);
      t.is(await crashCount(fleet, host), 1);
    });
  });

  // A connection that is accepted by an exiting process once ended the check, so the lost call was repeated as if nothing had crashed.
  itSerial('should be detected before a lost call is reported when the target accepts a connection while it exits', async (t) => {
    const [shortExitMs = 0] = kExitMs;
    await withFleet(async (fleet) => {
      const { host, call } = await startCall(fleet);
      host.target.exitSlowly(shortExitMs);
      t.is(await call, 502);
      t.is(await crashCount(fleet, host), 1);
      t.is(await suspectCount(host), 1);
    });
  });

  // The calls that an exiting process accepted and never ran were taken for the cause of its crash.
  itSerial('should not be attributed to calls that were sent while the target was exiting', async (t) => {
    for (const exitMs of kExitMs) {
      await withFleet(async (fleet) => {
        const { host, call } = await startCall(fleet);
        host.target.exitSlowly(exitMs);
        await new Promise((resolve) => setTimeout(resolve, kNoticeMs));
        const later = Array.from({ length: 5 }, (_, i) => fleet.call(host, `/s/later/${i}`));
        await Promise.all([call, ...later]);
        await fleet.until('the crash to be counted', async () => (await crashCount(fleet, host)) === 1);
        t.is(await suspectCount(host), 1, `exit of ${exitMs} ms`);
      });
    }
  });

  itSerial('should be detected after the caller has timed out', async (t) => {
    await withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/s/', service: 's' }]);
      const host = await fleet.add('a', 's');
      await fleet.untilServing('/s/1');
      host.target.workMs = kWorkMs;
      t.is((await fleet.call(host, '/s/2', { remainingMs: 100 })).status, 504);
      host.target.close();
      t.is((await fleet.call(host, '/s/3')).status, 503);
      t.is(await crashCount(fleet, host), 1);
    });
  });

  itSerial('should not be detected when a connection closes without a response', async (t) => {
    await withFleet(async (fleet) => {
      const { host, call } = await startCall(fleet);
      host.target.mode = 'dropped';
      t.is(await call, 502);
      host.target.mode = 'whole';
      t.is((await fleet.call(host, '/s/4')).status, 200);
      t.is(await crashCount(fleet, host), 0);
    });
  });

  itSerial('should not be detected when a target responds too late', async (t) => {
    await withFleet(async (fleet) => {
      const { host, call } = await startCall(fleet);
      await call;
      host.target.workMs = 5_000;
      t.is((await fleet.call(host, '/s/4', { remainingMs: 200 })).status, 504);
      t.is(await crashCount(fleet, host), 0);
    });
  });

  itSerial('should not be detected when a draining target stops', async (t) => {
    await withFleet(async (fleet) => {
      const { host, call } = await startCall(fleet);
      t.is(await host.target.sendHeartbeat(host.control, 'draining'), 200);
      host.target.close();
      t.is(await call, 502);
      t.is(await crashCount(fleet, host), 0);
    });
  });

  itSerial('should not be detected when another target replaces it', async (t) => {
    await withFleet(async (fleet) => {
      const { host, call } = await startCall(fleet);
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
        t.is(await crashCount(fleet, host), 0);
      } finally {
        next.close();
      }
    });
  });
});
