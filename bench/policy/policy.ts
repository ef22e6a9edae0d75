/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Interface of the compared policies, which send a call from a host to a target of the next service. */

import type { Cancel } from './fakeTarget.js';
import type { ChainCall, Host } from './world.js';

/** Result of a call. */
export interface CallResult {
  ok: boolean;
  /** Whether the error says when to retry. */
  retryAfter: boolean;
}

/** An overload policy. */
export interface Policy {
  readonly name: string;
  /** Makes a call from a host; calls `done` once, unless the call is cancelled. */
  call(from: Host, call: ChainCall, parent: string | undefined, done: (result: CallResult) => void): Cancel;
  /** Called when a host crashes or restarts. */
  onHostChanged?(host: Host): void;
  /** Called when a zone is isolated or reconnected. */
  onZonesChanged?(): void;
}
