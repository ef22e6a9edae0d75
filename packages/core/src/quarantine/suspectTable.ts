/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Kinds of requests that ran on targets while those ended, as one daemon knows them. A target that ends takes dozens of requests with
 * it, of which one is guilty at most: all are suspects, and each that runs to its end somewhere is cleared.
 */

import { monotonicMs } from '../util/clock.js';
import { fingerprintOf, type RequestIdentity, screenOf } from './requestFingerprint.js';
import { type CrashMark, crashesOf, isConfirmed, kMaxCrashes, mergeMarks, type Suspicion, type Verdict, verdictOf } from './suspicion.js';

/** Kinds that are known at once. */
const kMaxFingerprints = 1_000;
/** Time after which nothing is held any more against a kind that no end was proved of, in milliseconds. */
const kExpiryMs = 60 * 60_000;
/** Time after which a kind that is held back is tried once more, in milliseconds; doubles with each further end. */
const kFirstQuarantineMs = 60 * 60_000;
/**
 * The same for a kind that has not been on trial, in milliseconds: copies of it ran on three targets that ended together, which a
 * lookup that many share may have done too.
 */
const kUnconfirmedQuarantineMs = 30_000;
/** Further ends that such trials may cost; after these only an operator lets the kind run. */
const kMaxProbeFailures = 3;

/** The end of one incarnation of a target. */
export interface Crash {
  /** Names the incarnation, the same in every report of its end. */
  id: number;
  /** In milliseconds of the wall clock. */
  at: number;
}

/** A request that ran on a target when that ended. */
export interface InFlightRequest {
  identity: RequestIdentity;
  route: string;
  /** Whether it was the only suspect on trial there. */
  tested: boolean;
}

interface Entry {
  suspicion: Suspicion;
  /** When it last changed here, on the monotonic clock. */
  changedAt: number;
}

/** The suspects that one daemon knows. */
export class SuspectTable {
  private readonly _entries = new Map<string, Entry>();
  /** Kinds by their screen: of one screen there may be several, which differ in their bodies. */
  private readonly _countByScreen = new Map<number, number>();

  /** Kinds that are known, cleared ones too. */
  get size(): number {
    return this._entries.size;
  }

  /** What is known of a request's kind; undefined when nothing is. Costs nothing while no target has ended. */
  find(identity: RequestIdentity): Suspicion | undefined {
    if (this._entries.size === 0 || !this._countByScreen.has(screenOf(identity))) {
      return undefined;
    }
    return this._entries.get(fingerprintOf(identity))?.suspicion;
  }

  /** What follows for the next request of a kind as of now. */
  verdict(fingerprint: string): Verdict {
    const entry = this._entries.get(fingerprint);
    if (!entry) {
      return 'clear';
    }
    const verdict = verdictOf(entry.suspicion);
    return verdict === 'quarantined' && this._quarantineExpired(entry) ? 'trial' : verdict;
  }

  /** Time since something was last learned of a kind, in milliseconds. */
  msSinceUpdate(fingerprint: string): number {
    return monotonicMs() - (this._entries.get(fingerprint)?.changedAt ?? -Infinity);
  }

  /** All kinds that something is held against, the gravest first. */
  list(): Suspicion[] {
    return [...this._entries.values()]
      .map(({ suspicion }) => suspicion)
      .filter((suspicion) => crashesOf(suspicion) > 0)
      .sort((a, b) => crashesOf(b) - crashesOf(a));
  }

  /** Notes the end of a target; returns what others should know. */
  crashed(crash: Crash, inFlight: readonly InFlightRequest[]): Suspicion[] {
    return this.merge(inFlight.map((request) => suspicionFrom(crash, request)));
  }

  /** Notes that a request of a known kind ran to its end; returns what others should know. */
  completed(fingerprint: string): Suspicion[] {
    const wasQuarantined = this._entries.has(fingerprint) && this._isQuarantined(fingerprint);
    return this._updateMarks(fingerprint, (mark) => ({ ...mark, cleared: true, released: mark.released || wasQuarantined }));
  }

  /** Lets a kind run again; returns what others should know, nothing when it isn't known. */
  release(fingerprint: string): Suspicion[] {
    return this._updateMarks(fingerprint, (mark) => ({ ...mark, released: true }));
  }

  /** Takes what others know; returns what was new in it. */
  merge(received: readonly Suspicion[]): Suspicion[] {
    const changed: Suspicion[] = [];
    for (const suspicion of received) {
      const known = this._entries.get(suspicion.fingerprint)?.suspicion;
      const marks = mergeMarks(known?.marks ?? [], suspicion.marks);
      if (marks) {
        changed.push(this._set({ ...(known ?? suspicion), marks }));
      }
    }
    this._evictSurplus();
    return changed;
  }

  /** Forgets what is old; called now and then. */
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
    // Set anew, so that the order is that of the latest changes.
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

  /** Keeps the table small: what least is held against goes first, and of that the oldest. */
  private _evictSurplus(): void {
    const surplus = this._entries.size - kMaxFingerprints;
    if (surplus <= 0) {
      return;
    }
    const oldestFirst = [...this._entries.values()].map(({ suspicion }) => suspicion);
    oldestFirst
      .sort((a, b) => crashesOf(a) - crashesOf(b))
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
