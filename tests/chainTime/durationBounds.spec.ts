/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { DurationBounds } from '@gentiandrum/core';
import { describe, it } from '../support/describe.js';

describe('the bound on the duration of a route', () => {
  it('should be infinite before the first request', (t) => {
    t.is(new DurationBounds().boundMs('reads'), Infinity);
  });

  it('should lie above nearly all requests, and near them where they take equally long', (t) => {
    const bounds = new DurationBounds();
    let exceeded = 0;
    for (let i = 0; i < 400; i++) {
      const ms = 300 + ((i * 7_919) % 601);
      exceeded += ms > bounds.boundMs('mixed') ? 1 : 0;
      bounds.record('mixed', ms);
      bounds.record('even', 200);
    }
    t.true(exceeded <= 8);
    t.true(bounds.boundMs('even') >= 200 && bounds.boundMs('even') < 220);
  });
});
