/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Tests that two readers per zone keep all its daemons up to date, also when readers are killed or the store is unavailable. */

import { describe, itSerial } from '../support/describe.js';
import { type FleetHost, type MeshFleet, withFleet } from './meshFleet.js';

const kTopic = 'keyed.gentiandrum-hosts';
const kHosts = 6;

async function withZone(body: (fleet: MeshFleet) => Promise<void>): Promise<void> {
  await withFleet(async (fleet) => {
    fleet.configure([{ prefix: '/a/', service: 'reads' }]);
    for (let i = 0; i < kHosts; i++) {
      await fleet.add(`h${i}`, 'reads');
    }
    await fleet.untilServing('/a/warm');
    await untilTwoRead(fleet);
    await body(fleet);
  });
}

async function untilTwoRead(fleet: MeshFleet): Promise<void> {
  await fleet.until('two hosts to read the log', async () => (await readers(fleet)).length === 2);
}

async function readers(fleet: MeshFleet): Promise<FleetHost[]> {
  const found: FleetHost[] = [];
  for (const host of fleet.hosts) {
    if (/name="reads_log"[^}]*} 1\n/.test(await fleet.metrics(host))) {
      found.push(host);
    }
  }
  return found;
}

async function untilServed(fleet: MeshFleet, path: string): Promise<void> {
  for (const host of fleet.hosts) {
    await fleet.until(`${host.id} to serve ${path}`, async () => (await fleet.call(host, path)).status === 200);
  }
}

describe('the daemons of a zone', () => {
  itSerial('should have two readers, whose version comes into force at all daemons', (t) =>
    withZone(async (fleet) => {
      fleet.configure([{ prefix: '/b/', service: 'reads' }]);
      await untilServed(fleet, '/b/x');
      t.pass();
    }),
  );

  itSerial('should receive a new version right after both readers are killed', (t) =>
    withZone(async (fleet) => {
      for (const reader of await readers(fleet)) {
        fleet.kill(reader);
      }
      fleet.configure([{ prefix: '/b/', service: 'reads' }]);
      await untilServed(fleet, '/b/x');
      await untilTwoRead(fleet);
      t.is(fleet.hosts.length, kHosts - 2);
    }),
  );

  itSerial('should write the record of each host to the log, and restore a removed one', (t) =>
    withZone(async (fleet) => {
      const inLog = (): number => fleet.store.newest(kTopic).size;
      await fleet.until('all records to be in the log', () => inLog() === kHosts);
      const [first] = fleet.hosts;
      fleet.store.put(kTopic, first?.id ?? '', '');
      await fleet.until('the record to be back', () => inLog() === kHosts);
      t.is((await fleet.call(fleet.hosts[1] ?? failMissingHost(), '/a/x')).status, 200);
    }),
  );

  itSerial('should send all hosts and the version to a daemon that joins while the store is unavailable', (t) =>
    withZone(async (fleet) => {
      const late = await fleet.prepare('late', 'other');
      fleet.store.put(
        kTopic,
        'late',
        JSON.stringify({
          host: 'late',
          zone: 'z1',
          peers: late.settings.listen.peers,
          service: 'other',
          instance: '',
          state: 'unknown',
          slots: 1,
          epoch: 1,
          revision: 1,
        }),
      );
      await fleet.until('a reader to know its record', () => fleet.hosts.some(({ daemon }) => daemon.knows('late')));
      fleet.store.mode = 'reset';
      const host = await fleet.startPrepared(late);
      await fleet.until('it to serve', async () => (await fleet.call(host, '/a/x')).status === 200);
      t.pass();
    }),
  );
});

function failMissingHost(): never {
  throw new Error('expected a second host');
}
