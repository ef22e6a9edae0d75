/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against a test run that hangs on the processes of a fleet that did not start. */

import { describe, itSerial } from '../support/describe.js';
import { Fleet, until } from '../support/fleet.js';

function childProcesses(): number {
  return process.getActiveResourcesInfo().filter((name) => name === 'ProcessWrap').length;
}

describe('a fleet', () => {
  itSerial('should stop all its processes when one of its hosts does not start', async (t) => {
    const before = childProcesses();
    const plans = ['a1', 'Not-A-Name'].map((id) => ({ id, zone: 'east', service: 'alpha' }));
    await t.throwsAsync(Fleet.start(plans), { message: /expected daemon Not-A-Name to respond, but it exited with code 2/ });
    await until('the processes have exited', () => Promise.resolve(childProcesses() === before));
    t.is(childProcesses(), before);
  });
});
