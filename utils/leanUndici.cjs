/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** The parts of undici that the bundled daemon uses: its index would load fetch, caches, mocks and web sockets at each start. */

module.exports = {
  Pool: require('../node_modules/undici/lib/dispatcher/pool.js'),
  buildConnector: require('../node_modules/undici/lib/core/connect.js'),
};
