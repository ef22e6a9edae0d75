/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Rate at which one daemon admits the requests of a route: an exponentially decaying count. Times are in milliseconds. */

/** Half-life of an admitted request in the rate, in milliseconds; the same as in the mix of priorities. */
const kHalfLifeMs = 3_000;
const kMsPerSecond = 1_000;

export class AdmittedRate {
  private _count = 0;
  private _decayedAt = 0;

  record(now: number): void {
    this._decay(now);
    this._count++;
  }

  /** Requests per second; undefined where less than one recent request is counted. */
  perSecond(now: number): number | undefined {
    this._decay(now);
    return this._count < 1 ? undefined : (this._count * Math.LN2 * kMsPerSecond) / kHalfLifeMs;
  }

  private _decay(now: number): void {
    this._count *= 0.5 ** (Math.max(0, now - this._decayedAt) / kHalfLifeMs);
    this._decayedAt = now;
  }
}
