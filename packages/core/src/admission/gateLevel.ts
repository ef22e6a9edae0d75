/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Share of the external requests that daemons should reject on entry, because a gate receives more work than it can run.
 *
 * The level is set by an integral controller on the offered work: completed work, refused work and the growth of the queue. It settles
 * where the offered work matches the capacity of the slots, with a short queue that keeps them busy.
 */

/** Desired queue wait, as a share of the time that calls may wait. */
const kDesiredWaitShare = 0.25;
/** Weight of the relative deviation from the desired wait, compared with the excess of work. */
const kWaitWeight = 0.05;
/** Largest ratio of the wait to the desired wait that is taken into account. */
const kMaxWaitRatio = 4;
/**
 * Change of the level per second for an excess of 1, at level 0. Too high a gain makes the level oscillate, because a change
 * reaches the gate only after the duration of a chain.
 */
const kGain = 0.8;
/**
 * The gain is multiplied by the admitted share, but at least by this factor. At a high level, a step changes a larger part of the admitted
 * work, and the full gain would make the level oscillate: a gate with 2.2 times its work, whose steps show after 1.1 s, would be kept 78%
 * busy instead of 99%.
 */
const kMinGainShare = 0.25;
/** Largest absolute excess that is taken into account, so that a short burst does not raise the level too far. */
const kMaxExcess = 0.7;
/**
 * Share of arrivals that may be refused for lack of capacity while the slots look idle. Above it, the level rises with the excess: a limit
 * other than the slots, such as connections, causes the refusals. Without this, a limit of 100 connections at a service that admitted 120
 * calls made it refuse six calls of ten while its level stayed at 0. With busy slots, only the work determines the level; this share would
 * make a steady overload refuse more requests.
 */
const kToleratedRefusalShare = 0.1;
/** Completed work, as a share of the capacity of the slots, below which the slots look idle. */
const kIdleWorkShare = 0.8;
/** Half-life of an arrival's weight in the refused share, in milliseconds, and the minimum number of arrivals to compute it. */
const kRefusalHalfLifeMs = 500;
const kMinArrivals = 5;
/** Admitted share from which the level follows a change of the rate limit at least; otherwise a level of 1 would not fall with it. */
const kMinAdmittedShare = 0.05;
/** Calls that a rate limit allows between two updates of the level, and the longest interval, in milliseconds. */
const kCallsPerStep = 2;
const kMaxStepMs = 1_000;
/** Time constant of the mean of the offered load, and the time in which the load shows a change of the service's capacity, in milliseconds. */
const kLoadMeanMs = 1_000;
/** Time constant of the usual demand, in milliseconds: several times as long as a lost host may go unnoticed. */
const kUsualDemandMs = 10_000;
/**
 * Smallest factor of the capacity that is followed within {@link kLoadMeanMs}. A gate that is cut off from most of its service would
 * otherwise reject nearly everything, although its own load may not grow. The controller follows a larger loss as the load shows it.
 */
const kMinRoomFactor = 0.5;
/** Weight of the latest call in the mean time that calls may wait. */
const kAllowedWaitWeight = 0.02;

/** Level of one gate: 0 rejects no external request, 1 rejects all. */
export class GateLevel {
  private _level = 0;
  private _workMs = 0;
  private _meanAllowedWaitMs = 0;
  private _lastWaitMs = 0;
  private _completedWorkMs = 0;
  private _arrivals = 0;
  private _refused = 0;
  private _sinceStepMs = 0;
  private _intervalMs = 0;
  private _meanOfferedLoad = 0;
  /** Load that the gate would receive at level 0: its recent and its usual mean, and the time for which it was recorded. */
  private _recentDemand = 0;
  private _usualDemand = 0;
  private _observedMs = 0;
  /** Product of the recently followed factors of the service's capacity, which returns to 1 with the time constant of the mean load. */
  private _recentRoomFactor = 1;
  /** Product of the factors that were not followed, at most 1. Growth first makes up for it, so that a flap leaves the level as it was. */
  private _skippedRoomFactor = 1;

  /** Level after the last step. */
  get current(): number {
    return this._level;
  }

  /** Records an arrival; `allowedWaitMs` is the time that the call may wait. */
  recordArrival(allowedWaitMs: number): void {
    this._arrivals++;
    this._meanAllowedWaitMs += (allowedWaitMs - this._meanAllowedWaitMs) * (this._meanAllowedWaitMs === 0 ? 1 : kAllowedWaitWeight);
  }

  /** Records completed work, in milliseconds of the whole gate: the duration of a call divided by the number of slots. */
  recordWork(ms: number): void {
    this._workMs += ms;
    this._completedWorkMs += ms;
  }

  /** Records a refused call; `ms` is its expected work, in the unit of {@link recordWork}. */
  recordRefusal(ms: number): void {
    this._refused++;
    this._workMs += ms;
  }

  /** Records a call that was refused for the target's rate limit, a capacity that the work includes. */
  recordRateLimited(ms: number): void {
    this._workMs += ms;
  }

  /**
   * Updates the level for the time since the last call of this method; `waitMs` is the expected wait of a call at the end of the queue,
   * `intervalMs` the time between calls at the target's rate limit, 0 without one. The lower the limit, the rarer are the updates: the
   * work of one call must not exceed the largest excess that is taken into account.
   */
  step(waitMs: number, sinceMs: number, intervalMs = 0): void {
    this._followRateLimit(intervalMs);
    this._sinceStepMs += sinceMs;
    if (this._sinceStepMs >= Math.min(kMaxStepMs, kCallsPerStep * intervalMs)) {
      this._update(waitMs, this._sinceStepMs);
      this._sinceStepMs = 0;
    }
  }

  /** When the rate limit changes, the admitted share changes in proportion. Without it, the level would need seconds to follow. */
  private _followRateLimit(intervalMs: number): void {
    const factor = this._intervalMs > 0 && intervalMs > 0 ? this._intervalMs / intervalMs : 1;
    if (factor !== 1) {
      this._workMs /= factor;
      const admittedShare = Math.max(kMinAdmittedShare, 1 - this._level);
      this._level = this._level > 0 ? Math.min(1, Math.max(0, 1 - admittedShare * factor)) : 0;
    }
    this._intervalMs = intervalMs;
  }

  /**
   * Adapts the level to a change of the service's capacity by `factor`, as this gate receives 1/`factor` of its work at the same level. The
   * admitted share falls only as far as the expected load exceeds 1, and rises by the factor as far as the load leaves capacity.
   */
  followRoom(factor: number): void {
    if (!(factor > 0 && Number.isFinite(factor))) {
      return;
    }
    const bounded = factor < 1 ? this._boundLoss(factor) : this._boundGrowth(factor);
    const followed = bounded < 1 ? Math.min(1, bounded * this._visibleGrowth()) : bounded;
    this._skippedRoomFactor = Math.min(1, (this._skippedRoomFactor * bounded) / followed);
    // A load above 1 may already show the lost capacity; dividing by both would reject that part twice.
    const offered = this._meanOfferedLoad + this._excessQueueLoad();
    const load = followed < 1 ? Math.min(1, offered) : offered;
    const ratio = followed < 1 ? Math.min(1, followed / Math.max(load, followed)) : Math.max(1, followed / Math.max(1, load));
    const admittedShare = Math.min(1, (1 - this._level) * ratio);
    const admittedRatio = this._level < 1 ? admittedShare / (1 - this._level) : 1;
    this._level = 1 - admittedShare;
    this._meanOfferedLoad = (Math.min(this._meanOfferedLoad, load) * admittedRatio) / followed;
    this._recentDemand /= followed;
    this._usualDemand /= factor;
  }

  /**
   * Factor by which the demand has grown. If it grew before the loss was noticed, the controller has followed it already: a level that followed
   * a loss twice, noticed 2 s late, cost a fifth of the goodput of some intervals of 250 ms.
   */
  private _visibleGrowth(): number {
    return this._usualDemand > 0 ? Math.max(1, this._recentDemand / this._usualDemand) : 1;
  }

  private _boundLoss(factor: number): number {
    const followed = Math.min(1, Math.max(factor, kMinRoomFactor / this._recentRoomFactor));
    this._skippedRoomFactor *= factor / followed;
    this._recentRoomFactor *= followed;
    return followed;
  }

  private _boundGrowth(factor: number): number {
    const madeUp = Math.min(factor, 1 / this._skippedRoomFactor);
    this._skippedRoomFactor = Math.min(1, this._skippedRoomFactor * madeUp);
    const followed = factor / madeUp;
    this._recentRoomFactor = Math.min(1, this._recentRoomFactor * followed);
    return followed;
  }

  /** Load that running the queue above the desired wait within {@link kLoadMeanMs} adds. */
  private _excessQueueLoad(): number {
    return Math.max(0, this._lastWaitMs - this._meanAllowedWaitMs * kDesiredWaitShare) / kLoadMeanMs;
  }

  private _recordOfferedLoad(offeredLoad: number, elapsedMs: number): void {
    const weight = 1 - Math.exp(-elapsedMs / kLoadMeanMs);
    this._meanOfferedLoad += (Math.max(0, offeredLoad) - this._meanOfferedLoad) * weight;
    this._recentRoomFactor += (1 - this._recentRoomFactor) * weight;
    const demand = Math.max(0, offeredLoad) / Math.max(kMinAdmittedShare, 1 - this._level);
    this._observedMs += elapsedMs;
    const usualWeight = Math.max(1 - Math.exp(-elapsedMs / kUsualDemandMs), elapsedMs / this._observedMs);
    this._recentDemand += (demand - this._recentDemand) * weight;
    this._usualDemand += (demand - this._usualDemand) * usualWeight;
  }

  private _update(waitMs: number, elapsedMs: number): void {
    const offeredLoad = (this._workMs + waitMs - this._lastWaitMs) / elapsedMs;
    if (elapsedMs > 0) {
      this._recordOfferedLoad(offeredLoad, elapsedMs);
    }
    const desiredWaitMs = this._meanAllowedWaitMs * kDesiredWaitShare;
    const waitRatio = desiredWaitMs > 0 ? Math.min(kMaxWaitRatio, waitMs / desiredWaitMs) : 0;
    const excess = offeredLoad - 1 + kWaitWeight * (waitRatio - 1);
    const boundedExcess = Math.min(kMaxExcess, Math.max(-kMaxExcess, excess, this._refusalExcess(elapsedMs)));
    const gain = kGain * Math.max(kMinGainShare, 1 - this._level);
    this._level = Math.min(1, Math.max(0, this._level + (gain * boundedExcess * elapsedMs) / 1_000));
    this._workMs = 0;
    this._lastWaitMs = waitMs;
  }

  /** Recently refused share of arrivals above the tolerated share; `-Infinity` when it is not above, or the slots are busy. */
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
