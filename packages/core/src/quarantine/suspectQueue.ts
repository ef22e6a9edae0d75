/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Serializes suspects at one target: one request per fingerprint at a time, and one probe in total. All daemons send a fingerprint to the
 * same target, so copies that arrive at many hosts at once crash one target instead of one each.
 */

import type { Verdict } from './suspicion.js';

export interface QueuedSuspect {
  fingerprint: string;
}

/** Queue of the suspects at one target. */
export class SuspectQueue<T extends QueuedSuspect> {
  private readonly _running = new Map<string, T>();
  private _probe: T | undefined;
  private _waiting: T[] = [];

  /** @param _verdict returns the current verdict on a fingerprint */
  constructor(private readonly _verdict: (fingerprint: string) => Verdict) {}

  /** Waiting suspects in order of arrival. */
  get waiting(): readonly T[] {
    return this._waiting;
  }

  /** Whether a call is the running probe. */
  isProbe(call: T): boolean {
    return this._probe === call;
  }

  /** Whether a call runs as a suspect: no other request with its fingerprint runs on this target meanwhile. */
  isRunning(call: T): boolean {
    return this._running.get(call.fingerprint) === call;
  }

  /** Adds a suspect; returns true when it may run now, false when it waits. */
  enter(call: T): boolean {
    if (this._mayRun(call)) {
      this._start(call);
      return true;
    }
    this._waiting.push(call);
    return false;
  }

  /** Removes a suspect that finished or was refused. Returns those that no longer wait, including ones that are quarantined by now. */
  leave(call: T): T[] {
    if (this._running.get(call.fingerprint) === call) {
      this._running.delete(call.fingerprint);
    }
    if (this._probe === call) {
      this._probe = undefined;
    }
    this._waiting = this._waiting.filter((other) => other !== call);
    return this._startWaiting();
  }

  /** Removes and returns all waiting suspects. */
  drain(): T[] {
    return this._waiting.splice(0);
  }

  private _startWaiting(): T[] {
    const started: T[] = [];
    this._waiting = this._waiting.filter((call) => {
      if (!this._mayRun(call)) {
        return true;
      }
      this._start(call);
      started.push(call);
      return false;
    });
    return started;
  }

  private _mayRun({ fingerprint }: T): boolean {
    const verdict = this._verdict(fingerprint);
    switch (verdict) {
      case 'clear':
      case 'quarantined':
        // The verdict changed while the call waited, so it no longer depends on other runs.
        return true;
      case 'suspect':
        return !this._running.has(fingerprint);
      case 'trial':
        return !this._running.has(fingerprint) && this._probe === undefined;
    }
  }

  private _start(call: T): void {
    const verdict = this._verdict(call.fingerprint);
    if (verdict === 'suspect' || verdict === 'trial') {
      this._running.set(call.fingerprint, call);
    }
    if (verdict === 'trial') {
      this._probe = call;
    }
  }
}
