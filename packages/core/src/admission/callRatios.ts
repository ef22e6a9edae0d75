/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Estimates how many downstream calls a run of each route makes, by a least-squares regression of the calls that start on
 * a host on the runs that start there, over short samples. It relies on independent fluctuation of the routes' runs.
 */

/** Factor applied to the weight of earlier samples at each new sample. */
const kSampleDecay = 0.995;
/** Rounds of coordinate descent per solution; more make no visible difference for a handful of routes. */
const kDescentRounds = 25;
/** Ratios below this value are treated as noise of the fit. */
const kMinRatio = 0.25;
/** Runs of a route that are required before its ratios are used. */
const kMinRuns = 30;
/** Runs and samples of a route after which its ratios count as estimated, even if there are none. */
const kMinRunsToEstimate = 100;
const kMinSamplesToEstimate = 25;

/** Estimated downstream calls per run, for the routes of one host. */
export class CallRatios {
  private _runs = new Map<string, number>();
  private _calls = new Map<string, number>();
  private readonly _totalRuns = new Map<string, number>();
  private readonly _firstSample = new Map<string, number>();
  private _samples = 0;
  private readonly _runProducts = new Map<string, Map<string, number>>();
  private readonly _callProducts = new Map<string, Map<string, number>>();
  private _ratios = new Map<string, Map<string, number>>();
  /** Ratios estimated by an earlier process of this daemon or on another host. */
  private readonly _restored = new Map<string, ReadonlyMap<string, number>>();

  /** Sets the ratios of a route that are used until the route is estimated locally. */
  restore(route: string, calls: ReadonlyMap<string, number>): void {
    this._restored.set(route, calls);
  }

  /** Routes whose ratios are estimated, locally or by restored data. */
  estimatedRoutes(): string[] {
    return [...new Set([...this._totalRuns.keys(), ...this._restored.keys()])].filter((route) => this.isEstimated(route));
  }

  /** Records the start of a run of a route. */
  recordRun(route: string): void {
    add(this._runs, route, 1);
    add(this._totalRuns, route, 1);
  }

  /** Records a call to a route that starts on this host. */
  recordCall(route: string): void {
    add(this._calls, route, 1);
  }

  /** Closes the current sample and adds it to the regression. */
  closeSample(): void {
    this._samples++;
    for (const route of this._runs.keys()) {
      if (!this._firstSample.has(route)) {
        this._firstSample.set(route, this._samples);
      }
    }
    decay(this._runProducts);
    decay(this._callProducts);
    for (const [route, runs] of this._runs) {
      const row = getOrCreateRow(this._runProducts, route);
      for (const [other, otherRuns] of this._runs) {
        add(row, other, runs * otherRuns);
      }
    }
    for (const [call, calls] of this._calls) {
      const row = getOrCreateRow(this._callProducts, call);
      for (const [route, runs] of this._runs) {
        add(row, route, runs * calls);
      }
    }
    this._runs = new Map();
    this._calls = new Map();
  }

  /** Recomputes the ratios from all samples. */
  solve(): void {
    this._ratios = new Map();
    for (const [call, products] of this._callProducts) {
      for (const [route, ratio] of this._solveFor(products)) {
        if (ratio >= kMinRatio && (this._totalRuns.get(route) ?? 0) >= kMinRuns) {
          getOrCreateRow(this._ratios, route).set(call, ratio);
        }
      }
    }
  }

  /** Whether the ratios of a route are restored or based on enough runs and samples. */
  isEstimated(route: string): boolean {
    return this._restored.has(route) || this._isEstimatedLocally(route);
  }

  private _isEstimatedLocally(route: string): boolean {
    return (
      (this._totalRuns.get(route) ?? 0) >= kMinRunsToEstimate &&
      this._samples - (this._firstSample.get(route) ?? this._samples) >= kMinSamplesToEstimate
    );
  }

  /** Estimated number of calls per run of a route, by the called route. */
  callsOf(route: string): ReadonlyMap<string, number> {
    const restored = this._isEstimatedLocally(route) ? undefined : this._restored.get(route);
    return restored ?? this._ratios.get(route) ?? kNoCalls;
  }

  /** Solves the non-negative least-squares problem for one called route by coordinate descent. */
  private _solveFor(products: ReadonlyMap<string, number>): Map<string, number> {
    const ratios = new Map<string, number>();
    for (let round = 0; round < kDescentRounds; round++) {
      for (const [route, row] of this._runProducts) {
        const diagonal = row.get(route) ?? 0;
        let residual = products.get(route) ?? 0;
        for (const [other, product] of row) {
          residual -= other === route ? 0 : product * (ratios.get(other) ?? 0);
        }
        ratios.set(route, diagonal > 0 ? Math.max(0, residual / diagonal) : 0);
      }
    }
    return ratios;
  }
}

const kNoCalls: ReadonlyMap<string, number> = new Map();

function add(counts: Map<string, number>, key: string, by: number): void {
  counts.set(key, (counts.get(key) ?? 0) + by);
}

function getOrCreateRow(rows: Map<string, Map<string, number>>, key: string): Map<string, number> {
  let row = rows.get(key);
  if (!row) {
    row = new Map();
    rows.set(key, row);
  }
  return row;
}

function decay(rows: Map<string, Map<string, number>>): void {
  for (const row of rows.values()) {
    for (const [key, value] of row) {
      row.set(key, value * kSampleDecay);
    }
  }
}
