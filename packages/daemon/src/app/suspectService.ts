/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Kinds of calls that targets may have ended by: how this daemon tells others, asks them, and logs what becomes of them. */

import { crashesOf, type MemberView, type SuspectEvent, Suspects, type Suspicion } from '@gentiandrum/core';
import type { PeerClient } from '../client/peerClient.js';
import type { Logger } from './logger.js';

/** Daemons that are told at once, drawn anew each time; they pass it on, so a fleet of hundreds has heard within three rounds. */
const kBroadcastFanout = 32;
/** Daemons that one which starts asks. */
const kInitialPeers = 3;

/** Suspects of one daemon, and the others. */
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

  /** Takes what another daemon tells; returns what is known here. */
  mergeFromPeer(suspects: readonly Suspicion[]): Suspicion[] {
    this.suspects.mergeFromPeer(suspects);
    return this.suspects.snapshot;
  }

  /** Asks some daemons for what they know. */
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
        const ends = crashesOf(event.suspicion);
        this._logger.warn('quarantine', `A kind of call is held back: ${ends} targets ended by it.`, {
          kind: fingerprint,
          cls: route,
          ends,
        });
        return;
      }
      case 'cleared':
        this._logger.info('quarantine', 'A call of a suspected kind ran to its end.', { kind: event.fingerprint, before: event.before });
        return;
      case 'released':
        this._logger.warn('quarantine', 'A kind of call was released.', { kind: event.fingerprint });
        return;
    }
  }
}
