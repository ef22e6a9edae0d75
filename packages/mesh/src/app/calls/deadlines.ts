/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Checks the deadlines of all requests in flight periodically, which is cheaper than one timer per request. */

import { monotonicMs } from '@gentiandrum/core';

/** An operation with a deadline. */
export interface Expirable {
  /** On the monotonic clock. */
  readonly deadline: number;
  /** Called once, after the deadline has passed. */
  expire(): void;
}

/** Deadlines of the operations in flight at one daemon. */
export class Deadlines {
  private readonly _pending = new Set<Expirable>();

  /** Expires `item` at the first check after its deadline, unless it is deleted before. */
  add(item: Expirable): void {
    this._pending.add(item);
  }

  delete(item: Expirable): void {
    this._pending.delete(item);
  }

  /** Expires overdue items; called several times per second. */
  check(): void {
    const now = monotonicMs();
    for (const item of this._pending) {
      if (item.deadline <= now) {
        this._pending.delete(item);
        item.expire();
      }
    }
  }
}
