/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Deadlines of everything under way, looked at together: a timer of the runtime for each request costs more than the look, as
 * nearly all requests end before it.
 */

import { monotonicMs } from '@gentiandrum/core';

/** Something that ends at a time. */
export interface Expirable {
  /** On the monotonic clock. */
  readonly deadline: number;
  /** Called once, when the deadline has passed. */
  expire(): void;
}

/** The deadlines of one daemon. */
export class Deadlines {
  private readonly _pending = new Set<Expirable>();

  /** Expires `due` at the first look after its deadline, unless it is deleted before. */
  add(item: Expirable): void {
    this._pending.add(item);
  }

  delete(item: Expirable): void {
    this._pending.delete(item);
  }

  /** Expires what is due; called a few times a second. */
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
