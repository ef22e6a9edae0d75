/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Stands before the gate of one target: lets suspects through one at a time, and notes what each run says of its kind. */

import type { RequestIdentity } from './requestFingerprint.js';
import { SuspectLane } from './suspectLane.js';
import type { Suspects } from './suspects.js';
import type { Crash } from './suspectTable.js';
import type { Suspicion } from './suspicion.js';

/** A call as far as suspects are concerned. */
export interface SuspectCall {
  /** What tells its kind; asked only when something is known of any. */
  readonly identity: () => RequestIdentity;
  readonly route: string;
  /** What its ingress knows of its kind; undefined when it holds nothing against it. */
  readonly suspicion: Suspicion | undefined;
  /** Time up to which it may wait, on the monotonic clock. */
  waitUntil: number;
}

/** Why a suspect is refused: it can't be tried here now, or its kind does not run. */
export type SuspectRefusal = 'suspected' | 'quarantined';

/** What is to be done with a call. */
export type SuspectDecision = { kind: 'pass' } | { kind: 'wait' } | { kind: 'refused'; reason: SuspectRefusal };

/** What the gate tells its surroundings of calls that waited. */
export interface SuspectGateEvents<T extends SuspectCall> {
  onPass(call: T): void;
  onRefuse(call: T, reason: SuspectRefusal): void;
  /** Whether this is the target where a kind is tried, as far as is known here. */
  isTrialTarget(fingerprint: string, call: T): boolean;
}

/** A run that its target did not survive. */
export interface EndedRun<T extends SuspectCall> {
  identity: RequestIdentity;
  route: string;
  /** The call, unless it was over before: a caller that leaves does not end the run. */
  call: T | undefined;
}

interface Suspect<T extends SuspectCall> {
  call: T;
  fingerprint: string;
}

const kPass: SuspectDecision = { kind: 'pass' };

/** The suspects at one target. */
export class SuspectGate<T extends SuspectCall> {
  private readonly _lane: SuspectLane<Suspect<T>>;
  private readonly _suspects = new Map<T, Suspect<T>>();

  constructor(
    private readonly _known: Suspects,
    private readonly _events: SuspectGateEvents<T>,
  ) {
    this._lane = new SuspectLane((fingerprint) => _known.verdict(fingerprint));
  }

  /** Calls that wait for other suspects to end. */
  get waiting(): number {
    return this._lane.waiting.length;
  }

  /** Decides on a call that came. One that passes or waits is to be reported with {@link leave} when it is over. */
  offer(call: T): SuspectDecision {
    const { suspicion } = call;
    if (suspicion) {
      this._known.learn(suspicion);
    }
    const assessed = this._known.assess(call.identity);
    if (!assessed || assessed.verdict === 'clear') {
      return kPass;
    }
    const { suspicion: known, verdict } = assessed;
    if (verdict === 'quarantined' || !suspicion) {
      // Its ingress does not know, and may have sent it to another target than the other daemons do.
      this._known.remind(known);
      return { kind: 'refused', reason: verdict === 'quarantined' ? verdict : 'suspected' };
    }
    if (verdict === 'trial' && !this._events.isTrialTarget(known.fingerprint, call)) {
      // Its ingress knows fewer targets, or more; two trials at once could end two.
      return { kind: 'refused', reason: 'suspected' };
    }
    const suspect = { call, fingerprint: known.fingerprint };
    this._suspects.set(call, suspect);
    return this._lane.enter(suspect) ? kPass : { kind: 'wait' };
  }

  /** A call is over, whether it ran or not: others that waited for it may go on. */
  leave(call: T): void {
    const suspect = this._suspects.get(call);
    if (!suspect) {
      return;
    }
    this._suspects.delete(call);
    for (const next of this._lane.leave(suspect)) {
      if (this._known.verdict(next.fingerprint) === 'quarantined') {
        this._refuse(next.call, 'quarantined');
      } else {
        this._events.onPass(next.call);
      }
    }
  }

  /** Takes back a call that waits; false when it doesn't. */
  withdraw(call: T): boolean {
    const waits = this._lane.waiting.some((suspect) => suspect.call === call);
    if (waits) {
      this.leave(call);
    }
    return waits;
  }

  /** Takes out all that wait. */
  drain(): T[] {
    const calls = this._lane.drain().map(({ call }) => call);
    for (const call of calls) {
      this._suspects.delete(call);
    }
    return calls;
  }

  /** Refuses those that have waited for long enough; called a few times a second or more. */
  expire(now: number): void {
    for (const { call } of this._lane.waiting.filter((suspect) => suspect.call.waitUntil <= now)) {
      this._refuse(call, 'suspected');
    }
  }

  /** A request ran to its end, which speaks for its kind: one that ends its targets never does. */
  completed(call: T): void {
    const assessed = this._known.assess(call.identity);
    if (assessed) {
      this._known.completed(assessed.suspicion.fingerprint);
    }
  }

  /** The target ended while these ran. */
  crashed(crash: Crash, runs: readonly EndedRun<T>[]): void {
    this._known.crashed(
      crash,
      runs.map(({ identity, route, call }) => ({ identity, route, tested: this._isOnTrial(call) })),
    );
  }

  private _isOnTrial(call: T | undefined): boolean {
    const suspect = call && this._suspects.get(call);
    return suspect !== undefined && this._lane.isOnTrial(suspect);
  }

  private _refuse(call: T, reason: SuspectRefusal): void {
    this._events.onRefuse(call, reason);
    this.leave(call);
  }
}
