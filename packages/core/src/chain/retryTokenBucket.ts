/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Token bucket that keeps retries a small share of a service's first attempts. */

const kMaxTokens = 10;

/** Retry ratio of one service at one daemon. */
export class RetryTokenBucket {
  private _tokens = kMaxTokens;

  /** @param _ratio retries earned per first attempt */
  constructor(private readonly _ratio: () => number) {}

  /** Notes a first attempt. */
  earn(): void {
    this._tokens = Math.min(kMaxTokens, this._tokens + this._ratio());
  }

  /** Takes the right to one retry; false when retries already are too large a share. */
  spend(): boolean {
    if (this._tokens < 1) {
      return false;
    }
    this._tokens--;
    return true;
  }
}
