/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Distinguishes a crash of the target from the loss of one connection: the result of a run that lost its connection is reported only after
 * further connections have shown whether the target is alive.
 */

import { checkLiveness, kAbandonedMs, type Liveness, type LivenessEffect, type LivenessObservation, monotonicMs } from '@gentiandrum/core';
import type { PeerCall } from './callCodec.js';

/** Longest wait for a connection attempt, in milliseconds; a busy target may accept it late. */
const kConnectWaitMs = 250;
/** Largest number of aborted and lost calls that are kept. */
const kMaxAbandoned = 200;
/** Time for the other connections of a crashed target to deliver data in transit, in milliseconds. */
const kSettleMs = 5;
/**
 * Longest time from the first lost connection of a crash to the refusal of a new one, in milliseconds. Calls that were sent in between did
 * not run, so they cannot have caused the crash.
 */
const kMaxExitMs = 250;

/** A call and the monotonic time at which it was sent to the target. */
export interface SentCall {
  call: PeerCall;
  sentAt: number;
}

/** An aborted or lost call that may still run on the target. */
interface AbandonedCall extends SentCall {
  abandonedAt: number;
}

/** A run that lost its connection. */
interface InterruptedRun extends SentCall {
  done: (crashed: boolean) => void;
}

/** Reports what happens to the connection of a check. */
export interface CheckEvents {
  onConnect(result: 'open' | 'refused' | 'failed'): void;
  /** The connection was closed after it had been established. */
  onClosed(): void;
}

/** Connection of a check; no call uses it before its release. */
export interface CheckConnection {
  release(): void;
}

/** Operations of the client that the detector uses. */
export interface CrashDetectorDeps {
  /** Opens a connection for a check; undefined when the connection limit is reached. */
  connect(events: CheckEvents): CheckConnection | undefined;
  /** Whether a connection is open that was established before a monotonic time. */
  hasConnectionOlderThan(time: number): boolean;
  /** Closes all connections to the crashed target, which adds their runs to the detector. */
  disconnectAll(): void;
  /** The target crashed while these calls were in flight. Called before the result of any of them is reported. */
  onCrash(calls: readonly PeerCall[]): void;
}

/** Detects crashes of one incarnation of a target. */
export class CrashDetector {
  private _interruptedRuns: InterruptedRun[] = [];
  private _abandoned: AbandonedCall[] = [];
  private _check: Generator<LivenessEffect, Liveness, LivenessObservation> | undefined;
  private _connection: CheckConnection | undefined;
  private _timer: NodeJS.Timeout | undefined;
  /** Number of effects of checks that were performed; an event of an earlier effect is ignored. */
  private _effects = 0;
  private _refused = false;
  /** Monotonic time of the first lost connection since the target has shown that it is alive; `Infinity` without one. */
  private _firstLossAt = Infinity;

  constructor(private readonly _deps: CrashDetectorDeps) {}

  /** Adds a run that lost its connection; calls `done` once it is known whether the target crashed. */
  addInterrupted(call: PeerCall, sentAt: number, done: (crashed: boolean) => void): void {
    const now = monotonicMs();
    if (now - this._firstLossAt > kMaxExitMs || this._firstLossAt === Infinity) {
      this._firstLossAt = now;
    }
    this._interruptedRuns.push({ call, sentAt, done });
    this._startCheck();
  }

  /** The target closed an idle connection. After a lost run, the reason may be that the target has exited by now. */
  idleClosed(): void {
    if (monotonicMs() - this._firstLossAt <= kMaxExitMs) {
      this._startCheck();
    }
  }

  /** The target refused a connection. */
  refused(): void {
    if (this._refused) {
      return;
    }
    if (!this._check) {
      this._report([]);
      return;
    }
    this._stopCheck();
    this._refused = true;
    this._timer = setTimeout(() => {
      this._deps.disconnectAll();
      this._finish(true);
    }, kSettleMs);
  }

  /** The target responded completely to a call that was sent at `sentAt`, on the monotonic clock. */
  responded(sentAt: number): void {
    if (sentAt > this._firstLossAt) {
      this._firstLossAt = Infinity;
    }
  }

  /** Adds a call that was aborted or returned no complete response: the target may still run it. */
  addAbandoned(call: PeerCall, sentAt: number): void {
    this._abandoned.push({ call, sentAt, abandonedAt: monotonicMs() });
    if (this._abandoned.length > kMaxAbandoned) {
      this._abandoned.shift();
    }
  }

  /** Reports the results of all pending runs with what is known so far. */
  close(): void {
    this._stopCheck();
    this._finish(this._refused);
  }

  private _startCheck(): void {
    if (!this._check && !this._refused) {
      this._check = checkLiveness();
      this._advance(this._check.next());
    }
  }

  private _advance(step: IteratorResult<LivenessEffect, Liveness>): void {
    if (step.done === true) {
      this._conclude(step.value);
    } else {
      this._perform(step.value);
    }
  }

  private _perform(effect: LivenessEffect): void {
    this._effects++;
    switch (effect.kind) {
      case 'connect':
        this._connect();
        return;
      case 'hold':
      case 'pause':
        this._resumeAfter(effect.ms, 'open');
        return;
    }
  }

  private _connect(): void {
    const connecting = this._effects;
    const holding = connecting + 1;
    this._resumeAfter(kConnectWaitMs, 'failed');
    this._connection = this._deps.connect({
      onConnect: (result) => {
        // A refusal is reported to the detector itself, as that of any other connection is.
        if (result !== 'refused') {
          this._resume(connecting, result);
        }
      },
      onClosed: () => {
        this._resume(holding, 'closed');
      },
    });
    if (!this._connection) {
      this._resume(connecting, 'failed');
    }
  }

  /** Resumes the check after a time, unless an event does so before. */
  private _resumeAfter(ms: number, observation: LivenessObservation): void {
    const effect = this._effects;
    this._timer = setTimeout(() => {
      // After a stall of this process, pending refusals and closes are processed before the immediate.
      setImmediate(() => {
        this._resume(effect, observation);
      });
    }, ms);
  }

  private _resume(effect: number, observation: LivenessObservation): void {
    const check = this._check;
    if (check && effect === this._effects) {
      clearTimeout(this._timer);
      this._advance(check.next(observation));
    }
  }

  private _conclude(liveness: Liveness): void {
    this._stopCheck();
    if (liveness === 'connected' && this._deps.hasConnectionOlderThan(this._firstLossAt)) {
      this._firstLossAt = Infinity;
    }
    this._finish(false);
  }

  private _stopCheck(): void {
    clearTimeout(this._timer);
    this._check = undefined;
    this._effects++;
    this._connection?.release();
    this._connection = undefined;
  }

  private _finish(crashed: boolean): void {
    clearTimeout(this._timer);
    this._refused = false;
    const runs = this._interruptedRuns;
    this._interruptedRuns = [];
    if (crashed) {
      this._report(runs);
    }
    for (const { call, sentAt, done } of runs) {
      if (!crashed) {
        this.addAbandoned(call, sentAt);
      }
      done(crashed);
    }
  }

  private _report(interrupted: readonly SentCall[]): void {
    const now = monotonicMs();
    const recent = this._abandoned.filter(({ abandonedAt }) => abandonedAt > now - kAbandonedMs);
    this._abandoned = [];
    const latestSentAt = now - this._firstLossAt > kMaxExitMs ? Infinity : this._firstLossAt;
    const inFlight = [...interrupted, ...recent].filter(({ sentAt }) => sentAt <= latestSentAt);
    if (inFlight.length > 0) {
      this._deps.onCrash(inFlight.map(({ call }) => call));
    }
  }
}
