/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Load that a target states in its responses, with a smoothed slowness: how long work currently takes on its machine, in percent of the
 * usual time.
 */

/** Load of a target at the time of one response. */
export interface TargetLoad {
  running: number;
  waiting: number;
  slots: number;
  /** In percent of the usual time; undefined from targets that state three figures. */
  slowness?: number | undefined;
}

/** Slowness of a machine that works as usual, in percent. */
export const kUsualSlowness = 100;

/** Bounds of the smoothed slowness, so that one wild figure is outweighed by a few usual ones. */
const kMinSlowness = 10;
const kMaxSlowness = 10_000;

/**
 * Time constants of the smoothing, in milliseconds. A quarter of the time within which a change must be followed leaves 2% of its logarithm;
 * increases are followed faster because calls that are already on their way to a slow target cannot be moved.
 */
const kIncreaseMs = 25;
const kDecreaseMs = 250;

/** Half-life of the deviation from the usual slowness without statements, in milliseconds. */
const kReturnHalfLifeMs = 1_000;

/** Latest statement of one incarnation of a target. */
export class StatedLoad {
  private _latest: TargetLoad | undefined;
  private _latestAt = -Infinity;
  /** Smoothed slowness at the latest statement of one; undefined before the first. */
  private _slowness: number | undefined;
  private _slownessAt = -Infinity;

  /** Latest statement of this incarnation; undefined before the first. */
  get latest(): TargetLoad | undefined {
    return this._latest;
  }

  /** Age of the latest statement, in milliseconds; infinite before the first. */
  ageMs(now: number): number {
    return now - this._latestAt;
  }

  /** Age of the latest statement of a slowness, in milliseconds; infinite before the first. */
  slownessAgeMs(now: number): number {
    return now - this._slownessAt;
  }

  /** Smoothed slowness, in percent; undefined while the incarnation has stated none. */
  slownessAt(now: number): number | undefined {
    if (this._slowness === undefined) {
      return undefined;
    }
    const remaining = 0.5 ** ((now - this._slownessAt) / kReturnHalfLifeMs);
    return kUsualSlowness + (this._slowness - kUsualSlowness) * remaining;
  }

  /** Records a statement in a response to a request that was sent to this incarnation. */
  record(load: TargetLoad, now: number): void {
    this._latest = load;
    this._latestAt = now;
    if (load.slowness !== undefined) {
      this._slowness = this._smooth(Math.min(kMaxSlowness, Math.max(kMinSlowness, load.slowness)), now);
      this._slownessAt = now;
    }
  }

  /** Forgets all statements, because another incarnation of the target has started. */
  reset(): void {
    this._latest = undefined;
    this._latestAt = -Infinity;
    this._slowness = undefined;
    this._slownessAt = -Infinity;
  }

  /** Smooths logarithms, as slowness is a ratio. */
  private _smooth(stated: number, now: number): number {
    const before = this.slownessAt(now);
    if (before === undefined) {
      return stated;
    }
    const timeConstantMs = stated > before ? kIncreaseMs : kDecreaseMs;
    const remaining = Math.exp((this._slownessAt - now) / timeConstantMs);
    return stated * (before / stated) ** remaining;
  }
}
