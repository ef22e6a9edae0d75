/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** The parts of undici that the bundled daemon uses, without fetch, caches, mocks and WebSocket, which its index loads. */

const Dispatcher = require('../node_modules/undici/lib/dispatcher/dispatcher.js');

Dispatcher.prototype.request = require('../node_modules/undici/lib/api/api-request.js');

module.exports = {
  Pool: require('../node_modules/undici/lib/dispatcher/pool.js'),
};
