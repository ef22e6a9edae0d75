/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Admission level of one gate: calls with a rank at or over it are refused before they queue.
 *
 * The level is recomputed at the end of each window from what the gate saw in it: tightened to what the target
 * completed when calls had to be shed or a queue stood, relaxed as soon as spare capacity was seen.
 */

import { kOpenLevel } from './rank.js';

const kWindowMs = 100;
/** Queue delay that counts as a standing queue, in milliseconds. */
const kStandingDelayMs = 20;
/** Share of the arrivals that one window refuses at the most. */
const kMaxCut = 0.5;
/** Share of the completions that is let in while overloaded; the surplus keeps the queue from running dry. */
const kSurplus = 1.05;
const kFirstStep = { goodput: 4, recovery: 32 } as const;

/** What the gate saw in a window. */
interface Window {
  start: number;
  arrivals: number;
  completions: number;
  shed: number;
  minDelay: number;
  idle: boolean;
}

/** Admission level of one gate. */
export class AdmissionLevel {
  private _level = kOpenLevel;
  private _step = 0;
  private readonly _histogram = new Uint32Array(kOpenLevel);
  private _window: Window;

  /** @param _favour what the operator favours, see `overload.favour` */
  constructor(
    private readonly _favour: () => 'goodput' | 'recovery',
    now: number,
  ) {
    this._window = emptyWindow(now);
  }

  /** The level as of `now`. */
  current(now: number): number {
    this._roll(now);
    return this._level;
  }

  /** Notes a call that arrived, whatever becomes of it. */
  arrived(rank: number, now: number): void {
    this._roll(now);
    this._window.arrivals++;
    this._histogram[rank] = (this._histogram[rank] ?? 0) + 1;
  }

  /** Notes that a call started after it had waited. `idle` tells that slots stayed free. */
  started(waitedMs: number, idle: boolean): void {
    this._window.minDelay = Math.min(this._window.minDelay, waitedMs);
    this._window.idle ||= idle;
  }

  /** Notes a call that the target ended. */
  completed(now: number): void {
    this._roll(now);
    this._window.completions++;
  }

  /** Notes a call that was shed from the queue, or found it full. */
  shed(): void {
    this._window.shed++;
  }

  private _roll(now: number): void {
    const elapsed = now - this._window.start;
    if (elapsed < kWindowMs) {
      return;
    }
    this._adjust();
    const quietWindows = Math.floor(elapsed / kWindowMs) - 1;
    for (let i = 0; i < quietWindows && this._level < kOpenLevel; i++) {
      this._relax();
    }
    this._histogram.fill(0);
    this._window = emptyWindow(now);
  }

  private _adjust(): void {
    const { shed, minDelay, idle, completions } = this._window;
    const standing = minDelay !== Infinity && minDelay > kStandingDelayMs;
    if (!idle && (shed > 0 || standing) && completions > 0) {
      this._tighten();
      return;
    }
    if (this._level < kOpenLevel && !standing) {
      this._relax();
    }
  }

  /** Lowers the level to the rank up to which arrivals fit what the target completed. */
  private _tighten(): void {
    this._step = 0;
    const { arrivals, completions } = this._window;
    const room = Math.max(completions * kSurplus, arrivals * (1 - kMaxCut));
    let admitted = 0;
    for (let rank = 0; rank < this._level; rank++) {
      admitted += this._histogram[rank] ?? 0;
      if (admitted > room) {
        this._level = Math.max(1, rank);
        return;
      }
    }
  }

  private _relax(): void {
    this._step = this._step === 0 ? kFirstStep[this._favour()] : this._step * 2;
    this._level = Math.min(kOpenLevel, this._level + this._step);
  }
}

function emptyWindow(start: number): Window {
  return { start, arrivals: 0, completions: 0, shed: 0, minDelay: Infinity, idle: false };
}
