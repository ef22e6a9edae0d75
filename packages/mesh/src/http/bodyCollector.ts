/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Collects the parts of a body without joining them. */

import type { MessageBody } from '@gentiandrum/core';

/** Shortest part that is kept as a view, in bytes. Each view needs an object, and shorter parts may use little of the buffer they keep. */
const kMinViewBytes = 4_096;
/** Size of the buffers into which shorter parts are copied, in bytes. */
const kBlockBytes = 65_536;

const kNoBody = Buffer.alloc(0);

export class BodyCollector {
  private _parts: Buffer[] = [];
  private _block: Buffer | undefined;
  private _blockUsed = 0;
  private _bytes = 0;

  /** @param _borrowed whether the owner of the appended buffers uses them again, so that they are always copied */
  constructor(private readonly _borrowed = false) {}

  /** Number of bytes collected. */
  get bytes(): number {
    return this._bytes;
  }

  append(part: Buffer): void {
    const first = this._bytes === 0;
    this._bytes += part.length;
    if (this._borrowed || (!first && part.length < kMinViewBytes)) {
      this._copy(part);
    } else {
      this._closeBlock();
      this._parts.push(part);
    }
  }

  /** Returns the body, and starts a new one. */
  take(): MessageBody {
    this._closeBlock();
    const parts = this._parts;
    this.clear();
    const [only] = parts;
    return parts.length > 1 ? parts : (only ?? kNoBody);
  }

  /** Discards what was collected. */
  clear(): void {
    this._parts = [];
    this._block = undefined;
    this._blockUsed = 0;
    this._bytes = 0;
  }

  private _copy(part: Buffer): void {
    for (let at = 0; at < part.length;) {
      if (!this._block) {
        // A body that ends within its first part needs no room for more.
        const bytes = this._parts.length === 0 && this._bytes === part.length ? Math.min(part.length, kBlockBytes) : kBlockBytes;
        this._block = Buffer.allocUnsafeSlow(bytes);
        this._blockUsed = 0;
      }
      const copied = part.copy(this._block, this._blockUsed, at);
      at += copied;
      this._blockUsed += copied;
      if (this._blockUsed === this._block.length) {
        this._closeBlock();
      }
    }
  }

  private _closeBlock(): void {
    if (this._block && this._blockUsed > 0) {
      this._parts.push(this._block.subarray(0, this._blockUsed));
    }
    this._block = undefined;
  }
}
