/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Kinds of requests that targets may have ended by, as this daemon knows them, and how daemons tell each other. */

import {
  type Crash,
  type CrashedRun,
  crashesOf,
  type RequestIdentity,
  type Suspicion,
  SuspectTable,
  type Verdict,
  verdictOf,
} from '@gentiandrum/core';
import type { EventLog } from '../eventLog.js';

/** Daemons that one which hears of a change passes it on to: those that the first one doesn't reach hear of it from others. */
const kSpread = 4;
/** Kinds that a new link is told of at most, the gravest ones. */
const kToldAtFirst = 100;
/** Pause between two looks for what is old, in milliseconds. */
const kPruneMs = 60_000;

/** What the suspects use of their daemon. */
export interface SuspectsDeps {
  /** Tells all linked daemons. */
  broadcast(suspects: Suspicion[]): void;
  /** Tells some of them. */
  sendSome(count: number, suspects: Suspicion[]): void;
  events: EventLog;
}

/** The suspects of one daemon. */
export class Suspects {
  private readonly _table = new SuspectTable();
  private _pruneTimer: NodeJS.Timeout | undefined;

  constructor(private readonly _deps: SuspectsDeps) {}

  /** Begins to forget what is old. */
  start(): void {
    this._pruneTimer = setInterval(() => {
      this._table.prune();
    }, kPruneMs);
  }

  /** Ends timers. */
  close(): void {
    clearInterval(this._pruneTimer);
  }

  /** Kinds that something is held against, and how many of them don't run. */
  get counts(): { suspected: number; held: number } {
    const suspects = this._table.list();
    return { suspected: suspects.length, held: suspects.filter(({ print }) => this._table.verdict(print) === 'held').length };
  }

  /** What a daemon that was just linked should know. */
  get told(): Suspicion[] {
    return this._table.list().slice(0, kToldAtFirst);
  }

  /** Kinds that something is held against, with what follows from it. */
  list(): (Suspicion & { verdict: Verdict })[] {
    return this._table.list().map((suspicion) => ({ ...suspicion, verdict: this._table.verdict(suspicion.print) }));
  }

  /** What is known of a request's kind. */
  find(identity: RequestIdentity): Suspicion | undefined {
    return this._table.find(identity);
  }

  /** Whether anything is known at all: without that no request needs a look. */
  get any(): boolean {
    return this._table.size > 0;
  }

  /** What follows for the next request of a kind. */
  verdict(print: string): Verdict {
    return this._table.verdict(print);
  }

  /** Time since something was last learned of a kind, in milliseconds. */
  quietMs(print: string): number {
    return this._table.quietMs(print);
  }

  /** The target of this host ended while these ran. */
  crashed(crash: Crash, runs: readonly CrashedRun[]): void {
    this._tell(this._table.crashed(crash, runs));
  }

  /** A request of a known kind ran to its end here. */
  completed(print: string): void {
    const before = this._table.verdict(print);
    const changed = this._table.completed(print);
    if (changed.length > 0) {
      this._deps.events.notable('quarantine', 'A request of a suspected kind ran to its end.', { kind: print, before });
    }
    this._tell(changed);
  }

  /** Lets a kind run again; false when nothing is known of it. */
  release(print: string): boolean {
    const changed = this._table.release(print);
    if (changed.length > 0) {
      this._deps.events.warn('quarantine', 'A kind of request was released by an operator.', { kind: print });
    }
    this._tell(changed);
    return changed.length > 0;
  }

  /** Takes what a call brought with it. */
  learn(suspicion: Suspicion): void {
    this._note(this._table.merge([suspicion]));
  }

  /** Takes what another daemon tells, and passes on what is new. */
  take(told: readonly Suspicion[]): void {
    const changed = this._table.merge(told);
    this._note(changed);
    if (changed.length > 0) {
      this._deps.sendSome(kSpread, changed);
    }
  }

  /** Tells what is known of a kind to daemons that don't seem to know. */
  remind(suspicion: Suspicion): void {
    this._deps.broadcast([suspicion]);
  }

  private _tell(changed: Suspicion[]): void {
    this._note(changed);
    if (changed.length > 0) {
      this._deps.broadcast(changed);
    }
  }

  /** One line for each kind that is held back from now on. */
  private _note(changed: readonly Suspicion[]): void {
    for (const suspicion of changed) {
      if (verdictOf(suspicion) === 'held') {
        const { print, route, marks } = suspicion;
        this._deps.events.warn('quarantine', 'A kind of request is held back: targets ended by it.', {
          kind: print,
          route,
          ends: crashesOf(suspicion),
          crashes: marks.map(({ crash, at, tested }) => ({ crash, at: new Date(at).toISOString(), tested })),
        });
      }
    }
  }
}
