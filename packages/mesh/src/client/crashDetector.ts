/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Tells the end of a target from the end of a connection. Both look alike to the request that was under way, but a target that ended
 * loses all connections at once and refuses the next one. So the end of a run whose connection was cut waits until the next
 * connection has come about or not; on the same host that takes a round trip.
 */

import { monotonicMs } from '@gentiandrum/core';
import type { PeerCall } from './callCodec.js';

/** Longest wait for the next connection, in milliseconds; a target that is alive and busy may take as long to accept it. */
const kConnectWaitMs = 250;
/**
 * Time for which calls that were broken off, or lost in another way, still count as under way, in milliseconds: a caller that leaves
 * does not end the run, and word of the target's end may come late.
 */
const kAbandonedRetentionMs = 1_000;
/** Such calls that are kept at most. */
const kMaxAbandoned = 200;
/** Time for the other connections of an ended target to bring what was on its way, in milliseconds. */
const kSettleMs = 5;

/** A call that may still be running though nobody waits for it. */
interface AbandonedCall {
  call: PeerCall;
  abandonedAt: number;
}

/** A run whose connection was cut. */
interface InterruptedRun {
  call: PeerCall;
  done: (crashed: boolean) => void;
}

/** What an inquiry uses of its client. */
export interface CrashDetectorDeps {
  /** Opens a connection, and reports to the inquiry; false when there may be no further one. */
  tryConnect(): boolean;
  /** Ends all connections to a target that has ended: their runs come to the inquiry too. */
  disconnectAll(): void;
  /** The target ended while these calls ran there; told before any of them is. */
  onCrash(calls: readonly PeerCall[]): void;
}

/** One inquiry after the other into one incarnation of a target. */
export class CrashDetector {
  private _interruptedRuns: InterruptedRun[] = [];
  private _timer: NodeJS.Timeout | undefined;
  private _refused = false;
  private _abandoned: AbandonedCall[] = [];

  constructor(private readonly _deps: CrashDetectorDeps) {}

  /** A run lost its connection: `tell` is called once it is known whether its target ended. */
  addInterrupted(call: PeerCall, done: (crashed: boolean) => void): void {
    this._interruptedRuns.push({ call, done });
    if (this._timer) {
      return;
    }
    this._timer = setTimeout(() => {
      // A process that stood still has the refusal in hand, and reads it before what is due next.
      this._timer = setTimeout(() => {
        this._finish(false);
      }, 0);
    }, kConnectWaitMs);
    if (!this._deps.tryConnect()) {
      this._finish(false);
    }
  }

  /** The target took the connection that the inquiry asked for. */
  connected(): void {
    if (!this._refused) {
      this._finish(false);
    }
  }

  /** The target refused a connection. */
  refused(): void {
    if (this._refused) {
      return;
    }
    if (!this._timer) {
      this._report([]);
      return;
    }
    this._refused = true;
    clearTimeout(this._timer);
    this._timer = setTimeout(() => {
      this._deps.disconnectAll();
      this._finish(true);
    }, kSettleMs);
  }

  /** A run was broken off from here, or brought no whole answer: the target may be at work on it. */
  addAbandoned(call: PeerCall): void {
    this._abandoned.push({ call, abandonedAt: monotonicMs() });
    if (this._abandoned.length > kMaxAbandoned) {
      this._abandoned.shift();
    }
  }

  /** Nothing more will be known. */
  close(): void {
    this._finish(this._refused);
  }

  private _finish(crashed: boolean): void {
    clearTimeout(this._timer);
    this._timer = undefined;
    this._refused = false;
    const runs = this._interruptedRuns;
    this._interruptedRuns = [];
    if (crashed) {
      this._report(runs.map(({ call }) => call));
    }
    for (const { call, done } of runs) {
      if (!crashed) {
        this.addAbandoned(call);
      }
      done(crashed);
    }
  }

  private _report(calls: readonly PeerCall[]): void {
    const cutoff = monotonicMs() - kAbandonedRetentionMs;
    const recent = this._abandoned.filter(({ abandonedAt }) => abandonedAt > cutoff).map(({ call }) => call);
    this._abandoned = [];
    if (calls.length + recent.length > 0) {
      this._deps.onCrash([...calls, ...recent]);
    }
  }
}
