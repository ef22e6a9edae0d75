/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Public API of the routing daemon. */

export * from './app/calls/callExchange.js';
export * from './app/calls/conditionTracker.js';
export * from './app/calls/deadlines.js';
export * from './app/calls/gateLoad.js';
export * from './app/calls/offeredCall.js';
export * from './app/calls/routedRequest.js';
export * from './app/calls/statementEvents.js';
export * from './app/eventLog.js';
export * from './app/load/chainControl.js';
export * from './app/load/roomFollower.js';
export * from './app/load/targetLoadTracker.js';
export * from './app/log/logFollower.js';
export * from './app/meshDaemon.js';
export * from './app/periodicWork.js';
export * from './app/records/hostRecords.js';
export * from './app/runMesh.js';
export * from './client/peerCalls.js';
export * from './client/peerLink.js';
export * from './client/callCodec.js';
export * from './client/peerMessages.js';
export * from './client/sharedNames.js';
export type { RunResult } from './client/runResult.js';
export * from './client/targetClient.js';
export * from './http/headerReader.js';
export * from './http/messageParser.js';
export * from './http/statedLoad.js';
export * from './http/targetCondition.js';
export * from './ports.js';
export * from './server/hostServer.js';
