/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Requests of one connection to the target, by whose ids the response to the last one is told from late second ones to the others. */

/** Largest number of requests on a connection. Bounds the ids that are kept: they and the set need about 100 bytes each. */
const kMaxRequests = 500;
/** Length of the ids of a connection from which on it is not used again, as callers may choose long ones. */
const kMaxIdChars = 32_768;

export class ConnectionHistory {
  private _lastId = '';
  private _count = 0;
  private _idChars = 0;
  /** Ids of the requests before the last one. */
  private readonly _earlierIds = new Set<string>();

  /** Number of requests that were sent. */
  get requests(): number {
    return this._count;
  }

  /** Whether the connection may be used again after the response to the last request. */
  get allowsReuse(): boolean {
    return this._lastId !== '' && this._count < kMaxRequests && this._idChars < kMaxIdChars;
  }

  /** Whether the response to a request with this id could not be confused with a late one; without an id, on a new connection only. */
  allows(requestId: string): boolean {
    return this._count === 0 || (requestId !== '' && requestId !== this._lastId && !this._earlierIds.has(requestId));
  }

  add(requestId: string): void {
    if (this._count > 0) {
      this._earlierIds.add(this._lastId);
    }
    this._lastId = requestId;
    this._count++;
    this._idChars += requestId.length;
  }
}
