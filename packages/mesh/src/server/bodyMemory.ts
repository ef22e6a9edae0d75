/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Limits the memory for the bodies of requests in flight. */
export class BodyMemory {
  private _reservedBytes = 0;

  constructor(private readonly _maxBytes: number) {}

  /** Reserves memory; returns false, and reserves nothing, if the reserved memory already exceeds the limit. */
  reserve(bytes: number): boolean {
    if (this._reservedBytes > this._maxBytes) {
      return false;
    }
    this._reservedBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this._reservedBytes -= bytes;
  }
}
