/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Guards against a fourth crash by one fingerprint: a target that returns while the fingerprint runs as a probe elsewhere must not become
 * the place of a second probe.
 */

import { chooseProbeTarget, fingerprintOf, requestIdentity } from '@gentiandrum/core';
import test from 'ava';
import { describe, itSerial } from '../support/describe.js';
import { exitOf, Fleet, type FleetHost, until } from '../support/fleet.js';
import { kSampleConfig } from '../support/sampleConfig.js';

const kHosts = ['b1', 'b2', 'b3', 'b4'];
const kPath = '/lethal/1';
const kTimeoutMs = 60_000;
/** Longer than the test, which ends the targets itself. */
const kDoomedBehaviour = { endsOn: 'lethal', endsAfterMs: kTimeoutMs };
/** Time for the copies of the request to reach a target. */
const kCopiesMs = 1_000;
const kMaxCrashes = 3;

let fleet: Fleet;
let crashes = 0;
const downHosts = new Set<string>();

test.before(async () => {
  const limits = { announceTimeoutMs: 1_500 } as never;
  fleet = await Fleet.start(
    kHosts.map((id) => ({ id, zone: 'east', service: 'beta', behaviour: kDoomedBehaviour })),
    { limits },
  );
  const patch = {
    ...kSampleConfig,
    classes: { lethal: { service: 'beta', methods: ['GET'], importance: 'low', idempotent: true, deadlineMs: kTimeoutMs } },
  };
  await fleet.runCli(['apply', 'FILE', '--base', '0', '--wait'], patch);
  await fleet.untilTargets('beta', kHosts.length);
});

test.after.always(() => {
  fleet.stop();
});

async function send(host: string): Promise<number> {
  const res = await fetch(`http://${fleet.host(host).address}/beta${kPath}`);
  await res.text();
  return res.status;
}

/** Hosts whose targets run the lethal request. */
async function doomedHosts(): Promise<FleetHost[]> {
  const running = kHosts.filter((id) => !downHosts.has(id));
  const doomed = await Promise.all(running.map(async (id) => ({ id, doomed: await fleet.isDoomed(id) })));
  return doomed.flatMap((host) => (host.doomed ? [fleet.host(host.id)] : []));
}

async function untilDoomed(): Promise<void> {
  await until('the lethal request runs', async () => (await doomedHosts()).length > 0);
}

/** Ends the targets that run the lethal request. */
async function crashDoomed(): Promise<void> {
  for (const { id, target } of await doomedHosts()) {
    crashes++;
    downHosts.add(id);
    target?.kill('SIGKILL');
    await (target && exitOf(target));
  }
}

async function restart(id: string): Promise<void> {
  await fleet.startTarget(fleet.host(id), 'beta', kDoomedBehaviour);
  downHosts.delete(id);
}

/** The hosts without a target by the rank of their targets for probes of the lethal request, the preferred one first. */
function downByProbeRank(): string[] {
  const payload = { method: 'GET', path: kPath, headers: {}, body: new Uint8Array() };
  const fingerprint = fingerprintOf(requestIdentity('beta', payload));
  const excluded = new Set<string>();
  return [...downHosts].flatMap(() => {
    const down = [...downHosts].map((id) => ({ host: `${id}-target`, id }));
    const next = chooseProbeTarget(fingerprint, down, excluded);
    excluded.add(next?.host ?? '');
    return next ? [next.id] : [];
  });
}

describe('a target that returns while another one runs a probe', () => {
  itSerial('should not run the same fingerprint', async (t) => {
    for (let i = 1; i < kMaxCrashes; i++) {
      const lethal = send('b1');
      await untilDoomed();
      await crashDoomed();
      await lethal;
      await fleet.untilTargets('beta', kHosts.length - i);
    }
    const [preferred = '', other = ''] = downByProbeRank();
    await restart(other);
    await fleet.untilTargets('beta', kHosts.length - 1);
    const probe = send('b1');
    await untilDoomed();
    await restart(preferred);
    await fleet.untilTargets('beta', kHosts.length);
    const copies = kHosts.map(send);
    await new Promise((resolve) => setTimeout(resolve, kCopiesMs));
    await crashDoomed();
    await Promise.all([probe, ...copies]);
    t.is(crashes, kMaxCrashes);
  });
});
