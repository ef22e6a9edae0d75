/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Holds the runtime's clock still for the length of a test. */

import { type Clock, install } from '@sinonjs/fake-timers';

/** Runs a test body with the clock held; `clock.tick` advances it. */
export function withFakeClock<T>(body: (clock: Clock) => T): T {
  const clock = install({ now: 0, toFake: ['performance', 'Date'] });
  try {
    return body(clock);
  } finally {
    clock.uninstall();
  }
}
