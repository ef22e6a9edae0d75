/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Distinguishes a crash of the target from the loss of one connection. After a crash the target refuses new connections, so the result
 * of a run that lost its connection is reported only after another connection attempt.
 */

import { monotonicMs } from '@gentiandrum/core';
import type { PeerCall } from './callCodec.js';

/** Longest wait for the connection attempt, in milliseconds; a busy target may accept it late. */
const kConnectWaitMs = 250;
/** Time for which aborted and lost calls count as in flight, in milliseconds: the target may still run them, and crash by them. */
const kAbandonedRetentionMs = 1_000;
/** Largest number of aborted and lost calls that are kept. */
const kMaxAbandoned = 200;
/** Time for the other connections of a crashed target to deliver data in transit, in milliseconds. */
const kSettleMs = 5;

/** An aborted or lost call that may still run on the target. */
interface AbandonedCall {
  call: PeerCall;
  abandonedAt: number;
}

/** A run that lost its connection. */
interface InterruptedRun {
  call: PeerCall;
  done: (crashed: boolean) => void;
}

/** Operations of the client that the detector uses. */
export interface CrashDetectorDeps {
  /** Opens a connection and reports its outcome to the detector; false when the connection limit is reached. */
  tryConnect(): boolean;
  /** Closes all connections to the crashed target, which adds their runs to the detector. */
  disconnectAll(): void;
  /** The target crashed while these calls were in flight. Called before the result of any of them is reported. */
  onCrash(calls: readonly PeerCall[]): void;
}

/** Detects crashes of one incarnation of a target. */
export class CrashDetector {
  private _interruptedRuns: InterruptedRun[] = [];
  private _timer: NodeJS.Timeout | undefined;
  private _refused = false;
  private _abandoned: AbandonedCall[] = [];

  constructor(private readonly _deps: CrashDetectorDeps) {}

  /** Adds a run that lost its connection; calls `done` once it is known whether the target crashed. */
  addInterrupted(call: PeerCall, done: (crashed: boolean) => void): void {
    this._interruptedRuns.push({ call, done });
    if (this._timer) {
      return;
    }
    this._timer = setTimeout(() => {
      // After a stall of this process, a pending refusal is processed before this second timer.
      this._timer = setTimeout(() => {
        this._finish(false);
      }, 0);
    }, kConnectWaitMs);
    if (!this._deps.tryConnect()) {
      this._finish(false);
    }
  }

  /** The target accepted the connection opened by {@link CrashDetectorDeps.tryConnect}. */
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

  /** Adds a call that was aborted or returned no complete response: the target may still run it. */
  addAbandoned(call: PeerCall): void {
    this._abandoned.push({ call, abandonedAt: monotonicMs() });
    if (this._abandoned.length > kMaxAbandoned) {
      this._abandoned.shift();
    }
  }

  /** Reports the results of all pending runs with what is known so far. */
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
