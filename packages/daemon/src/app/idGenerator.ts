/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Generates ids of requests and attempts. They contain the daemon's id and incarnation, so they are unique across daemons. */

/** Generates ids for one incarnation of a daemon. */
export class IdGenerator {
  private _sequence = 0;
  private readonly _prefix: string;

  constructor(daemon: string, incarnation: number) {
    this._prefix = `${daemon}~${incarnation.toString(36)}~`;
  }

  next(): string {
    this._sequence++;
    return this._prefix + this._sequence.toString(36);
  }
}
