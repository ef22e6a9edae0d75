/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Tracks, for each route, the levels of its downstream chain, whether the route is internal, and the length of the chain.
 * Gates report these values with their responses. A daemon includes the downstream levels in its own reports, so levels
 * propagate hop by hop to the daemons where requests enter.
 */

import { monotonicMs } from '../util/clock.js';
import { InternalRouteDetector } from './internalRouteDetector.js';
import { CallRatios } from './callRatios.js';
import type { LearnedChains } from './learnedChains.js';

/** Age up to which a host's level is fresh, in milliseconds; also the half-life of the newest level once none is fresh. */
const kReportFreshMs = 1_000;
/**
 * Time for which the level of a route is cached, in milliseconds; lower levels apply at once. Each call and response reads it: looking
 * through the levels of 100 hosts takes 2.9 microseconds, the cache 0.2. It is a twentieth of the time in which a change of the level shows
 * at a gate.
 */
const kLevelCacheMs = 50;
/** Intervals at which samples are closed and call ratios are computed, in milliseconds. */
const kSampleMs = 200;
const kSolveMs = 1_000;
/** Factor applied to a level at each hop, so that levels decay in a loop caused by wrong call ratios. */
const kLevelFactorPerHop = 0.98;
/** Largest chain length that is reported. */
const kMaxChainLength = 64;
/** Weight of the latest successful run in the mean number of its calls. */
const kCompletedWeight = 0.05;
/** Largest number of gates that is reported; it bounds the growth of the number in a loop caused by wrong call ratios. */
const kMaxGates = 200;

/** Report of a gate on a route, sent with each response. */
export interface RouteReport {
  /** Share of the external requests on this route to reject where they enter. */
  level: number;
  /** Whether only targets call the route; undefined while this is unknown. */
  inner: boolean | undefined;
  /** Length of the longest downstream call chain. */
  height: number;
  /** Expected number of gates that one call on the route passes in sequence, itself included; undefined while it is unknown. */
  gates?: number | undefined;
}

interface HostLevel {
  level: number;
  at: number;
}

interface RouteState {
  inner: boolean | undefined;
  height: number;
  gates: number | undefined;
  /** Levels by the host that reported them. */
  levels: Map<string, HostLevel>;
  /** Level as last computed, with its time. */
  cachedLevel: HostLevel;
}

/** Downstream chains of routes, as known to one daemon. */
export class ChainModel {
  private readonly _internalRoutes = new InternalRouteDetector();
  private readonly _ratios = new CallRatios();
  private readonly _routes = new Map<string, RouteState>();
  /** Mean number of calls of a successful run, by route. */
  private readonly _completedCalls = new Map<string, number>();
  private _sampledAt = monotonicMs();
  private _solvedAt = monotonicMs();

  /** Records a call that arrived at the gate of this host. */
  recordArrival(route: string, callerService: string, keyed = false): void {
    this._internalRoutes.recordArrival(route, callerService, keyed);
  }

  /** Records the start of a run at the target of this host. */
  recordRun(route: string): void {
    this._ratios.recordRun(route);
  }

  /** Records a request that entered at this host. Only requests on internal routes count as calls of the target. */
  recordEntry(route: string): void {
    if (this.isInternal(route) === true) {
      this._ratios.recordCall(route);
    }
  }

  /** Records the number of calls that a successful run made, as far as they are known. */
  recordCompletedRun(route: string, calls: number): void {
    const mean = this._completedCalls.get(route) ?? calls;
    this._completedCalls.set(route, mean + (calls - mean) * kCompletedWeight);
  }

  /** Applies the report of a host's gate in the response to a request that entered at this host. */
  recordReport(route: string, host: string, report: RouteReport): void {
    const state = this._getOrCreateState(route);
    state.inner = report.inner ?? state.inner;
    state.height = report.height;
    state.gates = isPlausibleGates(report.gates) ? report.gates : state.gates;
    const now = monotonicMs();
    // Levels are not smoothed here: gates integrate them over time already, and a mean would add 0.2 s a hop to the time in which a step of
    // the level shows at the gate, so that the level would oscillate.
    state.levels.set(host, { level: report.level, at: now });
    state.cachedLevel.level = Math.min(state.cachedLevel.level, report.level);
  }

  /**
   * Removes the levels that a host reported, because it can't be reached. As the lowest fresh level counts, they would otherwise hide a higher
   * level of the remaining hosts for a second. The level of the only known host stays and ages.
   */
  forgetHost(host: string): void {
    for (const state of this._routes.values()) {
      if (state.levels.size > 1 && state.levels.delete(host)) {
        state.cachedLevel.at = -Infinity;
      }
    }
  }

  /**
   * Share of the external requests on a route to reject now: the lowest fresh level of the hosts, because calls are routed
   * to hosts with capacity.
   */
  level(route: string): number {
    const state = this._routes.get(route);
    if (!state) {
      return 0;
    }
    const now = monotonicMs();
    if (now - state.cachedLevel.at > kLevelCacheMs) {
      state.cachedLevel = { level: this._computeLevel(state, now), at: now };
    }
    return state.cachedLevel.level;
  }

  /** Whether only targets call the route, by the reports received; undefined while this is unknown. */
  isInternal(route: string): boolean | undefined {
    return this._routes.get(route)?.inner;
  }

  /** Report of this host's gate on a route, including the gate's own level. */
  report(route: string, gateLevel: number): RouteReport {
    let level = gateLevel;
    let height = 0;
    let calls = 0;
    let gatesBelow = 0;
    for (const [call, ratio] of this._ratios.callsOf(route)) {
      level = Math.max(level, this.level(call) * kLevelFactorPerHop);
      const called = this._routes.get(call);
      height = Math.max(height, Math.min(kMaxChainLength, 1 + (called?.height ?? 0)));
      calls += ratio;
      gatesBelow += ratio * (called?.gates ?? 1);
    }
    const inner = this._internalRoutes.isInternal(route);
    const gates = this.isEstimated(route) ? Math.min(kMaxGates, 1 + this._ofCompleteRun(route, gatesBelow, calls)) : undefined;
    return { level, inner, height, gates };
  }

  /** Expected number of calls of a run that succeeds. */
  callsPerRun(route: string): number {
    return this._completeCalls(
      route,
      this.sumDownstream(route, () => 1),
    );
  }

  private _completeCalls(route: string, meanCalls: number): number {
    return Math.max(meanCalls, this._completedCalls.get(route) ?? 0);
  }

  /**
   * Gates below a run that succeeds. The ratios include runs that failed before their last calls: at 1.6 times the capacity, 5.6 to 7.4 gates
   * were expected of runs that pass 9, so that their first calls waited for too long.
   */
  private _ofCompleteRun(route: string, gatesBelow: number, calls: number): number {
    return calls > 0 ? (gatesBelow * this._completeCalls(route, calls)) / calls : 0;
  }

  /** Sums `valueOf` over the downstream calls of one run of a route. `valueOf` returns the value per call of a called route. */
  sumDownstream(route: string, valueOf: (call: string) => number): number {
    let sum = 0;
    for (const [call, ratio] of this._ratios.callsOf(route)) {
      sum += ratio * valueOf(call);
    }
    return sum;
  }

  /** Whether the downstream calls of a route are estimated. */
  isEstimated(route: string): boolean {
    return this._ratios.isEstimated(route);
  }

  /**
   * Learned data of the routes that run here, to restore after a restart. Without it, a daemon applies no downstream levels
   * and grants few repeats until it has processed some seconds of load.
   */
  learned(): LearnedChains {
    const calls = this._ratios.estimatedRoutes().map((route) => [route, Object.fromEntries(this._ratios.callsOf(route))] as const);
    return { calls: Object.fromEntries(calls), inner: this._internalRoutes.classifications() };
  }

  /** Restores data learned earlier or on another host of the service. Local observations replace it. */
  restore({ calls, inner }: LearnedChains): void {
    for (const [route, ratios] of Object.entries(calls)) {
      this._ratios.restore(route, new Map(Object.entries(ratios)));
    }
    for (const [route, internal] of Object.entries(inner)) {
      this._internalRoutes.restore(route, internal);
    }
  }

  /** Adds classifications from other hosts for routes that have none yet. Later reports replace them. */
  mergeInternalRoutes(inner: Readonly<Record<string, boolean>>): void {
    for (const [route, internal] of Object.entries(inner)) {
      this._getOrCreateState(route).inner ??= internal;
    }
  }

  /** Closes samples and computes call ratios when they are due; called a few times a second. */
  step(): void {
    const now = monotonicMs();
    if (now - this._sampledAt >= kSampleMs) {
      this._sampledAt = now;
      this._ratios.closeSample();
    }
    if (now - this._solvedAt >= kSolveMs) {
      this._solvedAt = now;
      this._ratios.solve();
    }
  }

  private _computeLevel(state: RouteState, now: number): number {
    let lowest: number | undefined;
    let newest: HostLevel = { level: 0, at: -Infinity };
    for (const [host, reported] of state.levels) {
      if (now - reported.at <= kReportFreshMs) {
        lowest = Math.min(lowest ?? 1, reported.level);
      } else if (reported.at >= newest.at) {
        newest = reported;
      } else {
        state.levels.delete(host);
      }
    }
    return lowest ?? newest.level * 0.5 ** ((now - newest.at) / kReportFreshMs);
  }

  private _getOrCreateState(route: string): RouteState {
    let state = this._routes.get(route);
    if (!state) {
      state = { inner: undefined, height: 0, gates: undefined, levels: new Map(), cachedLevel: { level: 0, at: -Infinity } };
      this._routes.set(route, state);
    }
    return state;
  }
}

/** Whether a reported number of gates is possible: a call passes at least its own gate. */
function isPlausibleGates(gates: number | undefined): gates is number {
  return gates !== undefined && gates >= 1 && gates <= kMaxGates;
}
