/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Guards against calls that fail because the daemon of their only target missed a ping: a stall of half a second made it a suspect, and a
 * suspect received no calls.
 */

import test from 'ava';
import { describe, itSerial } from '../support/describe.js';
import { Fleet, until } from '../support/fleet.js';
import { kSampleConfig } from '../support/sampleConfig.js';

/** Time for the call, and its onward call, to arrive at the daemon of `a1`, in milliseconds. */
const kArrivalMs = 200;

let fleet: Fleet;

test.before(async () => {
  fleet = await Fleet.start([
    { id: 'a1', zone: 'east', service: 'alpha', behaviour: { onward: [{ service: 'beta', method: 'POST', path: '/x' }] } },
    { id: 'b1', zone: 'east', service: 'beta' },
  ]);
  await fleet.runCli(['apply', 'FILE', '--base', '0', '--wait'], kSampleConfig);
  await Promise.all([fleet.untilTargets('alpha', 1), fleet.untilTargets('beta', 1)]);
});

test.after.always(() => {
  fleet.stop();
});

async function stateOfB1(): Promise<string | undefined> {
  return (await fleet.status('a1')).members.find(({ id }) => id === 'b1')?.state;
}

async function callDuringStall(path: string, method: string): Promise<number> {
  const { daemon } = fleet.host('b1');
  daemon.kill('SIGSTOP');
  try {
    await until('a1 suspects b1', async () => (await stateOfB1()) === 'suspect');
    const res = fetch(`http://${fleet.host('a1').address}${path}`, { method });
    await new Promise((resolve) => setTimeout(resolve, kArrivalMs));
    daemon.kill('SIGCONT');
    return (await res).status;
  } finally {
    daemon.kill('SIGCONT');
    await until('b1 is alive', async () => (await stateOfB1()) === 'alive');
  }
}

describe('a call whose only target is on a suspected host', () => {
  itSerial('should be served once the daemon responds again', async (t) => {
    t.is(await callDuringStall('/beta/lookup/1', 'GET'), 200);
  });

  itSerial('should be served as an onward call that is not idempotent', async (t) => {
    t.is(await callDuringStall('/alpha/x', 'PUT'), 200);
  });
});
