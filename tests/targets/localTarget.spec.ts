/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { LocalTarget, Logger } from '@gentiandrum/daemon';
import { describe, it } from '../support/describe.js';
const kTarget = { target: 't', service: 's', slots: 1, connections: 1, accepting: true };

function createTarget(): LocalTarget {
  const events = { onStart: () => undefined, onShed: () => undefined };
  return new LocalTarget(
    () => 'goodput',
    events,
    () => undefined,
    new Logger('error', 'd'),
    5_000,
  );
}

describe('a target that restarts at another address', () => {
  it('should accept no requests while the operator drains it', (t) => {
    const local = createTarget();
    local.start();
    local.announce({ ...kTarget, url: 'http://127.0.0.1:1' });
    local.setIntake('leaving');
    local.announce({ ...kTarget, url: 'http://127.0.0.1:2' });
    t.is(local.gate?.closed, 'target_leaving');
  });
});

// A daemon that had just started ran a request that all others had quarantined.
describe('a target whose daemon starts', () => {
  it('should accept no requests before the daemon has asked its peers for suspects', (t) => {
    const local = createTarget();
    local.announce({ ...kTarget, url: 'http://127.0.0.1:1' });
    t.is(local.state, 'absent');
    t.is(local.gate?.closed, 'no_target');
    local.start();
    t.is(local.state, 'serving');
    t.is(local.gate?.closed, undefined);
  });
});
