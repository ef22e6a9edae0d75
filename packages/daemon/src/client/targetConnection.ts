/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** A connection of a pool to a target. */

import { buildConnector, Client, type Dispatcher } from 'undici';
import { ConnectionUse } from './connectionUse.js';
import type { IdentifiedResponse } from './identifiedResponse.js';

/** A request together with the handler of its response. */
export interface TargetRequest extends Dispatcher.DispatchOptions {
  response: IdentifiedResponse;
}

export class TargetConnection extends Client {
  private readonly _use: ConnectionUse;

  constructor(origin: URL, options: Client.Options) {
    const { connect } = options;
    const use = new ConnectionUse();
    super(origin, { ...options, connect: use.track(typeof connect === 'function' ? connect : buildConnector(connect)) });
    this._use = use;
  }

  override dispatch(options: TargetRequest, handler: Dispatcher.DispatchHandler): boolean {
    options.response.sendOn(this._use);
    return super.dispatch(options, handler);
  }
}
