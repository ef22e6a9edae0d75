/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Maintains the proof that this daemon's configuration is fresh, from its own reads of the log and from other daemons. */

import { Freshness, monotonicMs, type ProofReply, type SuspensionDetector, type VersionProof } from '@gentiandrum/core';
import type { RevocationSettings } from '@gentiandrum/protocol';
import type { PeerMessage } from '../../client/peerMessages.js';
import type { EventLog } from '../eventLog.js';

/** Number of daemons of any zone that receive a request at the same time while the proof is old. */
const kParallelRequests = 3;
/** Upper bound of the random first request id. */
const kMaxFirstId = 2 ** 31;

/** Daemon services that the proof tracker depends on. */
export interface ProofTrackerDeps {
  settings: RevocationSettings;
  /** Proof from this daemon's own reads of the log. */
  ownProof(): VersionProof | undefined;
  /** Version of the configuration in force. */
  version(): number;
  /** Whether the configuration in force requires keys. */
  keysRequired(): boolean;
  /** Whether this daemon follows the log. */
  readsLog(): boolean;
  /** Daemons that follow the log for this zone. */
  readers(): readonly string[];
  sendTo(host: string, message: PeerMessage): void;
  /** Sends to `count` linked daemons, chosen at random for each message. */
  sendSome(count: number, message: PeerMessage): void;
  suspensions: SuspensionDetector;
  events: EventLog;
}

/** Freshness proof of one daemon. */
export class ProofTracker {
  private readonly _freshness: Freshness;
  private _nextReader = 0;
  private _stale = false;
  private _suspensions: number;

  constructor(private readonly _deps: ProofTrackerDeps) {
    this._freshness = new Freshness(_deps.settings, Math.floor(Math.random() * kMaxFirstId));
    this._suspensions = _deps.suspensions.count;
  }

  /** Age of the proof, in seconds; -1 without one. */
  get ageSeconds(): number {
    const ageMs = this._freshness.ageMs(monotonicMs());
    return ageMs === Infinity ? -1 : ageMs / 1_000;
  }

  /** Time until which requests with keys may be admitted, on the monotonic clock. */
  validUntil(): number {
    this._applyOwnProof();
    return this._freshness.validUntil;
  }

  /** Whether the host was suspended and no proof has arrived since. */
  get awaitsProof(): boolean {
    this._applyOwnProof();
    return this._freshness.awaitingProof;
  }

  /** Records that a version came into force. */
  configApplied(version: number): void {
    this._freshness.versionApplied(version);
  }

  /** Requests a newer proof when needed; called several times per second. */
  check(): void {
    const deps = this._deps;
    if (!deps.keysRequired()) {
      return;
    }
    this._applyOwnProof();
    const now = monotonicMs();
    this._logStaleness(now);
    const known = deps.readers();
    const recipients = this._freshness.nextRequestScope(now, deps.readsLog());
    if (recipients === 'none') {
      return;
    }
    const message = { type: 'proof_wanted', id: this._freshness.startRequest(now) } as const;
    const reader = known[this._nextReader++ % Math.max(1, known.length)];
    if (recipients === 'readers' && reader !== undefined) {
      deps.sendTo(reader, message);
    } else {
      deps.sendSome(kParallelRequests, message);
    }
  }

  /** Response to the request of another daemon; undefined when there is no proof. */
  replyTo(id: number): PeerMessage | undefined {
    this._applyOwnProof();
    const reply = this._freshness.createReply(id, monotonicMs());
    return reply && { type: 'proof', ...reply };
  }

  /** Applies the response of another daemon. */
  receive(reply: ProofReply): void {
    this._checkSuspension();
    this._freshness.addReply(reply, this._deps.version());
  }

  /** Invalidates the proof after a suspension. Runs before each use, because a request may be the first event after a resume. */
  private _checkSuspension(): void {
    const { suspensions, events } = this._deps;
    const { count } = suspensions;
    if (count !== this._suspensions) {
      this._suspensions = count;
      this._freshness.suspended(monotonicMs());
      events.info('workspaces', 'The host was suspended: requests with keys need a new freshness proof.', {
        ms: Math.round(suspensions.lastDurationMs),
      });
    }
  }

  private _applyOwnProof(): void {
    this._checkSuspension();
    const proof = this._deps.ownProof();
    if (proof) {
      this._freshness.addProof(proof, this._deps.version());
    }
  }

  private _logStaleness(now: number): void {
    const stale = this._freshness.validUntil <= now;
    if (stale !== this._stale) {
      this._stale = stale;
      const ageMs = Math.round(this._freshness.ageMs(now));
      const text = stale ? 'The configuration may be outdated: refusing requests with keys.' : 'The configuration is proven fresh.';
      this._deps.events.info('workspaces', text, { ageMs, version: this._deps.version() });
    }
  }
}
