/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Creates the table of suspected request fingerprints of a daemon, which exchanges them with other daemons. */

import { Suspects } from '@gentiandrum/core';
import type { PeerNetwork } from '../../client/peerNetwork.js';
import type { EventLog } from '../eventLog.js';
import { logSuspectEvent } from './logSuspectEvent.js';

/** Daemon services that the table depends on. */
export interface SuspectsDeps {
  /** Returns the network; it is created after the table. */
  network: () => PeerNetwork;
  /** Called after each change of the table. */
  onChange: () => void;
  events: EventLog;
}

export function createSuspects({ network, onChange, events }: SuspectsDeps): Suspects {
  return new Suspects({
    broadcast: (suspects) => {
      network().broadcast({ type: 'suspects', suspects });
    },
    sendSome: (count, suspects) => {
      network().sendSome(count, { type: 'suspects', suspects });
    },
    onEvent: (event) => {
      logSuspectEvent(events, event);
      // Deferred until the current update of the suspects is complete.
      setImmediate(onChange);
    },
  });
}
