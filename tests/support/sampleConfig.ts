/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** A sample configuration for tests. */

/** Two services with idempotent reads of several importances, and holds that must run at most once. */
export const kSampleConfig = {
  services: { alpha: {}, beta: {} },
  classes: {
    'alpha-read': { service: 'alpha', methods: ['GET'], importance: 'normal', idempotent: true, retries: 2 },
    'alpha-hold': { service: 'alpha', methods: ['POST'], path: '/holds/**', importance: 'high' },
    'alpha-chain': { service: 'alpha', methods: ['PUT'], importance: 'normal', idempotent: true, retries: 3 },
    'beta-lookup': { service: 'beta', methods: ['GET'], path: '/lookup/**', importance: 'critical', idempotent: true, retries: 2 },
    'beta-read': { service: 'beta', methods: ['GET'], importance: 'low', idempotent: true, retries: 1 },
    'beta-hold': { service: 'beta', methods: ['POST'], importance: 'high' },
  },
};
