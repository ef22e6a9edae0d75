/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against a record of another writer under the key of a running host that displaces the host's own record for good. */

import type { TargetRecord } from '@gentiandrum/core';
import { type FleetHost, type MeshFleet, withFleet } from './meshFleet.js';
import { describe, itSerial } from '../support/describe.js';

const kTopic = 'keyed.gentiandrum-hosts';
const kDeep = `${'['.repeat(100_000)}${']'.repeat(100_000)}`;

/** Texts for a record of a host that differ from its own one in one field, or two. `unreachable` would exclude it from routing. */
const kOddTexts: Record<string, (own: TargetRecord) => string> = {
  'a later revision': (own) => JSON.stringify({ ...own, state: 'unreachable', revision: own.revision + 1_000_000 }),
  'the largest safe revision': (own) => JSON.stringify({ ...own, state: 'unreachable', revision: Number.MAX_SAFE_INTEGER }),
  'the largest safe epoch': (own) =>
    JSON.stringify({ ...own, state: 'unreachable', epoch: Number.MAX_SAFE_INTEGER, revision: Number.MAX_SAFE_INTEGER }),
  'a revision without precision': (own) => JSON.stringify({ ...own, state: 'unreachable', revision: 1e308 }),
  'an epoch without precision': (own) => JSON.stringify({ ...own, state: 'unreachable', epoch: 1e308, revision: 1e308 }),
  'an infinite epoch': (own) => JSON.stringify(own).replace(/"epoch":\d+/, '"epoch":1e999'),
  'another address': (own) => JSON.stringify({ ...own, peers: '127.0.0.1:0' }),
  'another state': (own) => JSON.stringify({ ...own, state: 'gone' }),
  'too many slots': (own) => JSON.stringify({ ...own, slots: 1e308 }),
  'deep nesting': (own) => JSON.stringify({ ...own, extra: '?' }).replace('"?"', kDeep),
  'no object': () => 'null',
};

/** Whether the log has the record of a host as the host publishes it. */
function isRestored(fleet: MeshFleet, { daemon }: FleetHost): boolean {
  const { host, epoch, revision, state, peers, slots } = daemon.record;
  const logged = JSON.parse(fleet.store.newest(kTopic).get(host) ?? 'null') as TargetRecord | null;
  return (
    logged?.epoch === epoch && logged.revision === revision && logged.state === state && logged.peers === peers && logged.slots === slots
  );
}

describe('a record of a running host in the log', () => {
  // Routing excluded such hosts until they restarted, and daemons that started later did not find them.
  itSerial('should be restored after another writer has replaced it', (t) =>
    withFleet(async (fleet) => {
      const texts = Object.entries(kOddTexts);
      fleet.configure(['o', ...texts.keys()].map((i) => ({ prefix: `/s${i}/`, service: `s${i}` })));
      const observer = await fleet.add('observer', 'so');
      const cases: { name: string; host: FleetHost; path: string }[] = [];
      for (const [i, [name]] of texts.entries()) {
        cases.push({ name, host: await fleet.add(`h${i}`, `s${i}`), path: `/s${i}/x` });
      }
      await fleet.until('the records to be written', () => fleet.hosts.every((host) => isRestored(fleet, host)));
      texts.forEach(([, text], i) => {
        fleet.store.put(kTopic, `h${i}`, text(cases[i]?.host.daemon.record ?? observer.daemon.record));
      });
      fleet.store.put(kTopic, 'h-end', JSON.stringify({ ...observer.daemon.record, host: 'h-end', service: 'none' }));
      await fleet.until('the records to be read', () => fleet.hosts.every(({ daemon }) => daemon.knows('h-end')));
      const displaced = (): string[] => cases.filter(({ host }) => !isRestored(fleet, host)).map(({ name }) => name);
      await fleet.until('all to be restored', () => displaced().length === 0).catch(() => undefined);
      t.deepEqual(displaced(), []);
      for (const { path } of cases) {
        t.is((await fleet.call(observer, path)).status, 200);
      }
    }),
  );
});
