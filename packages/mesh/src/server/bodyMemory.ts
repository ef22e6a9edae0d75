/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Bounds the bytes that bodies of requests under way may take in this process. */
export class BodyMemory {
  private _reservedBytes = 0;

  /** @param _maxBytes in bytes */
  constructor(private readonly _maxBytes: number) {}

  /** Takes room for so many bytes; false, and nothing taken, when there is none left. */
  reserve(bytes: number): boolean {
    if (this._reservedBytes > this._maxBytes) {
      return false;
    }
    this._reservedBytes += bytes;
    return true;
  }

  /** Gives room back. */
  release(bytes: number): void {
    this._reservedBytes -= bytes;
  }
}
