/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Table of the suspicions that one daemon knows. All requests in flight when a target crashes become suspects, as at most one of them
 * caused the crash; a fingerprint is cleared when a request with it completes on any host.
 */

import { monotonicMs } from '../util/clock.js';
import { fingerprintOf, type RequestIdentity, screenOf } from './requestFingerprint.js';
import { type CrashMark, crashesOf, isConfirmed, kMaxCrashes, mergeMarks, type Suspicion, type Verdict, verdictOf } from './suspicion.js';

/** Maximum number of fingerprints in the table. */
const kMaxFingerprints = 1_000;
/** Time after the last change at which a fingerprint that is not quarantined expires, in milliseconds. */
const kExpiryMs = 60 * 60_000;
/** Time until a quarantined fingerprint is probed again, in milliseconds; doubles with each crash above kMaxCrashes. */
const kFirstQuarantineMs = 60 * 60_000;
/**
 * Time until a quarantined fingerprint without a crash during a probe is probed, in milliseconds. It is short, as a common request can be
 * in flight on several targets that crash together for another reason.
 */
const kUnconfirmedQuarantineMs = 30_000;
/** Number of crashes above kMaxCrashes at which probing stops; from then on only an operator can release the fingerprint. */
const kMaxProbeFailures = 3;

/** A crash of one incarnation of a target. */
export interface Crash {
  /** Identifies the incarnation; the same in every report of its crash. */
  id: number;
  /** Time of the crash in milliseconds of the wall clock. */
  at: number;
}

/** A request that was in flight when its target crashed. */
export interface InFlightRequest {
  identity: RequestIdentity;
  route: string;
  /** Whether it was the probe running on that target. */
  tested: boolean;
}

interface Entry {
  suspicion: Suspicion;
  /** Time of the last change in this table, in milliseconds of the monotonic clock. */
  changedAt: number;
}

/** The suspicions known to one daemon, by fingerprint. */
export class SuspectTable {
  private readonly _entries = new Map<string, Entry>();
  /** Number of entries per screen. Fingerprints that differ only in the content of the body share a screen. */
  private readonly _countByScreen = new Map<number, number>();

  /** Number of known fingerprints, including cleared ones. */
  get size(): number {
    return this._entries.size;
  }

  /** The suspicion against a request; undefined when there is none. Computes no hash while the table is empty. */
  find(identity: RequestIdentity): Suspicion | undefined {
    if (this._entries.size === 0 || !this._countByScreen.has(screenOf(identity))) {
      return undefined;
    }
    return this._entries.get(fingerprintOf(identity))?.suspicion;
  }

  /** The suspicion against a fingerprint; undefined when it is unknown. */
  get(fingerprint: string): Suspicion | undefined {
    return this._entries.get(fingerprint)?.suspicion;
  }

  /** The current verdict on a fingerprint: a quarantine that has expired becomes a probe. */
  verdict(fingerprint: string): Verdict {
    const entry = this._entries.get(fingerprint);
    if (!entry) {
      return 'clear';
    }
    const verdict = verdictOf(entry.suspicion);
    return verdict === 'quarantined' && this._quarantineExpired(entry) ? 'trial' : verdict;
  }

  /** Time since the suspicion last changed, in milliseconds; infinite for an unknown fingerprint. */
  msSinceUpdate(fingerprint: string): number {
    return monotonicMs() - (this._entries.get(fingerprint)?.changedAt ?? -Infinity);
  }

  /** All suspicions with crashes that count, most crashes first. */
  list(): Suspicion[] {
    return [...this._entries.values()]
      .map(({ suspicion }) => suspicion)
      .filter((suspicion) => crashesOf(suspicion) > 0)
      .sort((a, b) => crashesOf(b) - crashesOf(a));
  }

  /** Records a crash; returns the changed suspicions. */
  crashed(crash: Crash, inFlight: readonly InFlightRequest[]): Suspicion[] {
    return this.merge(inFlight.map((request) => suspicionFrom(crash, request)));
  }

  /** Clears a fingerprint after a request with it completed, and releases it when quarantined; returns the changed suspicions. */
  completed(fingerprint: string): Suspicion[] {
    const wasQuarantined = this._entries.has(fingerprint) && this._isQuarantined(fingerprint);
    return this._updateMarks(fingerprint, (mark) => ({ ...mark, cleared: true, released: mark.released || wasQuarantined }));
  }

  /** Releases a fingerprint; returns the changed suspicions, none when it is unknown or already released. */
  release(fingerprint: string): Suspicion[] {
    return this._updateMarks(fingerprint, (mark) => ({ ...mark, released: true }));
  }

  /** Merges suspicions; returns those that changed and were kept. */
  merge(received: readonly Suspicion[]): Suspicion[] {
    const changed: Suspicion[] = [];
    for (const suspicion of received) {
      const known = this._entries.get(suspicion.fingerprint)?.suspicion;
      const marks = mergeMarks(known?.marks ?? [], suspicion.marks);
      if (marks) {
        const { fingerprint, screen, route } = known ?? suspicion;
        changed.push(this._set({ fingerprint, screen, route, marks }));
      }
    }
    this._evictSurplus();
    return changed.filter(({ fingerprint }) => this._entries.has(fingerprint));
  }

  /** Removes expired entries; called periodically. */
  prune(): void {
    const expiredBefore = monotonicMs() - kExpiryMs;
    for (const [fingerprint, { changedAt }] of this._entries) {
      if (changedAt < expiredBefore && !this._isQuarantined(fingerprint)) {
        this._delete(fingerprint);
      }
    }
  }

  private _updateMarks(fingerprint: string, update: (mark: CrashMark) => CrashMark): Suspicion[] {
    const known = this._entries.get(fingerprint)?.suspicion;
    return known ? this.merge([{ ...known, marks: known.marks.map(update) }]) : [];
  }

  private _isQuarantined(fingerprint: string): boolean {
    const entry = this._entries.get(fingerprint);
    return entry !== undefined && verdictOf(entry.suspicion) === 'quarantined';
  }

  private _quarantineExpired({ suspicion, changedAt }: Entry): boolean {
    if (!isConfirmed(suspicion)) {
      return monotonicMs() - changedAt > kUnconfirmedQuarantineMs;
    }
    const furtherCrashes = crashesOf(suspicion) - kMaxCrashes;
    return furtherCrashes < kMaxProbeFailures && monotonicMs() - changedAt > kFirstQuarantineMs * 2 ** Math.max(0, furtherCrashes);
  }

  private _set(suspicion: Suspicion): Suspicion {
    const { fingerprint, screen } = suspicion;
    if (!this._entries.delete(fingerprint)) {
      this._countByScreen.set(screen, (this._countByScreen.get(screen) ?? 0) + 1);
    }
    // The entry was deleted above, so this moves it to the end: the map is ordered by last change.
    this._entries.set(fingerprint, { suspicion, changedAt: monotonicMs() });
    return suspicion;
  }

  private _delete(fingerprint: string): void {
    const screen = this._entries.get(fingerprint)?.suspicion.screen;
    if (screen === undefined) {
      return;
    }
    this._entries.delete(fingerprint);
    const remaining = (this._countByScreen.get(screen) ?? 0) - 1;
    if (remaining > 0) {
      this._countByScreen.set(screen, remaining);
    } else {
      this._countByScreen.delete(screen);
    }
  }

  /**
   * Evicts entries above the capacity: those with the fewest crashes first, then those with the earliest last crash. The order is the same on
   * all daemons, as they would otherwise send each other the entries that they evicted, without end.
   */
  private _evictSurplus(): void {
    const surplus = this._entries.size - kMaxFingerprints;
    if (surplus <= 0) {
      return;
    }
    const ranked = [...this._entries.values()].map(({ suspicion }) => ({
      fingerprint: suspicion.fingerprint,
      crashes: crashesOf(suspicion),
      lastAt: Math.max(...suspicion.marks.map(({ at }) => at)),
    }));
    ranked
      .sort((a, b) => a.crashes - b.crashes || a.lastAt - b.lastAt || (a.fingerprint < b.fingerprint ? -1 : 1))
      .slice(0, surplus)
      .forEach(({ fingerprint }) => {
        this._delete(fingerprint);
      });
  }
}

function suspicionFrom({ id, at }: Crash, { identity, route, tested }: InFlightRequest): Suspicion {
  return {
    fingerprint: fingerprintOf(identity),
    screen: screenOf(identity),
    route,
    marks: [{ crash: id, at, tested, cleared: false, released: false }],
  };
}
