/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** The parts of prom-client that the bundled daemon uses: its index would load pushing to a gateway, clusters and the runtime's metrics. */

module.exports = {
  Counter: require('../node_modules/prom-client/lib/counter.js'),
  Gauge: require('../node_modules/prom-client/lib/gauge.js'),
  Registry: require('../node_modules/prom-client/lib/registry.js'),
};
