/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Whether the calls to one route inherit the deadlines of the runs that make them. */

import { type DeadlineObservation, exceedsChance } from './deadlineObservation.js';
import { RouteCap } from './routeCap.js';

/** Observations before the deadlines of a route can be used. */
const kMinObservations = 40;
/** Recent observations that determine the shares; enough that a few late calls do not cross the lower threshold. */
const kMaxObservations = 100;
/** Share of matched calls from which deadlines are used, and below which they are no longer used. */
const kMinSharedToUse = 0.85;
const kMinSharedToKeep = 0.7;
/**
 * Share of calls with inherited deadlines, accidental matches discounted, that is required as well: with some hundred runs in flight most
 * arbitrary deadlines lie near the one of a run.
 */
const kMinInheritedToUse = 0.5;
const kMinInheritedToKeep = 0.25;

export class RouteInheritance {
  private readonly _cap = new RouteCap();
  /** Recent calls that are not capped, in a ring. */
  private _observations: DeadlineObservation[] = [];
  private _next = 0;
  /** Sums over the observations; kept up to date, because each call needs them. */
  private _matched = 0;
  private _chance = 0;
  private _inherits = false;

  get inherits(): boolean {
    return this._inherits;
  }

  get capMs(): number | undefined {
    return this._cap.capMs;
  }

  isCapped(remainingMs: number): boolean {
    return this._cap.isCapped(remainingMs);
  }

  record(observation: DeadlineObservation): void {
    if (this._cap.record(observation)) {
      this._removeCapped();
    }
    if (this._cap.isCapped(observation.remainingMs)) {
      return;
    }
    this._add(observation);
    this._decide();
  }

  private _add(observation: DeadlineObservation): void {
    const replaced = this._observations[this._next];
    this._observations[this._next] = observation;
    this._next = (this._next + 1) % kMaxObservations;
    this._matched += Number(observation.matched) - Number(replaced?.matched ?? false);
    this._chance += observation.chance - (replaced?.chance ?? 0);
  }

  /** Removes the calls that were recorded before the cap was known. */
  private _removeCapped(): void {
    const oldestFirst = [...this._observations.slice(this._next), ...this._observations.slice(0, this._next)];
    this._observations = [];
    this._next = 0;
    this._matched = 0;
    this._chance = 0;
    for (const observation of oldestFirst) {
      if (!this._cap.isCapped(observation.remainingMs)) {
        this._add(observation);
      }
    }
  }

  private _decide(): void {
    const count = this._observations.length;
    if (count < kMinObservations) {
      return;
    }
    const shares = { matched: this._matched / count, chance: this._chance / count };
    this._inherits = this._inherits
      ? shares.matched >= kMinSharedToKeep && exceedsChance(shares, kMinInheritedToKeep)
      : shares.matched >= kMinSharedToUse && exceedsChance(shares, kMinInheritedToUse);
  }
}
