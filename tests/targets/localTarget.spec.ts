/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { LocalTarget, Logger } from '@gentiandrum/daemon';
import { describe, it } from '../support/describe.js';
const kTarget = { target: 't', service: 's', slots: 1, connections: 1, accepting: true };

describe('a target that restarts at another address', () => {
  it('should accept no requests while the operator drains it', (t) => {
    const events = { onStart: () => undefined, onShed: () => undefined };
    const local = new LocalTarget(
      () => 'goodput',
      events,
      () => undefined,
      new Logger('error', 'd'),
      5_000,
    );
    local.announce({ ...kTarget, url: 'http://127.0.0.1:1' });
    local.setIntake('leaving');
    local.announce({ ...kTarget, url: 'http://127.0.0.1:2' });
    t.is(local.gate?.closed, 'target_leaving');
  });
});
