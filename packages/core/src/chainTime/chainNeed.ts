/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** What the chain above a call still needs after the call has ended. */
export interface ChainNeed {
  /** Time that the runs above need after the response to the call, in milliseconds. */
  afterMs: number;
  /** Expected number of gates that the chain passes after the call. */
  gatesAfter: number;
}

/** Need of a request without a chain above it. */
export const kNoChainNeed: ChainNeed = { afterMs: 0, gatesAfter: 0 };
