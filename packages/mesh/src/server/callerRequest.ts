/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** A request of a caller, from its head to its response. */

import { monotonicMs, type SequencedRequest } from '@gentiandrum/core';
import type { RequestHeaders } from '../http/headerReader.js';

const kNoBody = Buffer.alloc(0);

/** Response to a caller. */
interface CallerResponse {
  status: number;
  headers: string[];
  body: Buffer;
}

/** Connection of a request. */
interface RequestConnection {
  respond(req: CallerRequest, status: number, headers: string[], body: Buffer): void;
}

/** One request of a caller. */
export class CallerRequest implements SequencedRequest {
  body: Buffer = kNoBody;
  /** Time at which the head was read, on the monotonic clock; the time for reading the body counts against the deadline. */
  readonly receivedAt = monotonicMs();
  /** Called when the caller disconnects before the response. */
  onDisconnect: (() => void) | undefined;
  /** Bytes reserved for its body in {@link BodyMemory}. */
  reservedBytes = 0;
  /** Response that waits for those to older requests. */
  response: CallerResponse | undefined;
  /** Whether the request has been admitted or refused. */
  entryDecided = false;

  constructor(
    private readonly _connection: RequestConnection,
    readonly method: string,
    readonly target: string,
    readonly headers: RequestHeaders,
  ) {}

  get ready(): boolean {
    return this.response !== undefined;
  }

  /** Time until the caller's deadline, in milliseconds; infinite when the caller sends none. */
  get remainingMs(): number {
    return this.receivedAt + this.headers.remainingMs - monotonicMs();
  }

  /** Sends the final response. Ignored after the first one and once the connection is closed. */
  respond(status: number, headers: string[], body: Buffer): void {
    this._connection.respond(this, status, headers, body);
  }
}
