/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Counts the offers sent by this daemon that have no result yet. */

/** Number of open offers by receiving daemon. */
export class OpenOffers {
  private readonly _counts = new Map<string, number>();

  /** Number of open offers at a daemon. */
  countFor(daemon: string): number {
    return this._counts.get(daemon) ?? 0;
  }

  /** Records that an offer was sent. */
  sent(daemon: string): void {
    this._counts.set(daemon, this.countFor(daemon) + 1);
  }

  /** Records that an offer has a result. */
  ended(daemon: string): void {
    const remaining = this.countFor(daemon) - 1;
    if (remaining > 0) {
      this._counts.set(daemon, remaining);
    } else {
      this._counts.delete(daemon);
    }
  }
}
