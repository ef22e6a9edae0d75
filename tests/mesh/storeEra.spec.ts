/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Guards against lost updates after the store is restored from an older copy: offsets are reused, so a reader that continues at its old
 * offset would miss new records. The era in the responses reveals the restore.
 */

import { describe, itSerial } from '../support/describe.js';
import { withFleet } from './meshFleet.js';

const kRecordsTopic = 'keyed.gentiandrum-hosts';
const kConfigTopic = 'keyed.op';

describe('a store that is restored from an older copy', () => {
  itSerial('should not bring an older configuration into force, and should deliver the next one at any offset', (t) =>
    withFleet(async (fleet) => {
      fleet.store.era = 4;
      fleet.configure([{ prefix: '/s/', service: 's' }]);
      const host = await fleet.add('a', 's');
      await fleet.untilServing('/s/1');
      const lost = [fleet.configure([{ prefix: '/s/', service: 's' }]), fleet.configure([{ prefix: '/new/', service: 's' }])];
      await fleet.until('the newest version to be in force', async () => (await fleet.call(host, '/new/1')).status === 200);
      // Writes as many versions as were lost, so that the old offset is the end of the log again.
      fleet.store.rewind(kConfigTopic, lost.length);
      lost.forEach((_, i) => fleet.configure([{ prefix: `/newer/${i}/`, service: 's' }]));
      await fleet.until(
        'the version written after the restore to be in force',
        async () => (await fleet.call(host, '/newer/1/x')).status === 200,
      );
      t.is((await fleet.call(host, '/s/2')).status, 404);
    }),
  );

  itSerial('should receive the records of all hosts again', (t) =>
    withFleet(async (fleet) => {
      fleet.store.era = 4;
      fleet.configure([{ prefix: '/s/', service: 's' }]);
      for (const id of ['a', 'b', 'c']) {
        await fleet.add(id, 's');
      }
      await fleet.untilServing('/s/1');
      const written = (): string[] => [...fleet.store.newest(kRecordsTopic).keys()].sort();
      await fleet.until('all records to be in the log', () => written().length === 3);
      for (let times = 0; times < 2; times++) {
        fleet.store.rewind(kRecordsTopic, 100);
        t.deepEqual(written(), []);
        await fleet.until('all records to be in the log again', () => written().length === 3);
      }
      for (const host of fleet.hosts) {
        t.is((await fleet.call(host, '/s/2')).status, 200);
      }
    }),
  );

  itSerial('should have responses of an older era ignored, and an unreadable era have no effect', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/s/', service: 's' }]);
      const host = await fleet.add('a', 's');
      await fleet.untilServing('/s/1');
      fleet.store.era = Number.NaN;
      fleet.configure([
        { prefix: '/s/', service: 's' },
        { prefix: '/t/', service: 's' },
      ]);
      await fleet.until('a configuration to be applied', async () => (await fleet.call(host, '/t/1')).status === 200);
      fleet.store.era = 9;
      fleet.configure([{ prefix: '/u/', service: 's' }]);
      await fleet.until('the next one to be applied', async () => (await fleet.call(host, '/u/1')).status === 200);
      fleet.store.era = 8;
      fleet.configure([{ prefix: '/old/', service: 's' }]);
      await new Promise((resolve) => setTimeout(resolve, 500));
      t.is((await fleet.call(host, '/u/2')).status, 200);
      fleet.store.era = 9;
      await fleet.until('the responses to be accepted again', async () => (await fleet.call(host, '/old/1')).status === 200);
    }),
  );
});
