/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Group commit: records that arrive while an append is in progress are written together by the next append. */

import { type AppendResult, monotonicMs } from '@gentiandrum/core';

/**
 * Minimum time between the starts of two appends, in milliseconds; bounds the append rate of a stream under load: with 16 shards in two
 * regions, all claims together cause at most 320 appends a second. A claim after a quiet period is appended at once.
 */
const kMinIntervalMs = 100;
const kMaxGroupSize = 500;

interface PendingAppend<T> {
  record: T;
  resolve: (result: AppendResult) => void;
}

/** Appends the records of one stream in groups. */
export class GroupAppender<T> {
  private _pending: PendingAppend<T>[] = [];
  private _flushing = false;
  private _lastAppendMs = -Infinity;

  /** @param _append writes a group to the log as one record */
  constructor(private readonly _append: (group: T[]) => Promise<AppendResult>) {}

  /** Queues a record for the next group; resolves with the result of that group's append. */
  append(record: T): Promise<AppendResult> {
    return new Promise((resolve) => {
      this._pending.push({ record, resolve });
      void this._flush();
    });
  }

  private async _flush(): Promise<void> {
    if (this._flushing) {
      return;
    }
    this._flushing = true;
    while (this._pending.length > 0) {
      await this._waitForInterval();
      const group = this._pending.splice(0, kMaxGroupSize);
      this._lastAppendMs = monotonicMs();
      const result = await this._append(group.map(({ record }) => record));
      for (const { resolve } of group) {
        resolve(result);
      }
    }
    this._flushing = false;
  }

  private async _waitForInterval(): Promise<void> {
    const waitMs = this._lastAppendMs + kMinIntervalMs - monotonicMs();
    if (waitMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, waitMs));
    }
  }
}
