/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Converts the mean durations of one host into expected ones by the slowness that its target states. */

import { kUsualSlowness } from '../targetLoad/statedLoad.js';
import { DecayingAverages } from './decayingAverages.js';

/** Bounds of a stated slowness, in percent; limit the effect of an implausible statement. */
const kMinSlowness = 20;
const kMaxSlowness = 2_000;
/**
 * Age at which a statement no longer counts, in milliseconds; its weight falls linearly until then. A target that was slow is tried again
 * after that time, however slow it was, which leaves time for a call within the 2 s after its recovery.
 */
const kStatementLifeMs = 1_500;
/** Weight of the newest result in the ratio of observed to stated durations; corrects a misstatement within about ten responses. */
const kRatioWeight = 0.2;
/** Half-life of the ratio without results, in milliseconds. */
const kRatioHalfLifeMs = 2_000;
/** Upper bound of one observation, so that a single long call does not exclude a host. */
const kMaxObservedRatio = 8;
/** Ratio that is not charged, as responses also contain waits, and slowness changes during a run. */
const kToleratedRatio = 1.25;

/** Slowness of one target. Times are monotonic, in milliseconds. */
export class SpeedStats {
  private _slowness = kUsualSlowness;
  private _statedAt: number | undefined;
  /** Slowness that the mean duration of each route includes. */
  private readonly _included: DecayingAverages;
  private _ratio = 1;
  private _ratioAt = 0;

  /** @param meanHalfLifeMs half-life of the mean durations, which the slowness that they include shares */
  constructor(meanHalfLifeMs: number) {
    this._included = new DecayingAverages(meanHalfLifeMs);
  }

  /** Records the slowness of a load report, in percent; ignores values that are not positive. */
  recordStatement(slowness: number, now: number): void {
    if (slowness > 0 && Number.isFinite(slowness)) {
      this._slowness = Math.min(kMaxSlowness, Math.max(kMinSlowness, slowness));
      this._statedAt = now;
    }
  }

  /** Records the duration of a call; `meanMs` is the mean duration of its route before this call. */
  recordDuration(route: string, tookMs: number, meanMs: number, now: number): void {
    if (this._statedAt === undefined) {
      return;
    }
    const slowness = this._slownessAt(now, this._statedAt);
    const statedMs = (meanMs * slowness) / this._included.valueAt(route, now, kUsualSlowness);
    const observed = Math.min(kMaxObservedRatio, tookMs / Math.max(1, statedMs));
    const ratio = this._ratioValue(now);
    this._ratio = ratio + (observed - ratio) * kRatioWeight;
    this._ratioAt = now;
    this._included.update(route, slowness, now, kUsualSlowness, slowness);
  }

  /** Stated slowness in percent, aged towards the usual one; undefined without a statement. */
  slowness(now: number): number | undefined {
    return this._statedAt === undefined ? undefined : this._slownessAt(now, this._statedAt);
  }

  /** Expected duration of a call on a route now, divided by the mean one. */
  factor(route: string, now: number): number {
    if (this._statedAt === undefined) {
      return 1;
    }
    const change = this._slownessAt(now, this._statedAt) / this._included.valueAt(route, now, kUsualSlowness);
    return this._ratio <= kToleratedRatio ? change : change * Math.max(1, this._ratioValue(now) / kToleratedRatio);
  }

  private _slownessAt(now: number, statedAt: number): number {
    return kUsualSlowness + (this._slowness - kUsualSlowness) * Math.max(0, 1 - (now - statedAt) / kStatementLifeMs);
  }

  private _ratioValue(now: number): number {
    return 1 + (this._ratio - 1) * 0.5 ** ((now - this._ratioAt) / kRatioHalfLifeMs);
  }
}
