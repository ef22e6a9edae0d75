/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Exchanges suspicions with other daemons and logs their changes. */

import { crashesOf, type MemberView, type SuspectEvent, Suspects, type Suspicion } from '@gentiandrum/core';
import type { PeerClient } from '../client/peerClient.js';
import type { Logger } from './logger.js';

/**
 * Number of random daemons that a local change is sent to; these forward it, so that it reaches a fleet of hundreds within three rounds.
 */
const kBroadcastFanout = 32;
/** Number of daemons that a starting daemon queries. */
const kInitialPeers = 3;

/** Connects the suspicions of this daemon to those of its peers. */
export class SuspectService {
  readonly suspects: Suspects;

  constructor(
    private readonly _view: MemberView,
    private readonly _peers: PeerClient,
    private readonly _logger: Logger,
  ) {
    this.suspects = new Suspects({
      broadcast: (suspects) => {
        void this._exchange(kBroadcastFanout, suspects);
      },
      sendSome: (count, suspects) => {
        void this._exchange(count, suspects);
      },
      onEvent: (event) => {
        this._logEvent(event);
      },
    });
  }

  /** Merges suspicions that another daemon sent; returns the locally known ones. */
  mergeFromPeer(suspects: readonly Suspicion[]): Suspicion[] {
    this.suspects.mergeFromPeer(suspects);
    return this.suspects.snapshot;
  }

  /** Fetches the suspicions that some other daemons know. */
  async fetchFromPeers(): Promise<void> {
    await this._exchange(kInitialPeers, []);
  }

  private async _exchange(count: number, suspects: readonly Suspicion[]): Promise<void> {
    const members = this._view.sampleAlive(count);
    const responses = await Promise.all(members.map(({ address }) => this._peers.tellSuspects(address, suspects)));
    for (const known of responses) {
      this.suspects.mergeFromPeer(known ?? []);
    }
  }

  private _logEvent(event: SuspectEvent): void {
    switch (event.kind) {
      case 'quarantined': {
        const { fingerprint, route } = event.suspicion;
        const crashCount = crashesOf(event.suspicion);
        this._logger.warn(
          'quarantine',
          `Request fingerprint quarantined: ${crashCount} targets crashed while such requests were in flight.`,
          {
            kind: fingerprint,
            cls: route,
            ends: crashCount,
          },
        );
        return;
      }
      case 'cleared':
        this._logger.info('quarantine', 'Request fingerprint cleared: a suspected request completed.', {
          kind: event.fingerprint,
          before: event.before,
        });
        return;
      case 'released':
        this._logger.warn('quarantine', 'Request fingerprint released.', { kind: event.fingerprint });
        return;
    }
  }
}
