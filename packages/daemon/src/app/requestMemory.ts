/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Memory for the bodies that belong to one request of a caller, or to one offer of another daemon, until it is answered. */

import type { MemoryAccount, MemoryLease, MemoryPlace, Reservation } from '@gentiandrum/core';

/** Accounts of a daemon. Requests hold their memory until they are answered, so responses must not wait for it. */
export interface BodyAccounts {
  requests: MemoryAccount;
  responses: MemoryAccount;
}

/** Where the bodies of a request are held. */
export interface MemoryPlaces {
  request: MemoryPlace;
  response: MemoryPlace;
}

export class RequestMemory {
  private readonly _request: MemoryLease;
  private readonly _response: MemoryLease;

  constructor({ requests, responses }: BodyAccounts, places: MemoryPlaces) {
    this._request = requests.open(places.request);
    this._response = responses.open(places.response);
  }

  /** Reserves memory for a request body of known length; returns false if there is none. */
  reserveRequest(bytes: number): boolean {
    if (this._request.reserve(bytes, () => undefined) === 'granted') {
      return true;
    }
    this._request.release();
    return false;
  }

  /** Counts what was received of a request body; returns false if there is no memory for more. */
  holdRequest(bytes: number): boolean {
    return bytes <= this._request.bytes || this._request.grow(bytes);
  }

  /** Reserves memory for `bytes` more of a response. If that has to wait, `onGranted` is called later. */
  reserveResponse(bytes: number, onGranted: () => void): Reservation {
    return this._response.reserve(this._response.bytes + bytes, onGranted);
  }

  /** Counts more bytes of a response of unknown length; returns false if there is no memory for them, or if others needed it meanwhile. */
  addResponse(bytes: number): boolean {
    return this._response.grow(this._response.bytes + bytes);
  }

  /** The request body is complete. */
  completeRequest(): void {
    this._request.complete();
  }

  /** The response body is complete. */
  completeResponse(): void {
    this._response.complete();
  }

  release(): void {
    this._request.release();
    this._response.release();
  }
}
