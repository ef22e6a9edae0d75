/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Whether the open connection of a client has carried a response, so that data of an earlier request may precede the next one. */

import type { Socket } from 'node:net';
import type { buildConnector } from 'undici';

export class ConnectionUse {
  private _socket: Socket | undefined;
  private _used = false;

  /** Whether a response has been received on the open connection. */
  get used(): boolean {
    return this._used;
  }

  /** Returns a connector whose connections this object tracks. */
  track(connect: buildConnector.connector): buildConnector.connector {
    return (options, callback) => {
      connect(options, (...result) => {
        this._socket = result[1] ?? undefined;
        this._used = false;
        callback(...result);
      });
    };
  }

  markUsed(): void {
    this._used = true;
  }

  /**
   * Closes the connection; the client opens another one for its next request. The reset frees the local port at once instead of after a
   * minute, so that the ports do not run out.
   */
  close(): void {
    this._socket?.resetAndDestroy();
  }
}
