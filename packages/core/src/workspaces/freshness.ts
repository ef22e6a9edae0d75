/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Tracks until when a daemon may assume that no newer configuration has revoked a key. Only times of the local monotonic clock are
 * compared: a proof from another daemon counts from the time of the request for it, so a delay in transit makes it older, never newer.
 */

import type { RevocationSettings } from '@gentiandrum/protocol';

/** Share of the revocation time for which a proof is trusted. The rest is a margin for clocks that run at different rates. */
const kTrustedShare = 0.9;
/** Ages at which a proof is renewed, as shares of the trusted time: from readers of the local zone, and from daemons of any zone. */
const kRenewShare = 0.15;
const kAnyoneShare = 0.4;
/** Minimum interval between two requests for a proof, in milliseconds: normally, and while there is no trusted proof. */
const kRequestIntervalMs = 500;
const kStaleRequestIntervalMs = 200;

/** Proof that `version` was the newest one in the platform's log at time `at`, in milliseconds of the local monotonic clock. */
export interface VersionProof {
  at: number;
  version: number;
}

/** A proof sent by another daemon: the id of the request that it answers, and the age of the proof when it was sent. */
export interface ProofReply {
  id: number;
  ageMs: number;
  version: number;
}

/** Where to request a newer proof: nowhere now, from readers of the local zone, or from daemons of any zone. */
export type ProofScope = 'none' | 'readers' | 'anyone';

/** The proof of freshness of one daemon. */
export class Freshness {
  private _proof: VersionProof | undefined;
  /** A proof of a version that is not applied on this daemon yet. */
  private _pendingProof: VersionProof | undefined;
  private _requestedAt = -Infinity;
  /** Proofs up to this time are invalid. */
  private _notBefore = -Infinity;
  /** Time of each request by its id, oldest first. Ids start at a random number, so that replies to an earlier process do not match. */
  private readonly _requests = new Map<number, number>();
  private _nextId: number;

  /** @param firstId a random number, different for each start of the process */
  constructor(
    private readonly _settings: RevocationSettings,
    firstId: number,
  ) {
    this._nextId = firstId;
  }

  /** Whether requests with API keys require a proof. */
  get strict(): boolean {
    return this._settings.strict;
  }

  /** Longest time for which a proof is trusted, in milliseconds. */
  get trustedMs(): number {
    return this._settings.withinMs * kTrustedShare;
  }

  /** Adds a proof; `appliedVersion` is the version applied on this daemon. */
  addProof(proof: VersionProof, appliedVersion: number): void {
    if (proof.at <= this._notBefore) {
      return;
    }
    if (proof.version <= appliedVersion) {
      this._proof = laterProof(this._proof, proof);
    } else {
      this._pendingProof = laterProof(this._pendingProof, proof);
    }
  }

  /** Discards all proofs and requests after a suspension of the host, as they are older than the monotonic clock shows. */
  suspended(now: number): void {
    this._proof = undefined;
    this._pendingProof = undefined;
    this._requests.clear();
    this._notBefore = now;
  }

  /** Records a new request for a proof; returns its id. */
  startRequest(now: number): number {
    const id = this._nextId++;
    this._requests.set(id, now);
    for (const [oldId, at] of this._requests) {
      if (now - at > this.trustedMs) {
        this._requests.delete(oldId);
      }
    }
    return id;
  }

  /** Adds the reply of another daemon. Replies to unknown or expired requests are ignored. */
  addReply({ id, ageMs, version }: ProofReply, appliedVersion: number): void {
    const requestedAt = this._requests.get(id);
    if (requestedAt !== undefined && ageMs >= 0) {
      this.addProof({ at: requestedAt - ageMs, version }, appliedVersion);
    }
  }

  /** Activates the pending proof once its version is applied. */
  versionApplied(version: number): void {
    if (this._pendingProof && this._pendingProof.version <= version) {
      this._proof = laterProof(this._proof, this._pendingProof);
      this._pendingProof = undefined;
    }
  }

  /** Whether there is no proof yet since a suspension. */
  get awaitingProof(): boolean {
    return this.strict && this._notBefore > -Infinity && this._proof === undefined;
  }

  /** Age of the proof, in milliseconds; infinite without one. */
  ageMs(now: number): number {
    return this._proof === undefined ? Infinity : now - this._proof.at;
  }

  /** Time until which requests with API keys may be admitted: `-Infinity` without a proof, `Infinity` when revocation is not strict. */
  get validUntil(): number {
    if (!this.strict) {
      return Infinity;
    }
    return this._proof === undefined ? -Infinity : this._proof.at + this.trustedMs;
  }

  /** The reply to a request of another daemon; undefined when this daemon has no trusted proof. */
  createReply(id: number, now: number): ProofReply | undefined {
    const proof = this._proof;
    if (!proof || now - proof.at >= this.trustedMs) {
      return undefined;
    }
    return { id, ageMs: now - proof.at, version: proof.version };
  }

  /** Where to request a proof now; unless `none`, it counts as requested. Readers wait longer, as their reads renew the proof. */
  nextRequestScope(now: number, isReader: boolean): ProofScope {
    const age = this.ageMs(now);
    const renewAge = this.trustedMs * (isReader ? kAnyoneShare : kRenewShare);
    const intervalMs = age > this.trustedMs ? kStaleRequestIntervalMs : kRequestIntervalMs;
    if (!this.strict || age < renewAge || now - this._requestedAt < intervalMs) {
      return 'none';
    }
    this._requestedAt = now;
    return age < this.trustedMs * kAnyoneShare ? 'readers' : 'anyone';
  }
}

function laterProof(a: VersionProof | undefined, b: VersionProof): VersionProof {
  return a === undefined || b.at > a.at ? b : a;
}
