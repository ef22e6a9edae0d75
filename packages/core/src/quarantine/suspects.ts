/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** The suspects as one daemon knows them, and how daemons tell each other: each change goes to all that are linked, and is passed on once. */

import type { RequestIdentity } from './requestFingerprint.js';
import { type Crash, type InFlightRequest, SuspectTable } from './suspectTable.js';
import { type Suspicion, type Verdict, verdictOf } from './suspicion.js';

/** Daemons that one which hears of a change passes it on to: those that the first one doesn't reach hear of it from others. */
const kForwardCount = 4;
/** Kinds that a new link is told of at most, the gravest ones. */
const kMaxSnapshot = 100;

/** Kinds that the record of one host keeps at most, the gravest ones. */
const kMaxPersisted = 8;

/** What an operator should be able to see. */
export type SuspectEvent =
  /** From now on the kind does not run. */
  | { kind: 'quarantined'; suspicion: Suspicion }
  /** A request of the kind ran to its end here. */
  | { kind: 'cleared'; fingerprint: string; before: Verdict }
  | { kind: 'released'; fingerprint: string };

/** What the suspects use of their daemon. */
export interface SuspectsDeps {
  /** Tells all linked daemons. */
  broadcast(suspects: Suspicion[]): void;
  /** Tells some of them. */
  sendSome(count: number, suspects: Suspicion[]): void;
  onEvent(event: SuspectEvent): void;
}

/** A kind that something is held against, with what follows from it. */
export interface ListedSuspect extends Suspicion {
  verdict: Verdict;
}

/** What is held against a request's kind, and what follows from it. */
export interface Assessment {
  suspicion: Suspicion;
  verdict: Verdict;
}

/** The suspects of one daemon. */
export class Suspects {
  private readonly _table = new SuspectTable();
  /** Ends of this host's own targets. */
  private readonly _localCrashes = new Set<number>();

  constructor(private readonly _deps: SuspectsDeps) {}

  /** How many kinds are suspected, and how many of them don't run. */
  get counts(): { suspected: number; held: number } {
    const listed = this.list();
    return { suspected: listed.length, held: listed.filter(({ verdict }) => verdict === 'quarantined').length };
  }

  /** What a daemon that was just linked should know. */
  get snapshot(): Suspicion[] {
    return this._table.list().slice(0, kMaxSnapshot);
  }

  /** Kinds that are held back since a target of this host ended by them: what its record keeps for a start of all daemons. */
  get persisted(): Suspicion[] {
    return this._table
      .list()
      .filter((suspicion) => verdictOf(suspicion) === 'quarantined' && suspicion.marks.some(({ crash }) => this._localCrashes.has(crash)))
      .slice(0, kMaxPersisted);
  }

  /** Kinds that something is held against, the gravest first. */
  list(): ListedSuspect[] {
    return this._table.list().map((suspicion) => ({ ...suspicion, verdict: this._table.verdict(suspicion.fingerprint) }));
  }

  /** What is known of a request's kind; undefined when nothing is. Its identity is not even asked for while no target has ended. */
  assess(identity: () => RequestIdentity): Assessment | undefined {
    const suspicion = this._table.size > 0 ? this._table.find(identity()) : undefined;
    return suspicion && { suspicion, verdict: this._table.verdict(suspicion.fingerprint) };
  }

  /** What follows for the next request of a kind. */
  verdict(fingerprint: string): Verdict {
    return this._table.verdict(fingerprint);
  }

  /** Time since something was last learned of a kind, in milliseconds. */
  msSinceUpdate(fingerprint: string): number {
    return this._table.msSinceUpdate(fingerprint);
  }

  /** Forgets what is old; called now and then. */
  prune(): void {
    this._table.prune();
  }

  /** Takes what an earlier daemon of this host wrote into its record. */
  restore(persisted: readonly Suspicion[]): void {
    for (const { crash } of persisted.flatMap(({ marks }) => marks)) {
      this._localCrashes.add(crash);
    }
    this.mergeFromPeer(persisted);
  }

  /** The target of this host ended while these ran. */
  crashed(crash: Crash, inFlight: readonly InFlightRequest[]): void {
    this._localCrashes.add(crash.id);
    this._broadcast(this._table.crashed(crash, inFlight));
  }

  /** A request of a known kind ran to its end here. */
  completed(fingerprint: string): void {
    const before = this._table.verdict(fingerprint);
    const changed = this._table.completed(fingerprint);
    if (changed.length > 0) {
      this._deps.onEvent({ kind: 'cleared', fingerprint, before });
    }
    this._broadcast(changed);
  }

  /** Lets a kind run again; false when nothing is held against it. */
  release(fingerprint: string): boolean {
    const changed = this._table.release(fingerprint);
    if (changed.length > 0) {
      this._deps.onEvent({ kind: 'released', fingerprint });
    }
    this._broadcast(changed);
    return changed.length > 0;
  }

  /** Takes what a call brought with it. */
  mergeFromCall(suspicion: Suspicion): void {
    this._reportQuarantined(this._table.merge([suspicion]));
  }

  /** Takes what another daemon tells, and passes on what is new. */
  mergeFromPeer(received: readonly Suspicion[]): void {
    const changed = this._table.merge(received);
    this._reportQuarantined(changed);
    if (changed.length > 0) {
      this._deps.sendSome(kForwardCount, changed);
    }
  }

  /** Tells what is known of a kind to daemons that don't seem to know. */
  rebroadcast(suspicion: Suspicion): void {
    this._deps.broadcast([suspicion]);
  }

  private _broadcast(changed: Suspicion[]): void {
    this._reportQuarantined(changed);
    if (changed.length > 0) {
      this._deps.broadcast(changed);
    }
  }

  private _reportQuarantined(changed: readonly Suspicion[]): void {
    for (const suspicion of changed) {
      if (verdictOf(suspicion) === 'quarantined') {
        this._deps.onEvent({ kind: 'quarantined', suspicion });
      }
    }
  }
}
