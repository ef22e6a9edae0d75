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
export interface Due {
  /** On the monotonic clock. */
  readonly deadline: number;
  /** Called once, when the deadline has passed. */
  expire(): void;
}

/** The deadlines of one daemon. */
export class Deadlines {
  private readonly _due = new Set<Due>();

  /** Expires `due` at the first look after its deadline, unless it is deleted before. */
  add(due: Due): void {
    this._due.add(due);
  }

  delete(due: Due): void {
    this._due.delete(due);
  }

  /** Expires what is due; called a few times a second. */
  check(): void {
    const now = monotonicMs();
    for (const due of this._due) {
      if (due.deadline <= now) {
        this._due.delete(due);
        due.expire();
      }
    }
  }
}
