/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against targets that crash because their daemon was cut off when the others quarantined the request, and was never told. */

import test from 'ava';
import { LinkStandin } from '../standins/linkStandin.js';
import { describe, itSerial } from '../support/describe.js';
import { Fleet, type FleetHost, until } from '../support/fleet.js';
import { freeAddress } from '../support/freePorts.js';
import { kSampleConfig } from '../support/sampleConfig.js';

const kReachable = ['b1', 'b2', 'b3'];
const kCutOff = 'b4';
const kBehaviour = { endsOn: 'lethal' };

let fleet: Fleet;
let link: LinkStandin;
let stopped = false;

/** Restarts a target after each crash, until the tests are over. */
function restartAfterCrashes(host: FleetHost): void {
  host.target?.once('exit', () => {
    if (!stopped) {
      void fleet.startTarget(host, 'beta', kBehaviour).then(() => {
        restartAfterCrashes(host);
      });
    }
  });
}

test.before(async () => {
  fleet = await Fleet.start([
    { id: 'a1', zone: 'east', service: 'alpha' },
    ...kReachable.map((id) => ({ id, zone: 'east', service: 'beta', behaviour: kBehaviour })),
  ]);
  const address = await freeAddress();
  link = new LinkStandin(Number(address.split(':')[1]));
  const settings = { advertise: await link.listen() };
  await fleet.startHost({ id: kCutOff, zone: 'north', service: 'beta', behaviour: kBehaviour }, settings, address);
  await fleet.runCli(['apply', 'FILE', '--base', '0', '--wait'], kSampleConfig);
  await fleet.untilTargets('beta', kReachable.length + 1);
  kReachable.forEach((id) => {
    restartAfterCrashes(fleet.host(id));
  });
});

test.afterEach.always(async (t) => {
  if (!t.passed) {
    t.log(await fleet.diagnostics());
  }
});

test.after.always(() => {
  stopped = true;
  link.close();
  fleet.stop();
});

async function kindOf(host: string): Promise<string | undefined> {
  const res = await fetch(`http://${fleet.host(host).address}/beta/lethal/1`);
  const text = await res.text();
  return res.headers.get('content-type')?.includes('problem') === true ? (JSON.parse(text) as { kind: string }).kind : undefined;
}

async function quarantinedAt(host: string): Promise<number> {
  const res = await fetch(`http://${fleet.host(host).address}/-/suspects`);
  const { suspects } = (await res.json()) as { suspects: { verdict: string }[] };
  return suspects.filter(({ verdict }) => verdict === 'quarantined').length;
}

describe('a daemon that was cut off while others quarantined a request', () => {
  itSerial('should learn of it after it is connected again, and refuse the request', async (t) => {
    link.setCut(true);
    await until('the request is quarantined', async () => (await kindOf('a1')) === 'quarantined');
    t.is(await quarantinedAt('a1'), 1);
    link.setCut(false);
    await until(`${kCutOff} knows`, async () => (await quarantinedAt(kCutOff)) === 1);
    t.is(await kindOf(kCutOff), 'quarantined');
    t.is(fleet.host(kCutOff).target?.exitCode, null);
  });
});
