/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Ids of requests and attempts: unique without agreement, and telling which daemon gave them. */

/** Gives ids for one run of a daemon. */
export class IdGenerator {
  private _sequence = 0;
  private readonly _prefix: string;

  constructor(daemon: string, incarnation: number) {
    this._prefix = `${daemon}~${incarnation.toString(36)}~`;
  }

  /** A new id. */
  next(): string {
    this._sequence++;
    return this._prefix + this._sequence.toString(36);
  }
}
