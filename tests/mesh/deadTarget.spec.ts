/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { once } from 'node:events';
import { createServer } from 'node:net';
import { describe, itSerial } from '../support/describe.js';
import { UpstreamStandin } from '../platform/upstreamStandin.js';
import { withFleet } from './meshFleet.js';

describe('a target that crashes while its daemon lives', () => {
  itSerial('should be unreachable in its record at once, cost callers nothing, and be used again when it is back', async (t) => {
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
      await fleet.until('the record of b to say that its target is unreachable', () => b.daemon.record.state === 'unreachable');
      await fleet.until('a to know', async () => (await fleet.metrics(a)).includes('name="hosts_unreachable"'));
      // A late heartbeat of the dead target.
      t.is(await b.target.sendHeartbeat(b.control), 200);
      await new Promise((resolve) => setTimeout(resolve, 250));
      t.is(b.daemon.record.state, 'unreachable');
      const back = new UpstreamStandin('i-b', 's');
      back.port = Number(port);
      await back.start();
      try {
        await fleet.until('the target of b to be ready again', () => b.daemon.record.state === 'ready');
        await fleet.until('the target of b to be used', async () => {
          await fleet.call(b, '/s/4');
          return back.seen.length > 0;
        });
      } finally {
        back.close();
      }
    });
  });
});

/**
 * Two hosts of one service. The first answers of b's target are slow, as they are after a start or beside load; from then on it is quick.
 * Its daemon compared the times of the two, and as only a new answer would renew that of b, none came: not one of the calls of the
 * next ten seconds went to b, whose record said "ready" all the time. `routing/placement` has the same without a network.
 */
describe('a target whose first answers were slow', () => {
  itSerial('should be used again once it is quick', async (t) => {
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

/** A target that crashes again and again, and comes back each time: what was held against it before must not outlast its return. */
describe('a target that crashed several times', () => {
  itSerial('should be used by its own daemon as soon as its record says that it is ready', async (t) => {
    await withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/s/', service: 's' }]);
      await fleet.add('a', 's');
      const b = await fleet.add('b', 's');
      await fleet.untilServing('/s/1');
      const [, port = '0'] = b.target.address.split(':');
      let { target } = b;
      for (let i = 0; i < 5; i++) {
        target.close();
        await fleet.until('the record of b to say that its target is unreachable', async () => {
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
        t.true(target.seen.length > 0, `not used after return ${i + 1}`);
      }
      target.close();
    });
  });
});

/** A daemon whose ports are taken in part ends whole: one that went on listening on the others kept its process, and callers waiting. */
describe('a daemon that can not listen', () => {
  itSerial('should say so, and keep none of its ports', async (t) => {
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

describe('a daemon that starts before it knows anything', () => {
  itSerial('should use the limits of the configuration that comes after its target is ready', async (t) => {
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
