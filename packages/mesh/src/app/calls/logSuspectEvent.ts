/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Logs quarantine events: request fingerprints that are quarantined, cleared or released, and the runs of suspects. */

import { crashesOf, type SuspectEvent, type SuspectRunEvent } from '@gentiandrum/core';
import type { EventLog } from '../eventLog.js';

/** Logs one event. */
export function logSuspectEvent(events: EventLog, event: SuspectEvent): void {
  switch (event.kind) {
    case 'quarantined': {
      const { fingerprint, route, marks } = event.suspicion;
      events.warn('quarantine', 'Request fingerprint quarantined: targets crashed while such requests were in flight.', {
        kind: fingerprint,
        route,
        ends: crashesOf(event.suspicion),
        crashes: marks.map(({ crash, at, tested }) => ({ crash, at: new Date(at).toISOString(), tested })),
      });
      return;
    }
    case 'cleared': {
      const { fingerprint, before } = event;
      events.info('quarantine', 'Request fingerprint cleared: a suspected request completed.', { kind: fingerprint, before });
      return;
    }
    case 'released':
      events.warn('quarantine', 'Request fingerprint released.', { kind: event.fingerprint });
      return;
  }
}

/** Logs that a suspect started to run on the local target, or no longer runs. */
export function logSuspectRun(events: EventLog, requestId: string, { kind, fingerprint, probe }: SuspectRunEvent): void {
  events.info('quarantine', kind === 'started' ? 'Run of a suspect started.' : 'Run of a suspect ended.', {
    kind: fingerprint,
    req: requestId,
    probe,
  });
}
