/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Log lines of what becomes of suspected kinds of requests. */

import { crashesOf, type SuspectEvent } from '@gentiandrum/core';
import type { EventLog } from '../eventLog.js';

/** Writes the line of an event. */
export function logSuspectEvent(events: EventLog, event: SuspectEvent): void {
  switch (event.kind) {
    case 'quarantined': {
      const { fingerprint, route, marks } = event.suspicion;
      events.warn('quarantine', 'A kind of request is held back: targets ended by it.', {
        kind: fingerprint,
        route,
        ends: crashesOf(event.suspicion),
        crashes: marks.map(({ crash, at, tested }) => ({ crash, at: new Date(at).toISOString(), tested })),
      });
      return;
    }
    case 'cleared': {
      const { fingerprint, before } = event;
      events.notable('quarantine', 'A request of a suspected kind ran to its end.', { kind: fingerprint, before });
      return;
    }
    case 'released':
      events.warn('quarantine', 'A kind of request was released.', { kind: event.fingerprint });
      return;
  }
}
