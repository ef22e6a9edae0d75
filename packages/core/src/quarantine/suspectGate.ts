/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Stands before the gate of one target: lets suspects through one at a time, and notes what each run says of its kind. */

import type { RequestIdentity } from './requestFingerprint.js';
import { SuspectQueue } from './suspectQueue.js';
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
  isProbeTarget(fingerprint: string, call: T): boolean;
}

/** A run that its target did not survive. */
export interface InFlightCall<T extends SuspectCall> {
  identity: RequestIdentity;
  route: string;
  /** The call, unless it was over before: a caller that leaves does not end the run. */
  call: T | undefined;
}

interface SuspectEntry<T extends SuspectCall> {
  call: T;
  fingerprint: string;
}

const kPass: SuspectDecision = { kind: 'pass' };

/** The suspects at one target. */
export class SuspectGate<T extends SuspectCall> {
  private readonly _queue: SuspectQueue<SuspectEntry<T>>;
  private readonly _suspectCalls = new Map<T, SuspectEntry<T>>();

  constructor(
    private readonly _suspects: Suspects,
    private readonly _events: SuspectGateEvents<T>,
  ) {
    this._queue = new SuspectQueue((fingerprint) => _suspects.verdict(fingerprint));
  }

  /** Calls that wait for other suspects to end. */
  get waiting(): number {
    return this._queue.waiting.length;
  }

  /** Decides on a call that came. One that passes or waits is to be reported with {@link leave} when it is over. */
  offer(call: T): SuspectDecision {
    const { suspicion } = call;
    if (suspicion) {
      this._suspects.mergeFromCall(suspicion);
    }
    const assessed = this._suspects.assess(call.identity);
    if (!assessed || assessed.verdict === 'clear') {
      return kPass;
    }
    const { suspicion: known, verdict } = assessed;
    if (verdict === 'quarantined' || !suspicion) {
      // Its ingress does not know, and may have sent it to another target than the other daemons do.
      this._suspects.rebroadcast(known);
      return { kind: 'refused', reason: verdict === 'quarantined' ? verdict : 'suspected' };
    }
    if (verdict === 'trial' && !this._events.isProbeTarget(known.fingerprint, call)) {
      // Its ingress knows fewer targets, or more; two trials at once could end two.
      return { kind: 'refused', reason: 'suspected' };
    }
    const suspect = { call, fingerprint: known.fingerprint };
    this._suspectCalls.set(call, suspect);
    return this._queue.enter(suspect) ? kPass : { kind: 'wait' };
  }

  /** A call is over, whether it ran or not: others that waited for it may go on. */
  leave(call: T): void {
    const suspect = this._suspectCalls.get(call);
    if (!suspect) {
      return;
    }
    this._suspectCalls.delete(call);
    for (const next of this._queue.leave(suspect)) {
      if (this._suspects.verdict(next.fingerprint) === 'quarantined') {
        this._refuse(next.call, 'quarantined');
      } else {
        this._events.onPass(next.call);
      }
    }
  }

  /** Takes back a call that waits; false when it doesn't. */
  withdraw(call: T): boolean {
    const isWaiting = this._queue.waiting.some((suspect) => suspect.call === call);
    if (isWaiting) {
      this.leave(call);
    }
    return isWaiting;
  }

  /** Takes out all that wait. */
  drain(): T[] {
    const calls = this._queue.drain().map(({ call }) => call);
    for (const call of calls) {
      this._suspectCalls.delete(call);
    }
    return calls;
  }

  /** Refuses those that have waited for long enough; called a few times a second or more. */
  expire(now: number): void {
    for (const { call } of this._queue.waiting.filter((suspect) => suspect.call.waitUntil <= now)) {
      this._refuse(call, 'suspected');
    }
  }

  /** A request ran to its end, which speaks for its kind: one that ends its targets never does. */
  completed(call: T): void {
    const assessed = this._suspects.assess(call.identity);
    if (assessed) {
      this._suspects.completed(assessed.suspicion.fingerprint);
    }
  }

  /** The target ended while these ran. */
  crashed(crash: Crash, inFlight: readonly InFlightCall<T>[]): void {
    this._suspects.crashed(
      crash,
      inFlight.map(({ identity, route, call }) => ({ identity, route, tested: this._isProbe(call) })),
    );
  }

  private _isProbe(call: T | undefined): boolean {
    const suspect = call && this._suspectCalls.get(call);
    return suspect !== undefined && this._queue.isProbe(suspect);
  }

  private _refuse(call: T, reason: SuspectRefusal): void {
    this._events.onRefuse(call, reason);
    this.leave(call);
  }
}
