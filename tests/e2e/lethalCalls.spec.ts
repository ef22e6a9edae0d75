/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against retries and repeated requests that crash one target after another. */

import test from 'ava';
import { describe, itSerial } from '../support/describe.js';
import { Fleet, type FleetHost, until } from '../support/fleet.js';
import { kSampleConfig } from '../support/sampleConfig.js';

const kTargets = ['b1', 'b2', 'b3', 'b4', 'b5'];
const kRestartDelayMs = 1_000;
const kLethalCalls = 20;
const kCallPeriodMs = 250;
const kMaxCrashes = 3;

let fleet: Fleet;
let crashes = 0;
let stopped = false;

/** Restarts a target some time after each crash, until the test is over. */
function restartAfterCrashes(host: FleetHost): void {
  host.target?.once('exit', (code) => {
    if (code === 1) {
      crashes++;
      setTimeout(() => {
        if (stopped) {
          return;
        }
        void fleet.startTarget(host, 'beta', { endsOn: 'lethal' }).then(() => {
          restartAfterCrashes(host);
        });
      }, kRestartDelayMs);
    }
  });
}

test.before(async () => {
  fleet = await Fleet.start([
    { id: 'a1', zone: 'east', service: 'alpha' },
    ...kTargets.map((id, i) => ({ id, zone: i % 2 === 0 ? 'east' : 'west', service: 'beta', behaviour: { endsOn: 'lethal' } })),
  ]);
  await fleet.runCli(['apply', 'FILE', '--base', '0', '--wait'], kSampleConfig);
  await fleet.untilTargets('beta', kTargets.length);
  kTargets.forEach((id) => {
    restartAfterCrashes(fleet.host(id));
  });
});

test.after.always(() => {
  stopped = true;
  fleet.stop();
});

async function call(host: string, path: string): Promise<{ status: number; kind: string | undefined; retryAfter: string | null }> {
  const res = await fetch(`http://${fleet.host(host).address}${path}`);
  const text = await res.text();
  const problem = res.headers.get('content-type')?.includes('problem') === true;
  return {
    status: res.status,
    kind: problem ? (JSON.parse(text) as { kind: string }).kind : undefined,
    retryAfter: res.headers.get('retry-after'),
  };
}

describe('a call that crashes its targets', () => {
  itSerial('should crash at most three targets, then be refused as not run until an operator releases it', async (t) => {
    const hosts = [...fleet.hosts.keys()];
    for (let i = 0; i < kLethalCalls; i++) {
      await call(hosts[i % hosts.length] ?? 'a1', '/beta/lethal/1');
      await new Promise((resolve) => setTimeout(resolve, kCallPeriodMs));
    }
    t.true(crashes <= kMaxCrashes, `expected at most ${kMaxCrashes} target crashes, got ${crashes}`);
    for (const host of hosts) {
      const { status, kind, retryAfter } = await call(host, '/beta/lethal/1');
      t.deepEqual({ status, kind }, { status: 503, kind: 'quarantined' });
      t.truthy(retryAfter);
    }
    await fleet.untilTargets('beta', kTargets.length);
    t.is((await call('a1', '/beta/lookup/1')).status, 200);

    const listed = await fleet.runCli(['suspects', '--json']);
    const { suspects } = JSON.parse(listed.out) as { suspects: { fingerprint: string; verdict: string }[] };
    t.is(suspects.length, 1);
    const [quarantined] = suspects;
    t.is(quarantined?.verdict, 'quarantined');
    t.is((await fleet.runCli(['release', 'none'])).code, 1);
    await Promise.all(kTargets.map((id) => fleet.setBehaviour(id, { endsOn: '' })));
    t.is((await fleet.runCli(['release', quarantined?.fingerprint ?? ''])).code, 0);
    await until('the call to run everywhere', async () => {
      const results = await Promise.all(hosts.map((host) => call(host, '/beta/lethal/1')));
      return results.every(({ status }) => status === 200);
    });
  });
});
