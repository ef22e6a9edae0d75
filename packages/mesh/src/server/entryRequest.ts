/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** The properties of a caller's request that decide on its admission. */

import { type EntryRequest, readCredentials } from '@gentiandrum/core';
import type { CallerRequest } from './callerConnection.js';

export function entryRequestOf(req: CallerRequest): EntryRequest {
  const { method, target: path, headers } = req;
  const { host, credentials } = headers;
  return {
    host,
    path,
    presented: readCredentials(credentials),
    remainingMs: req.remainingMs,
    identity: () => ({ method, host, path, body: req.body }),
  };
}
