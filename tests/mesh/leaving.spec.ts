/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Tests draining targets, restarted daemons, and an unavailable store. */

import { describe, itSerial } from '../support/describe.js';
import { UpstreamStandin } from '../platform/upstreamStandin.js';
import { withFleet } from './meshFleet.js';

const kTopic = 'keyed.gentiandrum-hosts';

describe('a draining target', () => {
  itSerial('should receive no new calls from any daemon after its announcement is acknowledged', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/a/', service: 'reads' }]);
      const ready = await fleet.add('h1', 'reads');
      const draining = await fleet.add('h2', 'reads', { zone: 'z2' });
      await fleet.untilServing('/a/warm');
      t.is(await draining.target.sendHeartbeat(draining.control, 'draining'), 200);
      const before = draining.target.seen.length;
      const responses = await Promise.all(
        [...Array.from({ length: 10 }, () => [ready, draining]).flat()].map((host) => fleet.call(host, '/a/x')),
      );
      t.true(responses.every(({ status }) => status === 200));
      t.is(draining.target.seen.length, before);
    }),
  );

  itSerial('should stay draining when an older heartbeat arrives late', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/a/', service: 'reads' }]);
      const host = await fleet.add('h1', 'reads');
      await fleet.untilServing('/a/warm');
      await host.target.sendHeartbeat(host.control, 'draining', 9);
      await host.target.sendHeartbeat(host.control, 'ready', 8);
      t.is((await fleet.call(host, '/a/x')).status, 503);
    }),
  );

  itSerial('should stay gone for a restarted daemon that reads the state from the store', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/a/', service: 'reads' }]);
      const host = await fleet.add('h1', 'reads');
      await fleet.untilServing('/a/warm');
      t.is(await host.target.deregister(host.control), 200);
      await fleet.until('the store to have the gone target', () => fleet.store.newest(kTopic).get('h1')?.includes('"gone"') === true);
      fleet.kill(host);
      const again = await fleet.add('h1', 'reads', { target: host.target, beat: false });
      await fleet.until('the new daemon to be ready', async () => (await fleet.readiness(again)) === 200);
      const before = host.target.seen.length;
      await again.target.sendHeartbeat(again.control, 'ready');
      t.is((await fleet.call(again, '/a/x')).status, 503);
      t.is(host.target.seen.length, before);
    }),
  );

  itSerial('should stay draining for a restarted daemon that learns it from others while the store is unavailable', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/a/', service: 'reads' }]);
      const host = await fleet.add('h1', 'reads');
      const other = await fleet.add('h2', 'other');
      await fleet.untilServing('/a/warm');
      fleet.store.mode = 'reset';
      t.is(await host.target.sendHeartbeat(host.control, 'draining'), 200);
      fleet.kill(host);
      const again = await fleet.add('h1', 'reads', { target: host.target, beat: false });
      await again.target.sendHeartbeat(again.control, 'ready', 1);
      const before = host.target.seen.length;
      t.is((await fleet.call(again, '/a/x')).status, 503);
      t.is((await fleet.call(other, '/a/x')).status, 503);
      t.is(host.target.seen.length, before);
    }),
  );
});

describe('announcements of a target that arrive out of order', () => {
  itSerial('should keep a target gone for a daemon whose first announcement of it reports it as gone', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/a/', service: 'reads' }]);
      const host = await fleet.add('h1', 'reads', { beat: false });
      t.is(await host.target.deregister(host.control), 200);
      t.is(await host.target.sendHeartbeat(host.control, 'ready', 7), 200);
      await fleet.until('the daemon to be ready', async () => (await fleet.readiness(host)) === 200);
      t.is((await fleet.call(host, '/a/x')).status, 503);
      t.deepEqual(host.target.seen, []);
    }),
  );

  itSerial('should not bring back a replaced instance', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/a/', service: 'reads' }]);
      const host = await fleet.add('h1', 'reads');
      await fleet.untilServing('/a/warm');
      const before = host.target.seen.length;
      const next = new UpstreamStandin('i-next', 'reads');
      await next.start();
      await next.sendHeartbeat(host.control);
      await host.target.sendHeartbeat(host.control);
      await fleet.until('the new instance to serve', async () => (await fleet.call(host, '/a/x')).status === 200);
      await host.target.deregister(host.control);
      t.is((await fleet.call(host, '/a/x')).status, 200);
      t.is(host.target.seen.length, before);
      t.true(next.seen.length >= 2);
      next.close();
    }),
  );
});

describe('a restarted daemon', () => {
  itSerial('should use its target before the next heartbeat after a graceful shutdown', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/a/', service: 'reads' }]);
      const host = await fleet.add('h1', 'reads');
      const other = await fleet.add('h2', 'other');
      await fleet.untilServing('/a/warm');
      await host.daemon.stop();
      fleet.kill(host);
      const again = await fleet.restart(host);
      await fleet.until('its target to serve others', async () => (await fleet.call(other, '/a/x')).status === 200);
      t.is(again.daemon.record.instance, host.target.instance);
    }),
  );

  itSerial('should wait for its target after a kill, because the last acknowledged state may be lost', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/a/', service: 'reads' }]);
      const host = await fleet.add('h1', 'reads');
      await fleet.untilServing('/a/warm');
      await fleet.until('the store to have the ready target', () => fleet.store.newest(kTopic).get('h1')?.includes('"ready"') === true);
      fleet.kill(host);
      const before = host.target.seen.length;
      const again = await fleet.restart(host);
      await fleet.until('the daemon to be ready', async () => (await fleet.readiness(again)) === 200);
      t.is((await fleet.call(again, '/a/x')).status, 503);
      t.is(host.target.seen.length, before);
      await host.target.sendHeartbeat(again.control);
      t.is((await fleet.call(again, '/a/x')).status, 200);
    }),
  );

  itSerial('should receive "not run" from a target that has been replaced by another instance', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/a/', service: 'reads', idempotent: false }]);
      const host = await fleet.add('h1', 'reads');
      const other = await fleet.add('h2', 'other');
      await fleet.untilServing('/a/warm');
      await host.daemon.stop();
      fleet.kill(host);
      const next = new UpstreamStandin('i-next', 'reads');
      next.port = Number(host.target.address.split(':')[1]);
      host.target.close();
      await next.start();
      const again = await fleet.restart(host);
      await fleet.until('the last known target to be offered a call', async () => {
        t.is((await fleet.call(other, '/a/x', { method: 'POST', body: 'hold' })).status, 503);
        return next.seen.length > 0;
      });
      await next.sendHeartbeat(again.control);
      t.is((await fleet.call(again, '/a/x', { method: 'POST', body: 'hold' })).status, 200);
      next.close();
    }),
  );
});

describe('a graceful shutdown', () => {
  itSerial('should keep using the target while callers switch to other daemons', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/a/', service: 'reads' }]);
      const stopping = await fleet.add('h1', 'reads');
      const other = await fleet.add('h2', 'other');
      await fleet.untilServing('/a/warm');
      const stopped = stopping.daemon.stop();
      t.is(await fleet.readiness(stopping), 503);
      t.is((await fleet.call(other, '/a/x')).status, 200);
      await stopped;
      t.is(stopping.target.running, 0);
    }),
  );
});

describe('an unavailable store', () => {
  for (const mode of ['busy', 'limited', 'silent', 'reset', 'lost', 'full'] as const) {
    itSerial(`should not prevent the use of a target that becomes ready meanwhile (${mode})`, (t) =>
      withFleet(async (fleet) => {
        fleet.configure([{ prefix: '/a/', service: 'reads' }]);
        const near = await fleet.add('h1', 'other');
        await fleet.until('the first daemon to be ready', async () => (await fleet.readiness(near)) === 200);
        const far = await fleet.add('h2', 'reads', { beat: false });
        await fleet.until('both to be ready', async () => (await fleet.readiness(far)) === 200);
        await fleet.until('both to be linked', () => far.daemon.reachable === 1 && near.daemon.reachable === 1);
        fleet.store.mode = mode;
        await far.target.sendHeartbeat(far.control);
        await fleet.until('the target to be used', async () => (await fleet.call(near, '/a/x')).status === 200);
        fleet.store.mode = 'serving';
        await fleet.until('the store to have its record', () => fleet.store.newest(kTopic).get('h2')?.includes('"ready"') === true);
        t.pass();
      }),
    );
  }

  itSerial('should not keep a new version from a daemon that cannot reach it', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/a/', service: 'reads' }]);
      const host = await fleet.add('h1', 'reads');
      await fleet.untilServing('/a/warm');
      const real = fleet.storeAddress;
      fleet.storeAddress = '127.0.0.1:9';
      const disconnected = await fleet.add('h2', 'other');
      fleet.storeAddress = real;
      fleet.store.put(kTopic, 'h2', recordOf(disconnected.daemon.record));
      await fleet.until('the disconnected daemon to serve', async () => (await fleet.call(disconnected, '/a/x')).status === 200);
      fleet.configure([{ prefix: '/b/', service: 'reads' }]);
      await fleet.until('the new version to be in force there', async () => (await fleet.call(disconnected, '/a/x')).status === 404);
      t.is((await fleet.call(disconnected, '/b/x')).status, 200);
      t.is((await fleet.call(host, '/b/x')).status, 200);
    }),
  );

  itSerial('should not make a daemon miss a version that was written before a compaction', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/a/', service: 'reads' }]);
      const host = await fleet.add('h1', 'reads');
      await fleet.untilServing('/a/warm');
      fleet.configure([{ prefix: '/b/', service: 'reads' }]);
      fleet.store.compact('keyed.op');
      await fleet.until('the newest version to be in force', async () => (await fleet.call(host, '/b/x')).status === 200);
      t.is((await fleet.call(host, '/a/x')).status, 404);
    }),
  );

  itSerial('should not bring an older version back into force', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/a/', service: 'reads' }]);
      const old = fleet.store.newest('keyed.op').get('config') ?? '';
      const host = await fleet.add('h1', 'reads');
      await fleet.untilServing('/a/warm');
      fleet.configure([{ prefix: '/b/', service: 'reads' }]);
      await fleet.untilServing('/b/warm');
      fleet.store.put('keyed.op', 'config', old);
      await new Promise((resolve) => setTimeout(resolve, 300));
      t.is((await fleet.call(host, '/b/x')).status, 200);
      t.is((await fleet.call(host, '/a/x')).status, 404);
    }),
  );
});

describe('the record of a host in the log', () => {
  itSerial('should be rewritten after a late write of an older one, and after its removal', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/a/', service: 'reads' }]);
      const host = await fleet.add('h1', 'reads');
      await fleet.untilServing('/a/warm');
      await fleet.until('the log to have the record', () => fleet.store.newest(kTopic).has('h1'));
      const older = fleet.store.newest(kTopic).get('h1') ?? '';
      await host.target.sendHeartbeat(host.control, 'draining');
      await fleet.until('the log to have the newer record', () => fleet.store.newest(kTopic).get('h1')?.includes('"draining"') === true);
      fleet.store.put(kTopic, 'h1', older);
      await fleet.until('the newer record to be restored', () => fleet.store.newest(kTopic).get('h1')?.includes('"draining"') === true);
      fleet.store.put(kTopic, 'h1', '');
      await fleet.until(
        'the record to be restored after its removal',
        () => fleet.store.newest(kTopic).get('h1')?.includes('"draining"') === true,
      );
      t.pass();
    }),
  );

  itSerial('should be awaited by a restarted daemon, though a peer without it responds first', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/a/', service: 'reads' }]);
      const target = new UpstreamStandin('i-h1', 'reads');
      const own = { host: 'h1', zone: 'z1', peers: '127.0.0.1:9', service: 'reads', instance: 'i-h1', state: 'draining', slots: 20 };
      fleet.store.put(kTopic, 'h1', JSON.stringify({ ...own, epoch: 1, revision: 5 }));
      const peer = await fleet.add('h2', 'other');
      await fleet.until('the peer to be ready', async () => (await fleet.readiness(peer)) === 200);
      const again = await fleet.add('h1', 'reads', { target });
      const statuses = await Promise.all(Array.from({ length: 40 }, async () => (await fleet.call(again, '/a/x')).status));
      t.true(statuses.every((status) => status === 503));
      t.is(target.seen.length, 0);
    }),
  );
});

describe('a graceful shutdown', () => {
  itSerial('should complete running calls, be unready at once, and close caller connections', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/a/', service: 'reads', timeoutMs: 4_000 }]);
      const stopping = await fleet.add('h1', 'reads');
      const other = await fleet.add('h2', 'reads');
      await fleet.untilServing('/a/warm');
      stopping.target.workMs = 700;
      other.target.workMs = 700;
      const running = [stopping, other, stopping, other].map((host) => fleet.call(host, '/a/x', { remainingMs: 4_000 }));
      await fleet.until('the targets to work', () => stopping.target.running + other.target.running === running.length);
      const stopped = stopping.daemon.stop();
      t.is(await fleet.readiness(stopping), 503);
      const late = await fleet.call(stopping, '/a/x');
      t.is(late.status, 200);
      t.is(late.headers.connection, 'close');
      t.deepEqual(
        (await Promise.all(running)).map(({ status }) => status),
        [200, 200, 200, 200],
      );
      await stopped;
    }),
  );

  itSerial('should serve a request that arrives late in the shutdown and takes longer than the remaining wait', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/a/', service: 'reads', timeoutMs: 4_000 }]);
      const stopping = await fleet.add('h1', 'other');
      const other = await fleet.add('h2', 'reads');
      await fleet.untilServing('/a/warm');
      other.target.workMs = 900;
      const stopped = stopping.daemon.stop().then(() => {
        fleet.kill(stopping);
      });
      await new Promise((resolve) => setTimeout(resolve, 2_200));
      const late = await fleet.call(stopping, '/a/x', { remainingMs: 4_000 });
      t.is(late.status, 200);
      await stopped;
    }),
  );
});

function recordOf(record: unknown): string {
  return JSON.stringify(record);
}
