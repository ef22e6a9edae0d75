/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Simulated gate and target on virtual time. The target states rate limits that change; responses are delayed and overtake each other. */

import { type GatedCall, type Random, SlotGate } from '@gentiandrum/core';
import type { VirtualTime } from '../support/virtualTime.js';

const kSlots = 30;
const kCheckMs = 10;
const kMaxWaitMs = 400;
const kMaxRunMs = 60;
const kMaxTransitMs = 40;
/** Time for which a restarted gate refuses calls, in milliseconds. */
const kRestartMs = 300;
const kLostShare = 0.02;
const kNotSentShare = 0.05;

/** A change of the limit that the target states; undefined for none. */
export interface LimitChange {
  at: number;
  limit: number | undefined;
}

interface SimulatedCall extends GatedCall {
  sentAt: number;
}

/** A gate and its target. */
export class RateLimitedTarget {
  /** Times at which requests were sent to the target, in milliseconds. */
  readonly sends: number[] = [];
  /** Times from which the gate knew a statement, with the limit. */
  readonly statements: { at: number; limit: number }[] = [];
  readonly refusals = new Map<string, number>();
  private _gate: SlotGate<SimulatedCall>;
  private _nextId = 0;
  /** Increases with each restart; responses to an earlier gate are lost. */
  private _generation = 0;
  private _frozenUntil = 0;
  private readonly _backlog: (() => void)[] = [];

  constructor(
    private readonly _time: VirtualTime,
    private readonly _random: Random,
    private readonly _changes: readonly LimitChange[],
  ) {
    this._gate = this._createGate();
    this._gate.open(kSlots, 0);
    this._scheduleCheck();
  }

  /** Limit that the target states at a time; undefined for none. */
  limitAt(at: number): number | undefined {
    return this._changes.filter((change) => change.at <= at).at(-1)?.limit;
  }

  /** Offers a call, which some callers cancel while it waits. */
  offer(): void {
    this._whenRunning(() => {
      const gate = this._gate;
      const call: SimulatedCall = { id: this._nextId++, waitUntil: this._time.now + this._random() * kMaxWaitMs, rank: 1, sentAt: 0 };
      const result = gate.offer(call);
      if (result.kind === 'started') {
        this._send(call);
      } else if (result.kind === 'refused') {
        this._countRefusal(result.reason);
      } else if (this._random() < 0.1) {
        this._time.after(this._random() * kMaxWaitMs, () => gate.withdraw(call));
      }
    });
  }

  /** Suspends the gate: what arrives meanwhile is handled afterwards, all at once. */
  freeze(ms: number): void {
    this._frozenUntil = Math.max(this._frozenUntil, this._time.now + ms);
    this._time.after(ms + 1, () => {
      if (this._time.now > this._frozenUntil) {
        this._backlog.splice(0).forEach((run) => {
          run();
        });
      }
    });
  }

  /** Replaces the gate by a new one that restores the limit from the record of the earlier one. */
  restart(): void {
    const published = this._gate.rateLimiter.statedRate;
    this._gate.close();
    this._generation++;
    this._gate = this._createGate();
    if (published !== undefined) {
      this._gate.rateLimiter.state(published, this._time.now);
    }
    const gate = this._gate;
    this._time.after(kRestartMs, () => {
      if (gate === this._gate) {
        gate.open(kSlots, 0);
      }
    });
  }

  private _createGate(): SlotGate<SimulatedCall> {
    return new SlotGate<SimulatedCall>({
      onStart: (call) => {
        this._send(call);
      },
      onRefuse: (_, reason) => {
        this._countRefusal(reason);
      },
    });
  }

  private _whenRunning(run: () => void): void {
    if (this._time.now < this._frozenUntil) {
      this._backlog.push(run);
    } else {
      run();
    }
  }

  private _scheduleCheck(): void {
    this._time.after(kCheckMs, () => {
      if (this._time.now >= this._frozenUntil) {
        this._gate.startWaiting();
      }
      this._scheduleCheck();
    });
  }

  private _send(call: SimulatedCall): void {
    const gate = this._gate;
    if (this._random() < kNotSentShare) {
      this._time.after(1, () => {
        gate.callNotSent(call.id);
      });
      return;
    }
    call.sentAt = this._time.now;
    this.sends.push(call.sentAt);
    const generation = this._generation;
    this._time.after(this._random() * kMaxRunMs, () => {
      const limit = this.limitAt(this._time.now);
      this._time.after(this._random() * kMaxTransitMs, () => {
        this._whenRunning(() => {
          if (generation === this._generation) {
            this._receive(gate, call, limit);
          }
        });
      });
    });
  }

  private _receive(gate: SlotGate<SimulatedCall>, call: SimulatedCall, limit: number | undefined): void {
    const { now } = this._time;
    if (this._random() >= kLostShare) {
      if (limit === undefined) {
        gate.rateLimiter.recordUnlimited(call.sentAt, now);
      } else {
        gate.rateLimiter.state(limit, now);
        // Requests in the same millisecond may have been sent before.
        this.statements.push({ at: now + 1, limit });
      }
    }
    gate.callEnded(call.id, now - call.sentAt);
  }

  private _countRefusal(reason: string): void {
    this.refusals.set(reason, (this.refusals.get(reason) ?? 0) + 1);
  }
}
