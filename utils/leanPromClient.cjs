/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** The parts of prom-client that the bundled daemon uses, without the push gateway, cluster and default metrics that its index loads. */

module.exports = {
  Counter: require('../node_modules/prom-client/lib/counter.js'),
  Gauge: require('../node_modules/prom-client/lib/gauge.js'),
  Registry: require('../node_modules/prom-client/lib/registry.js'),
};
