/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Requests of one connection to the target. Tells the response to the last one from late second responses to earlier ones. */

import type { ResponseHeaders } from '../http/headerReader.js';

/** Largest number of requests on a connection. Bounds the ids that are kept: they and the set need about 100 bytes each. */
const kMaxRequests = 500;
/** Length of the ids of a connection from which on it is not used again, as callers may choose long ones. */
const kMaxIdChars = 32_768;
/** Limit for the bodies of late responses that are discarded, in bytes; the response to the next request waits behind it. */
const kMaxDiscardedBytes = 1_048_576;

/**
 * What a response is by its id: the one to the last request or to none of this connection, one to an earlier request that can be
 * discarded, or one to an earlier request whose end is in doubt.
 */
export type ResponseOwner = 'last_request' | 'earlier_request' | 'doubtful';

export class ConnectionHistory {
  private _lastId = '';
  private _count = 0;
  private _idChars = 0;
  /** Ids of the requests before the last one; a discarded response takes its id out. */
  private readonly _earlierIds = new Set<string>();
  private _hasSentHead = false;
  private _hasDiscarded = false;
  private _discardedBytes = 0;

  /** Whether the connection may be used again after the response to the last request. */
  get allowsReuse(): boolean {
    return this._lastId !== '' && !this._hasDiscarded && this._count < kMaxRequests && this._idChars < kMaxIdChars;
  }

  /** Whether the response to a request with this id could not be confused with a late one; without an id, on a new connection only. */
  allows(requestId: string): boolean {
    return this._count === 0 || (requestId !== '' && requestId !== this._lastId && !this._earlierIds.has(requestId));
  }

  add(requestId: string, isHead: boolean): void {
    if (this._count > 0) {
      this._earlierIds.add(this._lastId);
    }
    this._lastId = requestId;
    this._count++;
    this._idChars += requestId.length;
    this._hasSentHead ||= isHead;
  }

  /** Determines whose a response is, by its headers. A response to an earlier request is accounted as discarded. */
  ownerOf({ requestId, repeatsIdentity, framed }: ResponseHeaders): ResponseOwner {
    if (requestId === this._lastId || !this._earlierIds.has(requestId)) {
      return 'last_request';
    }
    // After HEAD, it is not known whether a late response has a body.
    if (repeatsIdentity || !framed || this._hasSentHead) {
      return 'doubtful';
    }
    this._earlierIds.delete(requestId);
    this._hasDiscarded = true;
    return 'earlier_request';
  }

  /** Counts bytes of a discarded body; returns whether they are within the limit for all of the connection. */
  discard(bytes: number): boolean {
    this._discardedBytes += bytes;
    return this._discardedBytes <= kMaxDiscardedBytes;
  }
}
