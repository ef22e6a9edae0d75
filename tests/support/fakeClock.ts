/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Replaces the runtime's clock for the duration of a test. */

import { type Clock, install } from '@sinonjs/fake-timers';

/** Runs a test body with a fake clock that only `clock.tick` advances. */
export function withFakeClock<T>(body: (clock: Clock) => T): T {
  const clock = install({ now: 0, toFake: ['performance', 'Date'] });
  try {
    return body(clock);
  } finally {
    clock.uninstall();
  }
}
