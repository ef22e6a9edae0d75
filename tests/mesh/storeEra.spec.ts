/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * The platform's store comes back from a copy some seconds old. What daemons wrote since is gone, and nobody writes it again but they;
 * offsets go back and are given out again, so a reader that goes on from its old one waits beyond the end, and never sees what is
 * written below it. The era in the answers tells.
 */

import { describe, itSerial } from '../support/describe.js';
import { withFleet } from './meshFleet.js';

const kRecords = 'keyed.gentiandrum-hosts';
const kConfig = 'keyed.op';

describe('a store that comes back from a copy', () => {
  itSerial('should bring no older configuration into force, and have the next one read wherever it stands', (t) =>
    withFleet(async (fleet) => {
      fleet.store.era = 4;
      fleet.configure([{ prefix: '/s/', service: 's' }]);
      const host = await fleet.add('a', 's');
      await fleet.untilServing('/s/1');
      const lost = [fleet.configure([{ prefix: '/s/', service: 's' }]), fleet.configure([{ prefix: '/new/', service: 's' }])];
      await fleet.until('the newest to be in force', async () => (await fleet.call(host, '/new/1')).status === 200);
      // As many are written as were lost, so that the old offset is the end of the log again.
      fleet.store.rewind(kConfig, lost.length);
      lost.forEach((_, i) => fleet.configure([{ prefix: `/newer/${i}/`, service: 's' }]));
      await fleet.until('what is written now to be in force', async () => (await fleet.call(host, '/newer/1/x')).status === 200);
      t.is((await fleet.call(host, '/s/2')).status, 404);
    }),
  );

  itSerial('should have the records of all hosts again soon', (t) =>
    withFleet(async (fleet) => {
      fleet.store.era = 4;
      fleet.configure([{ prefix: '/s/', service: 's' }]);
      for (const id of ['a', 'b', 'c']) {
        await fleet.add(id, 's');
      }
      await fleet.untilServing('/s/1');
      const written = (): string[] => [...fleet.store.newest(kRecords).keys()].sort();
      await fleet.until('all records to be in the log', () => written().length === 3);
      for (let times = 0; times < 2; times++) {
        fleet.store.rewind(kRecords, 100);
        t.deepEqual(written(), []);
        await fleet.until('all records to be in the log again', () => written().length === 3);
      }
      for (const host of fleet.hosts) {
        t.is((await fleet.call(host, '/s/2')).status, 200);
      }
    }),
  );

  itSerial('should be believed in nothing that it said before, and era that can not be read change nothing', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/s/', service: 's' }]);
      const host = await fleet.add('a', 's');
      await fleet.untilServing('/s/1');
      fleet.store.era = Number.NaN;
      fleet.configure([
        { prefix: '/s/', service: 's' },
        { prefix: '/t/', service: 's' },
      ]);
      await fleet.until('a configuration to be taken', async () => (await fleet.call(host, '/t/1')).status === 200);
      fleet.store.era = 9;
      fleet.configure([{ prefix: '/u/', service: 's' }]);
      await fleet.until('the next one to be taken', async () => (await fleet.call(host, '/u/1')).status === 200);
      fleet.store.era = 8;
      fleet.configure([{ prefix: '/old/', service: 's' }]);
      await new Promise((resolve) => setTimeout(resolve, 500));
      t.is((await fleet.call(host, '/u/2')).status, 200);
      fleet.store.era = 9;
      await fleet.until('the answers to count again', async () => (await fleet.call(host, '/old/1')).status === 200);
    }),
  );
});
