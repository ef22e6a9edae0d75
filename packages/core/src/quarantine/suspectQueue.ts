/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Order of suspects at one target: one of each kind at a time, and of those on trial one at all. All daemons send a kind to the same
 * target, so copies that come at many hosts together end one target and not one each.
 */

import type { Verdict } from './suspicion.js';

/** A suspect at a gate. */
export interface QueuedSuspect {
  fingerprint: string;
}

/** Suspects at one target. */
export class SuspectQueue<T extends QueuedSuspect> {
  private readonly _running = new Map<string, T>();
  private _probe: T | undefined;
  private _waiting: T[] = [];

  /** @param _verdict what follows for a kind as of now */
  constructor(private readonly _verdict: (fingerprint: string) => Verdict) {}

  /** Suspects that wait for others to end, in the order in which they came. */
  get waiting(): readonly T[] {
    return this._waiting;
  }

  /** Whether a call is the one on trial. */
  isProbe(call: T): boolean {
    return this._probe === call;
  }

  /** Takes a suspect: true when it may run now, else it waits. */
  enter(call: T): boolean {
    if (this._mayRun(call)) {
      this._start(call);
      return true;
    }
    this._waiting.push(call);
    return false;
  }

  /** A suspect has ended, or was refused; returns those that may go on now, whatever is left of the suspicion against them. */
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

  /** Takes out all that wait. */
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
        // Decided meanwhile: there is nothing to wait for.
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
