/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Finds out that another daemon knows other records, by one number a zone, and asks it for those zones. */

import { monotonicMs, type TargetDirectory } from '@gentiandrum/core';
import type { PeerLink } from '../../client/peerLink.js';
import type { Digests } from '../../client/peerMessages.js';

/** Shortest time between two requests, in milliseconds: records on their way make digests differ for a moment at every daemon. */
const kRequestIntervalMs = 2_000;

/** Keeps the records of one daemon like those of others. */
export class RecordSync {
  private _requestedAt = -Infinity;

  private _complete = false;

  constructor(private readonly _directory: TargetDirectory) {}

  /** Whether all hosts that were known to the log, or to another daemon, have been known here. */
  get complete(): boolean {
    return this._complete;
  }

  /** All that the log has was read. */
  markComplete(): void {
    this._complete = true;
  }

  /** Takes the digests of the daemon at the other end of a link. */
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
