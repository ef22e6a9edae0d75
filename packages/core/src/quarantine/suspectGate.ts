/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Runs ahead of the admission gate of one target: serializes suspect requests and records the result of each run for its fingerprint. */

import { monotonicMs } from '../util/clock.js';
import { bindingHost } from './probeTarget.js';
import { fingerprintOf, type RequestIdentity } from './requestFingerprint.js';
import { SuspectQueue } from './suspectQueue.js';
import type { SuspectRun } from './suspectRuns.js';
import type { Suspects } from './suspects.js';
import type { Crash } from './suspectTable.js';
import type { Suspicion, Verdict } from './suspicion.js';

/** The properties of a call that the suspect gate uses. */
export interface SuspectCall {
  /** Returns the fingerprinted parts; called only while any suspicion is known. */
  readonly identity: () => RequestIdentity;
  readonly route: string;
  /** The suspicion that the ingress attached; undefined when it knows of none. */
  readonly suspicion: Suspicion | undefined;
  /** Deadline for waiting, in milliseconds of the monotonic clock. */
  waitUntil: number;
  /** Time at which its run is aborted, in milliseconds of the monotonic clock. */
  readonly expiresAt: number;
}

/** Why a suspect is refused: it cannot run on this target now, or its fingerprint is quarantined. */
export type SuspectRefusal = 'suspected' | 'quarantined';

export type SuspectDecision = { kind: 'pass' } | { kind: 'wait' } | { kind: 'refused'; reason: SuspectRefusal };

/** Callbacks of the gate. `onPass` and `onRefuse` report calls that waited. */
export interface SuspectGateEvents<T extends SuspectCall> {
  onPass(call: T): void;
  onRefuse(call: T, reason: SuspectRefusal): void;
  /** Whether this target is the one that probes the fingerprint, according to the local target directory. */
  isProbeTarget(fingerprint: string, call: T): boolean;
  /** Whether the target of a host is ready, according to the local target directory. */
  isReady(host: string, call: T): boolean;
  /** A suspect started to run, or no longer runs. */
  onRun(call: T, run: SuspectRunEvent): void;
}

/** Start or end of the run of a suspect. */
export interface SuspectRunEvent {
  kind: 'started' | 'ended';
  fingerprint: string;
  /** Whether it runs as a probe. */
  probe: boolean;
}

/** A call that was in flight when its target crashed. */
export interface InFlightCall<T extends SuspectCall> {
  identity: RequestIdentity;
  route: string;
  /** Undefined when the call was over before the crash: a run continues after its caller disconnects. */
  call: T | undefined;
}

interface SuspectEntry<T extends SuspectCall> {
  call: T;
  fingerprint: string;
  /** Its run, while it runs. */
  run: SuspectRun | undefined;
  /** Whether it runs as a probe. */
  probe: boolean;
}

const kPass: SuspectDecision = { kind: 'pass' };
/**
 * Time for which an aborted or lost run may still be in flight, in milliseconds. A target may continue to run a request after its connection
 * was closed, and crash by it.
 */
export const kAbandonedMs = 1_000;

/** Suspect requests at one target. */
export class SuspectGate<T extends SuspectCall> {
  private readonly _queue: SuspectQueue<SuspectEntry<T>>;
  private readonly _suspectCalls = new Map<T, SuspectEntry<T>>();
  /** Probes that were aborted or lost and may still run: by fingerprint, the monotonic time from which they do not. */
  private readonly _abandonedProbes = new Map<string, number>();

  /** @param _host returns the host of this target */
  constructor(
    private readonly _host: () => string,
    private readonly _suspects: Suspects,
    private readonly _events: SuspectGateEvents<T>,
  ) {
    this._queue = new SuspectQueue((fingerprint) => _suspects.verdict(fingerprint));
  }

  /** Number of calls that wait for other suspects to finish. */
  get waiting(): number {
    return this._queue.waiting.length;
  }

  /** Decides on an arriving call. The caller must report each call that passes or waits with {@link leave} when it is over. */
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
      // An ingress without the current suspicion may have chosen another target than the other daemons, so send the suspicion to them.
      this._suspects.rebroadcast(known);
      return { kind: 'refused', reason: verdict === 'quarantined' ? verdict : 'suspected' };
    }
    if (!this._mayRunHere(known.fingerprint, verdict, call)) {
      // The ingress has a different view of the ready targets. Two probes at once could crash two targets.
      return { kind: 'refused', reason: 'suspected' };
    }
    const suspect = { call, fingerprint: known.fingerprint, run: undefined, probe: false };
    this._suspectCalls.set(call, suspect);
    if (!this._queue.enter(suspect)) {
      return { kind: 'wait' };
    }
    this._recordStart(suspect);
    return kPass;
  }

  /**
   * Removes a call that is over, whether it ran or not, and starts or refuses the calls that waited for it.
   *
   * @param mayStillRun whether the target may still run it, because it was aborted or its connection was lost
   */
  leave(call: T, mayStillRun = false): void {
    const suspect = this._suspectCalls.get(call);
    if (!suspect) {
      return;
    }
    this._suspectCalls.delete(call);
    this._recordEnd(suspect, mayStillRun);
    for (const next of this._queue.leave(suspect)) {
      if (this._suspects.verdict(next.fingerprint) === 'quarantined') {
        this._refuse(next.call, 'quarantined');
      } else {
        this._recordStart(next);
        this._events.onPass(next.call);
      }
    }
  }

  /** Removes a waiting call; false when it is not waiting. */
  withdraw(call: T): boolean {
    const isWaiting = this._queue.waiting.some((suspect) => suspect.call === call);
    if (isWaiting) {
      this.leave(call);
    }
    return isWaiting;
  }

  /** Removes and returns all waiting calls. */
  drain(): T[] {
    const calls = this._queue.drain().map(({ call }) => call);
    for (const call of calls) {
      this._suspectCalls.delete(call);
    }
    return calls;
  }

  /** Refuses waiting calls whose `waitUntil` has passed; called several times a second. */
  expire(now: number): void {
    for (const { call } of this._queue.waiting.filter((suspect) => suspect.call.waitUntil <= now)) {
      this._refuse(call, 'suspected');
    }
  }

  /** Clears the fingerprint of a call that ran to completion, as a request that crashes its target never does. */
  completed(call: T): void {
    const assessed = this._suspects.assess(call.identity);
    if (assessed) {
      this._suspects.completed(assessed.suspicion.fingerprint);
    }
  }

  /** Records a crash of the target with the calls that were in flight. */
  crashed(crash: Crash, inFlight: readonly InFlightCall<T>[]): void {
    this._suspects.crashed(
      crash,
      inFlight.map(({ identity, route, call }) => ({ identity, route, tested: this._isProbe(call) || this._isAbandonedProbe(identity) })),
    );
    for (const suspect of this._suspectCalls.values()) {
      this._recordEnd(suspect, false);
    }
  }

  /** While a request with the fingerprint is in flight elsewhere, the choice of the target does not move here. */
  private _mayRunHere(fingerprint: string, verdict: Verdict, call: T): boolean {
    const runningAt = this._suspects.runningAt(fingerprint);
    const bound = bindingHost({ verdict, runningAt }, (host) => this._events.isReady(host, call));
    if (bound !== undefined) {
      return bound === this._host();
    }
    return verdict !== 'trial' || this._events.isProbeTarget(fingerprint, call);
  }

  private _recordStart(suspect: SuspectEntry<T>): void {
    if (!this._queue.isRunning(suspect)) {
      return;
    }
    const { call, fingerprint } = suspect;
    suspect.run = this._suspects.startRun(fingerprint, this._host(), call.expiresAt - monotonicMs() + kAbandonedMs);
    suspect.probe = this._queue.isProbe(suspect);
    this._events.onRun(call, { kind: 'started', fingerprint, probe: suspect.probe });
  }

  private _recordEnd(suspect: SuspectEntry<T>, mayStillRun: boolean): void {
    const { call, fingerprint, run, probe } = suspect;
    if (!run) {
      return;
    }
    suspect.run = undefined;
    this._abandonedProbes.delete(fingerprint);
    if (probe && mayStillRun) {
      this._addAbandonedProbe(fingerprint);
    }
    this._suspects.limitRun(fingerprint, run, mayStillRun ? kAbandonedMs : 0);
    this._events.onRun(call, { kind: 'ended', fingerprint, probe });
  }

  private _isProbe(call: T | undefined): boolean {
    const suspect = call && this._suspectCalls.get(call);
    return suspect !== undefined && this._queue.isProbe(suspect);
  }

  private _addAbandonedProbe(fingerprint: string): void {
    const now = monotonicMs();
    for (const [other, until] of this._abandonedProbes) {
      if (until <= now) {
        this._abandonedProbes.delete(other);
      }
    }
    this._abandonedProbes.set(fingerprint, now + kAbandonedMs);
  }

  private _isAbandonedProbe(identity: RequestIdentity): boolean {
    return this._abandonedProbes.size > 0 && (this._abandonedProbes.get(fingerprintOf(identity)) ?? 0) > monotonicMs();
  }

  private _refuse(call: T, reason: SuspectRefusal): void {
    this._events.onRefuse(call, reason);
    this.leave(call);
  }
}
