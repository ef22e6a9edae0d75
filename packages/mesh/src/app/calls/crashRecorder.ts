/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Logs and counts the crashes of the target on this host. */

import { type Crash, fingerprintOf, hashText, type KnownTarget, wallMs } from '@gentiandrum/core';
import type { PeerCall } from '../../client/callCodec.js';
import type { EventLog } from '../eventLog.js';
import type { MeshMetrics } from '../meshMetrics.js';
import { identityOf } from './requestIdentity.js';

/** Maximum number of requests listed in the log line about a crash. */
const kMaxLoggedRequests = 60;

/** Crashes of the target on one host. */
export class CrashRecorder {
  /** Id of the latest crash that was counted; a crash may be reported more than once. */
  private _lastId: number | undefined;

  constructor(
    private readonly _metrics: Pick<MeshMetrics, 'targetCrashed'>,
    private readonly _events: EventLog,
  ) {}

  /** Records that the target crashed while these calls were in flight; returns the crash as daemons exchange it. */
  record({ address, instance, born }: Readonly<KnownTarget>, calls: readonly PeerCall[]): Crash {
    const crash = { id: hashText(`${address} ${instance} ${born}`), at: wallMs() };
    if (crash.id !== this._lastId) {
      this._lastId = crash.id;
      this._metrics.targetCrashed();
    }
    this._events.warn('target', 'The target crashed with requests in flight.', {
      instance,
      born,
      running: calls.length,
      requests: calls
        .slice(0, kMaxLoggedRequests)
        .map((call) => ({ req: call.requestId, route: call.route, kind: fingerprintOf(identityOf(call)) })),
    });
    return crash;
  }
}
