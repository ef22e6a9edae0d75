/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Compares one digest per zone with other daemons, and requests the records of the zones that differ. */

import { monotonicMs, type TargetDirectory } from '@gentiandrum/core';
import type { PeerLink } from '../../client/peerLink.js';
import type { Digests } from '../../client/peerMessages.js';

/** Minimum time between two requests, in milliseconds; records in transit make digests differ for a moment. */
const kRequestIntervalMs = 2_000;

/** Reconciles the records of one daemon with those of its peers. */
export class RecordSync {
  private _requestedAt = -Infinity;

  private _complete = false;

  constructor(private readonly _directory: TargetDirectory) {}

  /** Whether this daemon has known, at least once, all hosts in the log or all hosts that another daemon knew. */
  get complete(): boolean {
    return this._complete;
  }

  /** Records that the log has been read in full. */
  markComplete(): void {
    this._complete = true;
  }

  /** Compares the digests of the daemon at the other end of a link with the local ones. */
  compare(digests: Digests, link: PeerLink): void {
    const now = monotonicMs();
    if (this._complete && now - this._requestedAt <= kRequestIntervalMs) {
      return;
    }
    const zones = this._differing(digests);
    if (zones.length === 0) {
      this._complete = true;
    } else if (now - this._requestedAt > kRequestIntervalMs) {
      this._requestedAt = now;
      link.send({ type: 'records_wanted', zones });
    }
  }

  private _differing(digests: Digests): string[] {
    const own = this._directory.digests;
    const zones = new Set([...Object.keys(digests), ...Object.keys(own)]);
    return [...zones].filter((zone) => (digests[zone] ?? 0) !== (own[zone] ?? 0));
  }
}
