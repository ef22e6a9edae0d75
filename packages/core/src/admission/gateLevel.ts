/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Share of people's requests that a gate wants to be turned away where they enter, because it has more work than slots.
 *
 * An integrator on the work that comes to the gate: what ran, what was refused, and what was added to the queue. It settles
 * where that is just what the slots can do, with a short queue that keeps them busy.
 */

/** Wait that is aimed at, as a share of the time that calls may wait. */
const kDesiredWaitShare = 0.25;
/** Weight of the wait, as a multiple of the aimed one, beside the excess of work. */
const kWaitWeight = 0.05;
/** Largest multiple of the aimed wait that counts. */
const kMaxWaitRatio = 4;
/**
 * Change of the level a second for an excess of one, while the level is 0. A change shows at the gate after the time of a chain,
 * up to a second under load; twice this swings (`tests/admission`).
 */
const kGain = 0.8;
/**
 * The gain follows the share that is let in, down to this: the higher the level, the more work one step of it moves. With the same
 * gain at all levels a gate that is asked for 2.2 times its work, and sees a step after 1.1 s, is kept 78% busy and refuses a
 * quarter; so it is 99% and refuses nothing.
 */
const kMinGainShare = 0.25;
/** Largest excess that counts either way, so that a short rush doesn't close everything. */
const kMaxExcess = 0.7;
/**
 * Share of arrivals that may be refused for want of room while the slots look idle. Beyond it the level rises by the excess: without this
 * a limit that no slot shows (100 connections where 120 calls were let in) had a service refuse six calls of ten for the rest of a day
 * with its level at 0. Busy slots are steered by their work alone: with this at all times, the same 18 s of a steady overload at 63 hosts
 * refused 0.155 of the requests in place of 0.121, and were worth 0.646 in place of 0.701 (one pair, played at once).
 */
const kToleratedRefusalShare = 0.1;
/** Work done, as a share of what the slots can do, below which they look idle. */
const kIdleWorkShare = 0.8;
/** Time in which the weight of an arrival in that share is halved, in milliseconds, and the fewest arrivals that it is told from. */
const kRefusalHalfLifeMs = 500;
const kMinArrivals = 5;
/** Weight of the newest call in the mean time that calls may wait. */
const kAllowedWaitWeight = 0.02;

/** Level of one gate: 0 turns nobody away, 1 everybody. */
export class GateLevel {
  private _level = 0;
  private _workMs = 0;
  private _meanAllowedWaitMs = 0;
  private _lastWaitMs = 0;
  private _completedWorkMs = 0;
  private _arrivals = 0;
  private _refused = 0;

  /** The level as of the last step. */
  get current(): number {
    return this._level;
  }

  /** Notes a call that came; `toleratedMs` is the time that it may wait. */
  recordArrival(allowedWaitMs: number): void {
    this._arrivals++;
    this._meanAllowedWaitMs += (allowedWaitMs - this._meanAllowedWaitMs) * (this._meanAllowedWaitMs === 0 ? 1 : kAllowedWaitWeight);
  }

  /** Notes work that was done, in milliseconds of the whole gate: of a call, over the slots. */
  recordWork(ms: number): void {
    this._workMs += ms;
    this._completedWorkMs += ms;
  }

  /** Notes a call that the gate could not start; `ms` is the work that it would have been, as for {@link recordWork}. */
  recordRefusal(ms: number): void {
    this._refused++;
    this._workMs += ms;
  }

  /** Steers over the time since the last step; `waitMs` is the time that a call at the end of the queue would wait. */
  step(waitMs: number, elapsedMs: number): void {
    const offeredLoad = (this._workMs + waitMs - this._lastWaitMs) / elapsedMs;
    const desiredWaitMs = this._meanAllowedWaitMs * kDesiredWaitShare;
    const waitRatio = desiredWaitMs > 0 ? Math.min(kMaxWaitRatio, waitMs / desiredWaitMs) : 0;
    const excess = offeredLoad - 1 + kWaitWeight * (waitRatio - 1);
    const boundedExcess = Math.min(kMaxExcess, Math.max(-kMaxExcess, excess, this._refusalExcess(elapsedMs)));
    const gain = kGain * Math.max(kMinGainShare, 1 - this._level);
    this._level = Math.min(1, Math.max(0, this._level + (gain * boundedExcess * elapsedMs) / 1_000));
    this._workMs = 0;
    this._lastWaitMs = waitMs;
  }

  /** Share of lately refused arrivals beyond the tolerated one; `-Infinity` when there is none, or the slots are busy. */
  private _refusalExcess(elapsedMs: number): number {
    const idle = this._completedWorkMs < kIdleWorkShare * elapsedMs;
    const share = idle && this._arrivals >= kMinArrivals ? this._refused / this._arrivals : 0;
    this._completedWorkMs = 0;
    const decay = 0.5 ** (elapsedMs / kRefusalHalfLifeMs);
    this._arrivals *= decay;
    this._refused *= decay;
    return share > kToleratedRefusalShare ? share - kToleratedRefusalShare : -Infinity;
  }
}
