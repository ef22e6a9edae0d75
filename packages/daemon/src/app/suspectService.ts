/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Exchanges suspicions with other daemons and logs their changes. */

import { crashesOf, hashText, type MemberView, monotonicMs, type SuspectEvent, Suspects, type Suspicion } from '@gentiandrum/core';
import type { PeerClient } from '../client/peerClient.js';
import type { Logger } from './logger.js';

/**
 * Number of random daemons that a local change is sent to; these forward it, so that it reaches a fleet of hundreds within three rounds.
 */
const kBroadcastFanout = 32;
/** Number of daemons that a starting daemon queries. */
const kInitialPeers = 3;
/**
 * Minimum time between exchanges of all suspicions, in milliseconds. A snapshot holds up to 100 of some 200 B; two daemons that know more may
 * differ for good.
 */
const kExchangePeriodMs = 3_000;

/** Connects the suspicions of this daemon to those of its peers. */
export class SuspectService {
  readonly suspects: Suspects;
  private _exchangedAt = -Infinity;

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

  /** Digest of the known suspicions, equal at daemons that know the same; 0 when there are none. */
  get digest(): number {
    return this.suspects.snapshot.reduce((digest, suspicion) => (digest ^ digestOf(suspicion)) >>> 0, 0);
  }

  /** Exchanges all known suspicions with one daemon, unless there was such an exchange a short time ago. */
  async exchangeWith(address: string): Promise<void> {
    const now = monotonicMs();
    if (now - this._exchangedAt >= kExchangePeriodMs) {
      this._exchangedAt = now;
      await this._exchangeWithAll([address], this.suspects.snapshot);
    }
  }

  private async _exchange(count: number, suspects: readonly Suspicion[]): Promise<void> {
    const addresses = this._view.sampleAlive(count).map(({ address }) => address);
    await this._exchangeWithAll(addresses, suspects);
  }

  private async _exchangeWithAll(addresses: readonly string[], suspects: readonly Suspicion[]): Promise<void> {
    const responses = await Promise.all(addresses.map((address) => this._peers.tellSuspects(address, suspects)));
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

/** Digest of one suspicion. Excludes its runs, which expire at each daemon by itself. */
function digestOf({ fingerprint, marks }: Suspicion): number {
  const states = marks.map(({ crash, tested, cleared, released }) => `${crash} ${tested} ${cleared} ${released}`);
  return hashText([fingerprint, ...states.sort()].join('\n'));
}
