/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Share of people's requests that a gate wants to be turned away where they enter, because it has more work than slots.
 * An integrator that steers the load offered to the target, waiting and refused calls included, to about its slots.
 */

/** Load, waiting calls included, as a share of the slots that is aimed at: a short queue keeps the slots busy. */
const kAimedLoad = 1.05;
/**
 * Change of the level a second for an excess of one. A change shows at the gate after the time of a chain, a few tenths of a
 * second, and one of the level moves the load by up to twice as much; above about 1.5 the level would swing.
 */
const kGain = 0.8;
/** Largest excess that counts, so that a short rush doesn't close everything. */
const kMaxExcess = 0.7;

/** Level of one gate: 0 turns nobody away, 1 everybody. */
export class GateLevel {
  private _level = 0;
  private _seenSum = 0;
  private _seenCount = 0;
  private _refusedWorkMs = 0;

  /** The level as of the last step. */
  get current(): number {
    return this._level;
  }

  /** Notes the load that a call met when it came: running and waiting calls per slot. */
  seen(load: number): void {
    this._seenSum += load;
    this._seenCount++;
  }

  /** Notes a call that was refused for want of slots; `workMs` is its work, divided by the slots. */
  refused(workMs: number): void {
    this._refusedWorkMs += workMs;
  }

  /** Steers over the time since the last step, in milliseconds. */
  step(elapsedMs: number): void {
    const met = this._seenCount > 0 ? this._seenSum / this._seenCount : 0;
    const excess = Math.min(kMaxExcess, met + this._refusedWorkMs / elapsedMs - kAimedLoad);
    this._level = Math.min(1, Math.max(0, this._level + (kGain * excess * elapsedMs) / 1_000));
    this._seenSum = 0;
    this._seenCount = 0;
    this._refusedWorkMs = 0;
  }
}
