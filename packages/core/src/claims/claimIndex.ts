/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Index of the claims of one shard in log order: the first claim of a key is its holder.
 *
 * Claims are not leases and do not expire with time: a claimant that was paused reads the same order afterwards.
 */

import { type ClaimRecord, claimBatchSchema } from '@gentiandrum/protocol';

/** Index of one claims stream. */
export class ClaimIndex {
  private _nextOffset = 0;
  private readonly _holders = new Map<string, ClaimRecord>();

  /** @param _capacity maximum number of claims; the oldest are evicted first, like in the log itself */
  constructor(private readonly _capacity: number) {}

  /** Offset of the next entry to apply. */
  get next(): number {
    return this._nextOffset;
  }

  /** Number of indexed claims. */
  get size(): number {
    return this._holders.size;
  }

  /** Applies one entry of the stream. Entries that were applied before and invalid ones change nothing. */
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

  /** Skips to the oldest retained entry after the log has dropped earlier ones. */
  skipTo(offset: number): void {
    this._nextOffset = Math.max(this._nextOffset, offset);
  }

  /** The claim that holds a key; undefined when there is none. */
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
