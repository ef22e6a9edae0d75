/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Token bucket that limits retries to a share of the first attempts. */

const kMaxTokens = 10;

/** Limits the retries to one service at one daemon. */
export class RetryTokenBucket {
  private _tokens = kMaxTokens;

  /** @param _ratio returns the number of retries earned per first attempt */
  constructor(private readonly _ratio: () => number) {}

  /** Adds the tokens for a first attempt. */
  earn(): void {
    this._tokens = Math.min(kMaxTokens, this._tokens + this._ratio());
  }

  /** Takes a token for one retry; false when there is none. */
  spend(): boolean {
    if (this._tokens < 1) {
      return false;
    }
    this._tokens--;
    return true;
  }
}
