/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Claims of one shard in the order of the log: the first claim of a key is the one that counts.
 *
 * No lease is held, so there is none to lapse: a claimant that was paused finds the same order when it wakes.
 */

import { type ClaimRecord, claimBatchSchema } from '@gentiandrum/protocol';

/** Index over one claims stream. */
export class ClaimIndex {
  private _nextOffset = 0;
  private readonly _holders = new Map<string, ClaimRecord>();

  /** @param _capacity claims remembered; the oldest are forgotten first, as the log itself does */
  constructor(private readonly _capacity: number) {}

  /** Offset of the next record to fold. */
  get next(): number {
    return this._nextOffset;
  }

  /** Claims remembered. */
  get size(): number {
    return this._holders.size;
  }

  /** Folds one entry of the stream; entries that were folded already change nothing. */
  apply(offset: number, value: unknown): void {
    if (offset < this._nextOffset) {
      return;
    }
    this._nextOffset = offset + 1;
    const parsed = claimBatchSchema.safeParse(value);
    if (!parsed.success) {
      return;
    }
    for (const record of parsed.data) {
      this._applyRecord(record);
    }
  }

  /** Skips to the oldest retained record after the log dropped what lay before it. */
  skipTo(offset: number): void {
    this._nextOffset = Math.max(this._nextOffset, offset);
  }

  /** The claim that counts for a key. */
  holder(key: string): ClaimRecord | undefined {
    return this._holders.get(key);
  }

  private _applyRecord(record: ClaimRecord): void {
    const holder = this._holders.get(record.key);
    if (record.released === true) {
      if (holder?.nonce === record.nonce) {
        this._holders.delete(record.key);
      }
      return;
    }
    if (!holder) {
      this._holders.set(record.key, record);
      this._trim();
    }
  }

  private _trim(): void {
    const oldest = this._holders.keys().next();
    if (this._holders.size > this._capacity && !oldest.done) {
      this._holders.delete(oldest.value);
    }
  }
}
