/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** A request of a caller, from its head to its response. */

import { type MemoryLease, type MessageBody, monotonicMs, type SequencedRequest } from '@gentiandrum/core';
import type { RequestHeaders } from '../http/headerReader.js';

const kNoBody = Buffer.alloc(0);

/** Response to a caller. */
export interface CallerResponse {
  status: number;
  headers: string[];
  body: MessageBody;
  /** Memory of a long body. */
  memory?: MemoryLease | undefined;
}

/** Connection of a request. */
interface RequestConnection {
  respond(req: CallerRequest, response: CallerResponse): void;
}

/** One request of a caller. */
export class CallerRequest implements SequencedRequest {
  body: MessageBody = kNoBody;
  /** Time at which the head was read, on the monotonic clock; the time for reading the body counts against the deadline. */
  readonly receivedAt = monotonicMs();
  /** Called when the caller disconnects before the response. */
  onDisconnect: (() => void) | undefined;
  /** Bytes of the body that were received when it was rejected. */
  receivedBytes = 0;
  /** Memory of its body; undefined without one, and once it was passed on with the body. */
  memory: MemoryLease | undefined;
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
  respond(response: CallerResponse): void {
    this._connection.respond(this, response);
  }

  /** Passes on the duty to release the memory of the body. */
  takeMemory(): MemoryLease | undefined {
    const { memory } = this;
    this.memory = undefined;
    return memory;
  }
}
