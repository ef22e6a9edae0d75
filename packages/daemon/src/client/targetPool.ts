/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Connections to a target, each used again only while the responses on it identify their requests. */

import { kAttemptIdHeader } from '@gentiandrum/protocol';
import { type Client, type Dispatcher, Pool } from 'undici';
import { IdentifiedResponse } from './identifiedResponse.js';
import { TargetConnection, type TargetRequest } from './targetConnection.js';

export class TargetPool extends Pool {
  constructor(origin: string, options: Pool.Options) {
    super(origin, { ...options, factory: (url, clientOptions: Client.Options) => new TargetConnection(url, clientOptions) });
  }

  /** Sends a request. Without an attempt id among its headers, its connection is not used again. */
  override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    const response = new IdentifiedResponse(handler, attemptIdOf(options));
    const req: TargetRequest = { ...options, response };
    return super.dispatch(req, response);
  }
}

function attemptIdOf({ headers }: Dispatcher.DispatchOptions): string | undefined {
  const id = headers && kAttemptIdHeader in headers ? headers[kAttemptIdHeader] : undefined;
  return typeof id === 'string' ? id : undefined;
}
