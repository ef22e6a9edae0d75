/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Guards against a fourth crash by one fingerprint: a target that returns while the fingerprint runs as a probe elsewhere must not become
 * the place of a second probe.
 */

import { chooseProbeTarget, fingerprintOf } from '@gentiandrum/core';
import { CrashingTarget } from '../platform/crashingTarget.js';
import { describe, itSerial } from '../support/describe.js';
import { type FleetHost, type MeshFleet, withFleet } from './meshFleet.js';

const kHosts = 4;
const kPath = '/s/lethal';
const kMaxCrashes = 3;
const kTimeoutMs = 10_000;

/** A host whose target crashes by the lethal request. */
interface LethalHost {
  host: FleetHost;
  target: CrashingTarget;
}

async function buildFleet(fleet: MeshFleet): Promise<LethalHost[]> {
  fleet.configure([{ prefix: '/s/', service: 's', maxAttempts: 3, timeoutMs: kTimeoutMs }]);
  const hosts: LethalHost[] = [];
  for (let i = 0; i < kHosts; i++) {
    const target = new CrashingTarget(`i-${i}`, 's', ({ path }) => path === kPath, { runMs: undefined, restartMs: undefined });
    await target.start();
    const host = await fleet.add(`h${i}`, 's', { target: target.current, beat: false });
    target.control = host.control;
    await target.current.sendHeartbeat(host.control);
    hosts.push({ host, target });
  }
  await fleet.untilServing('/s/first');
  return hosts;
}

/** The hosts by the rank of their targets for probes of the lethal request, the preferred one first. */
function byProbeRank(hosts: readonly LethalHost[]): LethalHost[] {
  const fingerprint = fingerprintOf({ method: 'GET', host: 'app.example', path: kPath, body: Buffer.alloc(0) });
  const excluded = new Set<string>();
  return hosts.flatMap(() => {
    const next = chooseProbeTarget(
      fingerprint,
      hosts.map(({ host }) => ({ host: host.id })),
      excluded,
    );
    excluded.add(next?.host ?? '');
    return hosts.filter(({ host }) => host.id === next?.host);
  });
}

async function untilReadyEverywhere(fleet: MeshFleet, hosts: readonly LethalHost[], count: number): Promise<void> {
  for (const { host } of hosts) {
    await fleet.until(`${host.id} to know ${count} ready targets`, async () => {
      return (await stateOf(fleet, host, 'hosts_ready')) === count;
    });
  }
}

async function stateOf(fleet: MeshFleet, host: FleetHost, name: string): Promise<number> {
  const [, value] = new RegExp(`name="${name}"[^}]*\\} (\\d+)`).exec(await fleet.metrics(host)) ?? [];
  return Number(value);
}

async function requestsInFlight(fleet: MeshFleet, hosts: readonly LethalHost[]): Promise<number> {
  const counts = await Promise.all(hosts.map(({ host }) => stateOf(fleet, host, 'requests_in_flight')));
  return counts.reduce((sum, count) => sum + count, 0);
}

/** Waits until the lethal request runs on a target. */
async function untilRunning(fleet: MeshFleet, hosts: readonly LethalHost[]): Promise<void> {
  await fleet.until('the lethal request to run', () => hosts.some(({ target }) => target.doomed));
}

function crashAllDoomed(hosts: readonly LethalHost[]): void {
  hosts
    .filter(({ target }) => target.doomed)
    .forEach(({ target }) => {
      target.crash();
    });
}

describe('a target that returns while another one runs a probe', () => {
  itSerial('should not run the same fingerprint', async (t) => {
    await withFleet(async (fleet) => {
      const hosts = await buildFleet(fleet);
      const sendAt = ({ host }: LethalHost): Promise<unknown> => fleet.call(host, kPath, { remainingMs: kTimeoutMs });
      const [first] = hosts;
      for (let i = 1; i < kMaxCrashes; i++) {
        const lethal = first && sendAt(first);
        await untilRunning(fleet, hosts);
        crashAllDoomed(hosts);
        await lethal;
        await untilReadyEverywhere(fleet, hosts, kHosts - i);
      }
      const [preferred, other] = byProbeRank(hosts).filter(({ target }) => target.down);
      await other?.target.restart();
      await untilReadyEverywhere(fleet, hosts, kHosts - 1);
      const probe = first && sendAt(first);
      await untilRunning(fleet, hosts);
      await preferred?.target.restart();
      await untilReadyEverywhere(fleet, hosts, kHosts);
      let responses = 0;
      const copies = hosts.map((host) => sendAt(host).finally(() => responses++));
      await fleet.until('the copies to be sent', async () => responses + (await requestsInFlight(fleet, hosts)) > kHosts);
      crashAllDoomed(hosts);
      await Promise.all([probe, ...copies]);
      crashAllDoomed(hosts);
      hosts.forEach(({ target }) => {
        target.close();
      });
      t.is(
        hosts.reduce((sum, { target }) => sum + target.crashes, 0),
        kMaxCrashes,
      );
    });
  });
});
