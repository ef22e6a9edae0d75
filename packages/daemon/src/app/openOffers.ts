/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Offers of this daemon at others that have no end yet, counted by daemon. */

/** Counts them. */
export class OpenOffers {
  private readonly _counts = new Map<string, number>();

  /** Open offers at a daemon. */
  countFor(daemon: string): number {
    return this._counts.get(daemon) ?? 0;
  }

  /** Notes that one was sent. */
  sent(daemon: string): void {
    this._counts.set(daemon, this.countFor(daemon) + 1);
  }

  /** Notes that one ended. */
  ended(daemon: string): void {
    const remaining = this.countFor(daemon) - 1;
    if (remaining > 0) {
      this._counts.set(daemon, remaining);
    } else {
      this._counts.delete(daemon);
    }
  }
}
