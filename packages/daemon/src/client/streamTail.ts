/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Follows one stream of the log into something that folds it. */

import type { ReadResult } from '@gentiandrum/core';
import type { LogClient } from './logClient.js';

/** What folds a stream. */
export interface StreamFold {
  readonly next: number;
  apply(offset: number, value: unknown): unknown;
  /** Told when the log dropped records before they were read. */
  skipTo?(offset: number): void;
}

/** Reader of one stream. Reads one after the other, so that records are folded in order. */
export class StreamTail {
  private _reading: Promise<ReadResult> | undefined;

  constructor(
    private readonly _log: LogClient,
    private readonly _stream: string,
    private readonly _fold: StreamFold,
  ) {}

  /** Folds the stream up to `upTo`, or to its present end. */
  async readUpTo(upTo?: number): Promise<ReadResult> {
    if (upTo !== undefined && this._fold.next > upTo) {
      return { kind: 'read' };
    }
    const inProgress = this._reading;
    if (inProgress) {
      await inProgress;
      return this.readUpTo(upTo);
    }
    this._reading = this._readPages(upTo, 0);
    const result = await this._reading;
    this._reading = undefined;
    return result;
  }

  /** Waits up to `waitMs` for new records, and folds them. */
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
