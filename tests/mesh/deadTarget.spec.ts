/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { describe, itAlone } from '../support/describe.js';
import { UpstreamStandin } from '../platform/upstreamStandin.js';
import { withFleet } from './meshFleet.js';

describe('a target that crashes while its daemon lives', () => {
  itAlone('should be unreachable in its record at once, cost callers nothing, and be used again when it is back', async (t) => {
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
      t.is(await b.target.beat(b.control), 200);
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

describe('a daemon that starts before it knows anything', () => {
  itAlone('should use the limits of the configuration that comes after its target is ready', async (t) => {
    await withFleet(async (fleet) => {
      const a = await fleet.add('a', 's');
      await fleet.until('the target to be ready', () => a.daemon.record.state === 'ready');
      fleet.configure([{ prefix: '/s/', service: 's' }], {}, 1);
      await fleet.until('the configuration to be in force', async () => (await fleet.call(a, '/s/1')).status === 200);
      a.target.workMs = 200;
      const both = await Promise.all([fleet.call(a, '/s/2'), fleet.call(a, '/s/3')]);
      t.is(a.target.mostRunning, 1);
      t.true(both.some(({ status }) => status === 200));
    });
  });
});
