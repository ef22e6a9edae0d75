/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { once } from 'node:events';
import { createServer } from 'node:net';
import { describe, itSerial } from '../support/describe.js';
import { UpstreamStandin } from '../platform/upstreamStandin.js';
import { withFleet } from './meshFleet.js';

describe('a target that crashes while its daemon keeps running', () => {
  itSerial('should become unreachable in its record, fail no requests, and be used again after its restart', async (t) => {
    await withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/s/', service: 's' }]);
      const a = await fleet.add('a', 's');
      const b = await fleet.add('b', 's');
      await fleet.untilServing('/s/1');
      const [, port = '0'] = b.target.address.split(':');
      b.target.close();
      for (let i = 0; i < 10; i++) {
        t.is((await fleet.call(a, '/s/2')).status, 200);
        t.is((await fleet.call(b, '/s/3')).status, 200);
      }
      await fleet.until('the target of b to be unreachable in its record', () => b.daemon.record.state === 'unreachable');
      await fleet.until('a to know', async () => (await fleet.metrics(a)).includes('name="hosts_unreachable"'));
      // A late heartbeat of the crashed target.
      t.is(await b.target.sendHeartbeat(b.control), 200);
      await new Promise((resolve) => setTimeout(resolve, 250));
      t.is(b.daemon.record.state, 'unreachable');
      const restarted = new UpstreamStandin('i-b', 's');
      restarted.port = Number(port);
      await restarted.start();
      try {
        await fleet.until('the target of b to be ready again', () => b.daemon.record.state === 'ready');
        await fleet.until('the target of b to be used', async () => {
          await fleet.call(b, '/s/4');
          return restarted.seen.length > 0;
        });
      } finally {
        restarted.close();
      }
    });
  });
});

/** Guards against a target that never receives calls again because the latency of its first responses is never updated. */
describe('a target whose first responses were slow', () => {
  itSerial('should be used again once it is fast', async (t) => {
    await withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/s/', service: 's' }]);
      const a = await fleet.add('a', 's');
      const b = await fleet.add('b', 's');
      await fleet.untilServing('/s/1');
      b.target.workMs = 300;
      await Promise.all(Array.from({ length: 10 }, () => fleet.call(b, '/s/2')));
      b.target.workMs = 1;
      for (let i = 0; i < 50; i++) {
        t.is((await fleet.call(b, '/s/3')).status, 200);
      }
      const before = b.target.seen.length;
      await fleet.until('the target of b to be used', async () => {
        await fleet.call(b, '/s/4');
        return b.target.seen.length > before;
      });
      t.true(a.target.seen.length > 0);
    });
  });
});

/** Guards against penalties from earlier crashes that persist after the target is ready again. */
describe('a target that crashed several times', () => {
  itSerial('should be used by its local daemon as soon as it is ready in its record', async (t) => {
    await withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/s/', service: 's' }]);
      await fleet.add('a', 's');
      const b = await fleet.add('b', 's');
      await fleet.untilServing('/s/1');
      const [, port = '0'] = b.target.address.split(':');
      let { target } = b;
      for (let i = 0; i < 5; i++) {
        target.close();
        await fleet.until('the target of b to be unreachable in its record', async () => {
          t.is((await fleet.call(b, '/s/2')).status, 200);
          return b.daemon.record.state === 'unreachable';
        });
        target = new UpstreamStandin('i-b', 's');
        target.port = Number(port);
        await target.start();
        await fleet.until('the target of b to be ready again', () => b.daemon.record.state === 'ready');
        for (let calls = 0; calls < 60; calls++) {
          t.is((await fleet.call(b, '/s/3')).status, 200);
        }
        t.true(target.seen.length > 0, `not used after restart ${i + 1}`);
      }
      target.close();
    });
  });
});

/** Guards against a daemon that fails to start and keeps listening on some of its ports. */
describe('a daemon that cannot listen on a port', () => {
  itSerial('should fail to start and release all its ports', async (t) => {
    await withFleet(async (fleet) => {
      const prepared = await fleet.prepare('a', 's');
      const { calls, ready, control } = prepared.host;
      const [host = '', port = ''] = ready.split(':');
      const other = createServer().listen(Number(port), host);
      await once(other, 'listening');
      try {
        await t.throwsAsync(fleet.startPrepared(prepared), { code: 'EADDRINUSE' });
        for (const address of [calls, control]) {
          const [, free = ''] = address.split(':');
          const again = createServer().listen(Number(free), host);
          await once(again, 'listening');
          again.close();
        }
      } finally {
        other.close();
      }
    });
  });
});

describe('a daemon that starts without a configuration', () => {
  itSerial('should apply the limits of a configuration that arrives after its target is ready', async (t) => {
    await withFleet(async (fleet) => {
      const a = await fleet.add('a', 's');
      await fleet.until('the target to be ready', () => a.daemon.record.state === 'ready');
      fleet.configure([{ prefix: '/s/', service: 's' }], {}, 1);
      await fleet.until('the configuration to be in force', async () => (await fleet.call(a, '/s/1')).status === 200);
      a.target.workMs = 200;
      const both = await Promise.all([fleet.call(a, '/s/2'), fleet.call(a, '/s/3')]);
      t.is(a.target.maxRunning, 1);
      t.true(both.some(({ status }) => status === 200));
    });
  });
});
