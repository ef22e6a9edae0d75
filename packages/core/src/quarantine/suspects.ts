/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** The suspicions known to one daemon, and their propagation: local changes go to all linked daemons, which forward them once. */

import type { SuspectState } from './probeTarget.js';
import type { RequestIdentity } from './requestFingerprint.js';
import { type SuspectRun, SuspectRuns } from './suspectRuns.js';
import { type Crash, type InFlightRequest, SuspectTable } from './suspectTable.js';
import { type Suspicion, type Verdict, verdictOf } from './suspicion.js';

/** Number of daemons that a received change is forwarded to, so that it reaches daemons without a link to its origin. */
const kForwardCount = 4;
/** Maximum number of suspicions sent over a new link. */
const kMaxSnapshot = 100;

/** Maximum number of suspicions stored in the record of one host. */
export const kMaxPersistedSuspects = 8;

/** Changes that are reported to the operator. */
export type SuspectEvent =
  /** Requests with the fingerprint no longer run. */
  | { kind: 'quarantined'; suspicion: Suspicion }
  /** A request with the fingerprint completed on this host. */
  | { kind: 'cleared'; fingerprint: string; before: Verdict }
  | { kind: 'released'; fingerprint: string };

/** Daemon functions that {@link Suspects} depends on. */
export interface SuspectsDeps {
  /** Sends to all linked daemons. */
  broadcast(suspects: Suspicion[]): void;
  /** Sends to at most `count` linked daemons. */
  sendSome(count: number, suspects: Suspicion[]): void;
  onEvent(event: SuspectEvent): void;
}

/** A suspicion with its current verdict. */
export interface ListedSuspect extends Suspicion {
  verdict: Verdict;
}

/** The suspicion against a request, and what decides whether and where it may run. */
export interface Assessment extends SuspectState {
  suspicion: Suspicion;
}

/** The suspicions known to one daemon. */
export class Suspects {
  private readonly _table = new SuspectTable();
  private readonly _runs = new SuspectRuns();
  /** Crash ids of targets on this host. */
  private readonly _localCrashes = new Set<number>();

  constructor(private readonly _deps: SuspectsDeps) {}

  /** Number of fingerprints under suspicion, and how many of these are quarantined. */
  get counts(): { suspected: number; held: number } {
    const listed = this.list();
    return { suspected: listed.length, held: listed.filter(({ verdict }) => verdict === 'quarantined').length };
  }

  /** The suspicions to send over a new link, most severe first. */
  get snapshot(): Suspicion[] {
    return this._table
      .list()
      .slice(0, kMaxSnapshot)
      .map((suspicion) => this._withRuns(suspicion));
  }

  /** Quarantines that involve a crash on this host; stored in the host's record so that they survive a restart of all daemons. */
  get persisted(): Suspicion[] {
    return this._table
      .list()
      .filter((suspicion) => verdictOf(suspicion) === 'quarantined' && suspicion.marks.some(({ crash }) => this._localCrashes.has(crash)))
      .slice(0, kMaxPersistedSuspects);
  }

  /** All suspicions with crashes that count, most severe first. */
  list(): ListedSuspect[] {
    return this._table.list().map((suspicion) => ({ ...suspicion, verdict: this._table.verdict(suspicion.fingerprint) }));
  }

  /** Looks up the suspicion against a request; undefined when there is none. Does not call `identity` while the table is empty. */
  assess(identity: () => RequestIdentity): Assessment | undefined {
    const suspicion = this._table.size > 0 ? this._table.find(identity()) : undefined;
    if (!suspicion) {
      return undefined;
    }
    const { fingerprint } = suspicion;
    return {
      suspicion: this._withRuns(suspicion),
      verdict: this._table.verdict(fingerprint),
      runningAt: this._runs.runningAt(fingerprint),
      msSinceUpdate: this._table.msSinceUpdate(fingerprint),
    };
  }

  /** The current verdict on a fingerprint. */
  verdict(fingerprint: string): Verdict {
    return this._table.verdict(fingerprint);
  }

  /** Host on whose target a suspect with the fingerprint may be in flight; undefined when there is none. */
  runningAt(fingerprint: string): string | undefined {
    return this._runs.runningAt(fingerprint);
  }

  /** Reserves a known fingerprint for a run on the target of a host, until the run is over or its time has passed. */
  startRun(fingerprint: string, host: string, remainingMs: number): SuspectRun {
    const run = this._runs.start(fingerprint, host, remainingMs);
    this._broadcastRun(fingerprint, run);
    return run;
  }

  /** Reduces the time for which a run may still be in flight; 0 when it is over. */
  limitRun(fingerprint: string, run: SuspectRun, remainingMs: number): void {
    const limited = { ...run, remainingMs };
    if (this._runs.merge(fingerprint, [limited])) {
      this._broadcastRun(fingerprint, limited);
    }
  }

  /** Removes expired entries; called periodically. */
  prune(): void {
    this._table.prune();
    this._runs.prune();
  }

  /** Restores the suspicions that an earlier daemon of this host stored in its record. */
  restore(persisted: readonly Suspicion[]): void {
    for (const { crash } of persisted.flatMap(({ marks }) => marks)) {
      this._localCrashes.add(crash);
    }
    this.mergeFromPeer(persisted);
  }

  /** Records a crash of the target on this host with the requests that were in flight. */
  crashed(crash: Crash, inFlight: readonly InFlightRequest[]): void {
    this._localCrashes.add(crash.id);
    this._broadcast(this._table.crashed(crash, inFlight));
  }

  /** Clears a known fingerprint after a request with it completed on this host. */
  completed(fingerprint: string): void {
    const before = this._table.verdict(fingerprint);
    const changed = this._table.completed(fingerprint);
    if (changed.length > 0) {
      this._deps.onEvent({ kind: 'cleared', fingerprint, before });
    }
    this._broadcast(changed);
  }

  /** Releases a fingerprint; false when it is unknown or already released. */
  release(fingerprint: string): boolean {
    const changed = this._table.release(fingerprint);
    if (changed.length > 0) {
      this._deps.onEvent({ kind: 'released', fingerprint });
    }
    this._broadcast(changed);
    return changed.length > 0;
  }

  /** Merges a suspicion that arrived with a call, without forwarding it. */
  mergeFromCall(suspicion: Suspicion): void {
    this._reportQuarantined(this._table.merge([suspicion]));
    this._runs.merge(suspicion.fingerprint, suspicion.runs ?? []);
  }

  /** Merges suspicions from another daemon and forwards those that changed. */
  mergeFromPeer(received: readonly Suspicion[]): void {
    const changed = this._table.merge(received);
    this._reportQuarantined(changed);
    const changedFingerprints = new Set(changed.map(({ fingerprint }) => fingerprint));
    const forwarded = received.flatMap(({ fingerprint, runs = [] }) => {
      const known = this._table.get(fingerprint);
      const hasNewRuns = this._runs.merge(fingerprint, runs);
      return known && (hasNewRuns || changedFingerprints.has(fingerprint)) ? [{ ...known, runs }] : [];
    });
    if (forwarded.length > 0) {
      this._deps.sendSome(kForwardCount, forwarded);
    }
  }

  /** Sends a suspicion to all linked daemons again, as an ingress appears to lack it. */
  rebroadcast(suspicion: Suspicion): void {
    this._deps.broadcast([suspicion]);
  }

  private _broadcastRun(fingerprint: string, run: SuspectRun): void {
    const suspicion = this._table.get(fingerprint);
    if (suspicion) {
      this._deps.broadcast([{ ...suspicion, runs: [run] }]);
    }
  }

  private _withRuns(suspicion: Suspicion): Suspicion {
    const runs = this._runs.active(suspicion.fingerprint);
    return runs.length > 0 ? { ...suspicion, runs } : suspicion;
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
