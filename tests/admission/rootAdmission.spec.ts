/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { RootAdmission } from '@gentiandrum/core';
import { describe, it } from '../support/describe.js';

/** Three of four requests are of the less urgent priority. */
function admissionWithMix(): RootAdmission {
  const admission = new RootAdmission();
  for (let i = 0; i < 400; i++) {
    admission.admits(i % 4 === 0 ? 0 : 1, 0.5, 0.5, i);
  }
  return admission;
}

describe('retry delay of a shed request', () => {
  it('should grow with the inverse of the admitted share of its priority, as fewer of those that return find room', (t) => {
    const admission = admissionWithMix();
    const factors = [0, 0.375, 0.6].map((level) => Number(admission.retryFactor(1, level).toFixed(1)));
    t.deepEqual(factors, [1, 2, 5]);
  });

  it('should be bounded where a priority is shed entirely, and unchanged where it is admitted', (t) => {
    const admission = admissionWithMix();
    t.is(admission.retryFactor(1, 0.9), 10);
    t.is(admission.retryFactor(0, 0.6), 1);
  });

  it('should be unchanged for a priority that was never seen', (t) => {
    t.is(new RootAdmission().retryFactor(3, 0.9), 1);
  });
});
