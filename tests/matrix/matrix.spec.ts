/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Runs every single fault, a seeded sample of fault pairs, and the broken variants. */

import { seededRandom } from '@gentiandrum/core';
import { describe, itSerial } from '../support/describe.js';
import { kBrokenVariants } from './brokenVariants.js';
import { uncoveredFaults, runMatrix } from './runMatrix.js';
import { kScenarios } from './scenarios.js';

const kSeed = 7;
const kPairRatio = 0.05;

describe('the fault matrix', () => {
  itSerial('should keep all eight guarantees under every fault at every step and under sampled pairs', (t) => {
    const random = seededRandom(kSeed);
    const report = runMatrix(kScenarios, () => random() < kPairRatio);
    t.deepEqual(report.violations, []);
    t.deepEqual(report.notInjected, []);
    t.log(`${report.cells} cells, ${report.pairs} pairs, seed ${kSeed}`);
  });

  itSerial('should have a cell for every possible fault of every effect', (t) => {
    t.deepEqual(uncoveredFaults(runMatrix(kScenarios, () => false)), []);
  });

  for (const { name, guarantee, install } of kBrokenVariants) {
    itSerial(`should detect ${name}`, (t) => {
      const restore = install();
      try {
        const { violations } = runMatrix(kScenarios, () => false);
        t.true(
          violations.some((violation) => violation.includes(guarantee)),
          `expected a violation of "${guarantee}", got ${violations.slice(0, 3).join('; ') || 'none'}`,
        );
      } finally {
        restore();
      }
    });
  }
});
