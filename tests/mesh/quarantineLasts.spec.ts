/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import type { ListedSuspect } from '@gentiandrum/core';
import { request } from 'undici';
import { CrashingTarget } from '../platform/crashingTarget.js';
import { describe, itSerial } from '../support/describe.js';
import { type FleetHost, type MeshFleet, withFleet } from './meshFleet.js';

const kLethalPath = '/s/lethal';
const kHosts = 4;

/** Starts hosts whose targets crash on requests to `kLethalPath` until `fixed` returns true. */
async function buildFleet(fleet: MeshFleet, fixed: () => boolean): Promise<CrashingTarget[]> {
  fleet.configure([{ prefix: '/s/', service: 's', maxAttempts: 3 }]);
  const targets: CrashingTarget[] = [];
  for (let i = 0; i < kHosts; i++) {
    const target = new CrashingTarget(`i-${i}`, 's', ({ path }) => path === kLethalPath && !fixed());
    await target.start();
    const host = await fleet.add(`h${i}`, 's', { target: target.current, beat: false });
    target.control = host.control;
    await target.current.sendHeartbeat(host.control);
    targets.push(target);
  }
  await fleet.untilServing('/s/first');
  return targets;
}

function crashCount(targets: readonly CrashingTarget[]): number {
  return targets.reduce((sum, { crashes }) => sum + crashes, 0);
}

function anyHost(fleet: MeshFleet): FleetHost {
  const [host] = fleet.hosts;
  if (!host) {
    throw new Error('expected a fleet with hosts, got none');
  }
  return host;
}

async function suspectsOf(host: FleetHost): Promise<ListedSuspect[]> {
  const res = await request(`http://${host.metrics}/-/suspects`);
  const { suspects } = (await res.body.json()) as { suspects: ListedSuspect[] };
  return suspects;
}

/** Sends the lethal request until it is quarantined. */
async function untilQuarantined(fleet: MeshFleet): Promise<void> {
  await fleet.until('the fingerprint to be quarantined', async () => {
    const { status, body } = await fleet.call(anyHost(fleet), kLethalPath);
    return status === 503 && body.includes('quarantined');
  });
}

describe('a quarantined request fingerprint', () => {
  itSerial('should be refused as not run, with a retry delay', async (t) => {
    await withFleet(async (fleet) => {
      const targets = await buildFleet(fleet, () => false);
      await untilQuarantined(fleet);
      for (const host of fleet.hosts) {
        const { status, headers, body } = await fleet.call(host, kLethalPath);
        t.is(status, 503);
        t.true(body.includes('not run: quarantined'));
        t.true(Number(headers['retry-after']) >= 30);
      }
      t.is(crashCount(targets), 3);
      targets.forEach((target) => {
        target.close();
      });
    });
  });

  itSerial('should stay quarantined after a restart of one daemon, and of all daemons', async (t) => {
    await withFleet(async (fleet) => {
      const targets = await buildFleet(fleet, () => false);
      await untilQuarantined(fleet);
      const one = anyHost(fleet);
      fleet.kill(one);
      const restarted = await fleet.restart(one);
      await fleet.until('the restarted daemon to know the fingerprint', async () => (await suspectsOf(restarted)).length === 1);

      await fleet.until('the log to contain the fingerprint', () =>
        [...fleet.store.newest('keyed.gentiandrum-hosts').values()].some((text) => text.includes('suspects')),
      );
      const all = [...fleet.hosts];
      all.forEach((host) => {
        fleet.kill(host);
      });
      for (const host of all) {
        await fleet.restart(host);
      }
      await Promise.all(targets.map(({ current, control }) => current.sendHeartbeat(control)));
      await fleet.until('every daemon to know the fingerprint', async () => {
        const known = await Promise.all(fleet.hosts.map((host) => suspectsOf(host)));
        return known.every((suspects) => suspects.some(({ verdict }) => verdict === 'quarantined'));
      });
      for (const host of fleet.hosts) {
        await fleet.until('the daemon to serve', async () => (await fleet.call(host, '/s/good')).status === 200);
        t.is((await fleet.call(host, kLethalPath)).status, 503);
      }
      t.is(crashCount(targets), 3);
      targets.forEach((target) => {
        target.close();
      });
    });
  });

  itSerial('should run again at all hosts after an operator releases it, and be cleared by its first success', async (t) => {
    await withFleet(async (fleet) => {
      let fixed = false;
      const targets = await buildFleet(fleet, () => fixed);
      await untilQuarantined(fleet);
      const [suspect] = await suspectsOf(anyHost(fleet));
      t.is(suspect?.verdict, 'quarantined');
      t.is(suspect?.marks.length, 3);
      fixed = true;
      await fleet.until('all targets to be ready again', () => fleet.hosts.every(({ daemon }) => daemon.record.state === 'ready'));
      const path = `/-/suspects/${suspect?.fingerprint ?? ''}/release`;
      const unknown = await request(`http://${anyHost(fleet).metrics}/-/suspects/none/release`, { method: 'POST' });
      t.is(unknown.statusCode, 404);
      await unknown.body.dump();
      const released = await request(`http://${anyHost(fleet).metrics}${path}`, { method: 'POST' });
      t.is(released.statusCode, 200);
      await released.body.dump();
      for (const host of fleet.hosts) {
        await fleet.until('the request to be served again', async () => (await fleet.call(host, kLethalPath)).status === 200);
        t.deepEqual(await suspectsOf(host), []);
      }
      targets.forEach((target) => {
        target.close();
      });
    });
  });
});
