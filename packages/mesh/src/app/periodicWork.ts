/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Work of several components that is done periodically, so that an error in one does not keep the others from theirs. */

import type { EventLog } from './eventLog.js';

/** Component with periodic work; `elapsedMs` is the time since the last run, in milliseconds. */
export interface PeriodicPart {
  check(elapsedMs: number): void;
}

export class PeriodicWork {
  constructor(
    private readonly _parts: Record<string, PeriodicPart>,
    private readonly _events: Pick<EventLog, 'warn'>,
  ) {}

  /** Runs all parts; errors are logged. */
  run(elapsedMs: number): void {
    for (const [name, part] of Object.entries(this._parts)) {
      try {
        part.check(elapsedMs);
      } catch (err) {
        this._events.warn('start', 'Periodic work failed.', { part: name, err: err instanceof Error ? err.stack : String(err) });
      }
    }
  }
}
