/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Exports of the daemon for tests, benchmarks and examples. */

export { Daemon } from './app/daemon.js';
export { LocalTarget } from './app/localTarget.js';
export { Logger } from './app/logger.js';
export { SuspectService } from './app/suspectService.js';
export { ChainTokens } from './app/chainToken.js';
export { loadSettings } from './app/loadSettings.js';
export { exchange, HttpExchange } from './client/httpExchange.js';
export { Pools } from './client/pools.js';
export { main } from './server/main.js';
export { startServer } from './server/startServer.js';
export * from './client/connectionCheck.js';
