/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Reads one stream of the log and applies its records to a fold. */

import type { ReadResult } from '@gentiandrum/core';
import type { LogClient } from './logClient.js';

/** State that is built from the records of a stream. */
export interface StreamFold {
  /** Offset of the first record that is not applied yet. */
  readonly next: number;
  apply(offset: number, value: unknown): unknown;
  /** Called when the log removed records before they were read; `offset` is the oldest record that is left. */
  skipTo?(offset: number): void;
}

/** Reader of one stream. Calls of `readUpTo` are serialized so that records are applied in order. */
export class StreamTail {
  private _reading: Promise<ReadResult> | undefined;

  constructor(
    private readonly _log: LogClient,
    private readonly _stream: string,
    private readonly _fold: StreamFold,
  ) {}

  /** Applies the records up to offset `upTo`, or up to the current end of the stream. */
  async readUpTo(upTo?: number): Promise<ReadResult> {
    if (upTo !== undefined && this._fold.next > upTo) {
      return { kind: 'read' };
    }
    const inProgress = this._reading;
    if (inProgress) {
      await inProgress;
      return this.readUpTo(upTo);
    }
    this._reading = this._readPages(upTo, 0).finally(() => {
      this._reading = undefined;
    });
    return this._reading;
  }

  /** Waits up to `waitMs` for new records and applies them. */
  async follow(waitMs: number): Promise<ReadResult> {
    return this._readPages(undefined, waitMs);
  }

  private async _readPages(upTo: number | undefined, waitMs: number): Promise<ReadResult> {
    for (;;) {
      const from = this._fold.next;
      const page = await this._log.read(this._stream, from, waitMs);
      if (!page) {
        return { kind: 'unavailable' };
      }
      if (page.oldest > from) {
        this._fold.skipTo?.(page.oldest);
      }
      for (const { offset, value } of page.records) {
        this._fold.apply(offset, value);
      }
      const done = page.records.length === 0 || waitMs > 0 || (upTo !== undefined && this._fold.next > upTo);
      if (done) {
        return upTo === undefined || this._fold.next > upTo ? { kind: 'read' } : { kind: 'unavailable' };
      }
    }
  }
}
