/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** What the bench compares: ways to take a call from a host to a target of the next service. */

import type { Cancel } from './fakeTarget.js';
import type { ChainCall, Host } from './world.js';

/** How a call ended. */
export interface CallResult {
  ok: boolean;
  /** Whether the layer says when to come back. */
  retryAfter: boolean;
}

/** One way. */
export interface Policy {
  readonly name: string;
  /** Makes a call from a host; calls back once, unless it is cancelled. */
  call(from: Host, call: ChainCall, parent: string | undefined, done: (result: CallResult) => void): Cancel;
  /** Told that a host died or came back; what the policy knows of it beforehand is its own matter. */
  onHostChanged?(host: Host): void;
  /** Told that zones were cut off or healed. */
  onZonesChanged?(): void;
}
