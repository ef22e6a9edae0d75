/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Until when a daemon may trust that no newer configuration has taken a key away. Only moments of the own monotonic clock are compared:
 * a proof of another daemon counts from the moment at which it was asked for, so one that was held up on its way is old by itself.
 */

import type { RevocationSettings } from '@gentiandrum/protocol';

/** Part of the time for a revocation for which a proof is trusted; the rest is for clocks that run at different rates. */
const kTrustedShare = 0.9;
/** Age from which on a proof is renewed, as shares of that time: from a reader of the own zone, and from anybody. */
const kRenewShare = 0.15;
const kAnyoneShare = 0.4;
/** Pause between two requests for a proof, in milliseconds, and while there is none. */
const kRequestIntervalMs = 500;
const kStaleRequestIntervalMs = 200;

/** That the platform's log had this version as its newest at a moment of the own monotonic clock, in milliseconds. */
export interface VersionProof {
  at: number;
  version: number;
}

/** A proof as another daemon sends it: the number of the request that it answers, and how old the proof was when it was sent. */
export interface ProofReply {
  id: number;
  ageMs: number;
  version: number;
}

/** Whom to ask for a newer proof: nobody now, the readers of the own zone, or daemons of any zone. */
export type ProofScope = 'none' | 'readers' | 'anyone';

/** The proof of one daemon. */
export class Freshness {
  private _proof: VersionProof | undefined;
  /** A later one, of a version that is not in force here yet. */
  private _pendingProof: VersionProof | undefined;
  private _requestedAt = -Infinity;
  /** Nothing from up to then proves anything any more. */
  private _notBefore = -Infinity;
  /** When each request was made, by its number, the oldest first; numbers begin at random, so that none is another life's. */
  private readonly _requests = new Map<number, number>();
  private _nextId: number;

  /** @param firstId a random number */
  constructor(
    private readonly _settings: RevocationSettings,
    firstId: number,
  ) {
    this._nextId = firstId;
  }

  /** Whether requests with keys need a proof. */
  get strict(): boolean {
    return this._settings.strict;
  }

  /** Longest time for which a proof is trusted, in milliseconds. */
  get trustedMs(): number {
    return this._settings.withinMs * kTrustedShare;
  }

  /** Takes a proof; `inForce` is the version in force here. */
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

  /** The host was suspended: all that was proved, or asked for, is older than the steady clock says. */
  suspended(now: number): void {
    this._proof = undefined;
    this._pendingProof = undefined;
    this._requests.clear();
    this._notBefore = now;
  }

  /** The number of a new request. */
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

  /** Takes the answer of another daemon; one to a request that this daemon did not make, or made too long ago, proves nothing. */
  addReply({ id, ageMs, version }: ProofReply, appliedVersion: number): void {
    const requestedAt = this._requests.get(id);
    if (requestedAt !== undefined && ageMs >= 0) {
      this.addProof({ at: requestedAt - ageMs, version }, appliedVersion);
    }
  }

  /** A version came into force: what proves it counts from now on. */
  versionApplied(version: number): void {
    if (this._pendingProof && this._pendingProof.version <= version) {
      this._proof = laterProof(this._proof, this._pendingProof);
      this._pendingProof = undefined;
    }
  }

  /** Whether nothing has been proved since a suspension. */
  get awaitingProof(): boolean {
    return this.strict && this._notBefore > -Infinity && this._proof === undefined;
  }

  /** Age of the proof, in milliseconds; infinite without one. */
  ageMs(now: number): number {
    return this._proof === undefined ? Infinity : now - this._proof.at;
  }

  /** Until when requests with keys may be let in: without a proof never, always where revocation is not strict. */
  get validUntil(): number {
    if (!this.strict) {
      return Infinity;
    }
    return this._proof === undefined ? -Infinity : this._proof.at + this.trustedMs;
  }

  /** The answer to a request; undefined when this daemon has no proof of use. */
  createReply(id: number, now: number): ProofReply | undefined {
    const proof = this._proof;
    if (!proof || now - proof.at >= this.trustedMs) {
      return undefined;
    }
    return { id, ageMs: now - proof.at, version: proof.version };
  }

  /** Whom to ask now; counts as done. A daemon that reads the log by itself asks only when that does not do. */
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
