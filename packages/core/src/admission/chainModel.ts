/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * What one daemon knows of the chains behind routes: the levels met on them, which are made by targets, and how deep they go.
 * Each daemon learns its routes' levels from the answers it gets, and adds what it meets below to what it reports, so a level
 * at the bottom reaches the daemons where requests enter, hop by hop, with the answers themselves.
 */

import { monotonicMs } from '../util/clock.js';
import { InternalRouteDetector } from './internalRouteDetector.js';
import { CallRatios } from './callRatios.js';
import type { LearnedChains } from './learnedChains.js';

/** Age up to which a host's level counts as it is, in milliseconds; the newest one is halved with each such time after. */
const kReportFreshMs = 1_000;
/**
 * Time for which the level of a route is taken as it was worked out, in milliseconds, but for lower ones, which count at once: a
 * twentieth of the time in which a change of level shows at a gate. Each call and each answer asks for levels; looking through those
 * of 100 hosts takes 2.9 microseconds, this 0.2 (`bench:choice`, warm).
 */
const kLevelCacheMs = 50;
/** How often samples are closed and ratios solved, in milliseconds. */
const kSampleMs = 200;
const kSolveMs = 1_000;
/** Part of a level that each hop passes on: a loop that the fit made up dies out. */
const kLevelFactorPerHop = 0.98;
/** Longest chain that is told apart. */
const kMaxChainLength = 64;

/** What a gate says of a route with each answer. */
export interface RouteReport {
  /** Share of people's requests on this route to turn away where they enter. */
  level: number;
  /** Whether only targets call the route; undefined while that isn't known. */
  inner: boolean | undefined;
  /** Longest chain of calls below the route. */
  height: number;
}

interface HostLevel {
  level: number;
  at: number;
}

interface RouteState {
  inner: boolean | undefined;
  height: number;
  /** Levels by the host that reported them. */
  levels: Map<string, HostLevel>;
  /** The level as it was last worked out. */
  cachedLevel: HostLevel;
}

/** Chains as one daemon knows them. */
export class ChainModel {
  private readonly _internalRoutes = new InternalRouteDetector();
  private readonly _ratios = new CallRatios();
  private readonly _routes = new Map<string, RouteState>();
  private _sampledAt = monotonicMs();
  private _solvedAt = monotonicMs();

  /** Notes a call that came to the gate of this host. */
  recordArrival(route: string, callerService: string, keyed = false): void {
    this._internalRoutes.recordArrival(route, callerService, keyed);
  }

  /** Notes that the target of this host began a run. */
  recordRun(route: string): void {
    this._ratios.recordRun(route);
  }

  /** Notes a request that entered at this host; only calls of the target tell something of its runs. */
  recordEntry(route: string): void {
    if (this.isInternal(route) === true) {
      this._ratios.recordCall(route);
    }
  }

  /** Learns from an answer of a host's gate to a request that entered at this host. */
  recordReport(route: string, host: string, report: RouteReport): void {
    const state = this._getOrCreateState(route);
    state.inner = report.inner ?? state.inner;
    state.height = report.height;
    const now = monotonicMs();
    // As it is: a gate's level is a sum over time already, and a mean here would add 0.2 s a hop to the time in which a step of the
    // level shows at the gate, beyond which the level swings.
    state.levels.set(host, { level: report.level, at: now });
    state.cachedLevel.level = Math.min(state.cachedLevel.level, report.level);
  }

  /**
   * Share of people's requests on a route to turn away, as of now: the lowest level of the hosts heard of lately, as work goes
   * where there is room, and nobody is turned away while there is some.
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

  /** Whether only targets call the route, as far as this daemon was told. */
  isInternal(route: string): boolean | undefined {
    return this._routes.get(route)?.inner;
  }

  /** What the gate of this host reports of a route, its own level included. */
  report(route: string, gateLevel: number): RouteReport {
    let level = gateLevel;
    let height = 0;
    for (const call of this._ratios.callsOf(route).keys()) {
      level = Math.max(level, this.level(call) * kLevelFactorPerHop);
      height = Math.max(height, Math.min(kMaxChainLength, 1 + (this._routes.get(call)?.height ?? 0)));
    }
    return { level, inner: this._internalRoutes.isInternal(route), height };
  }

  /** Sum over the calls that follow a run of a route, of a value for one call on the route of the call. */
  sumDownstream(route: string, valueOf: (call: string) => number): number {
    let sum = 0;
    for (const [call, ratio] of this._ratios.callsOf(route)) {
      sum += ratio * valueOf(call);
    }
    return sum;
  }

  /** Whether enough runs of a route were seen to know the chain below it. */
  isEstimated(route: string): boolean {
    return this._ratios.isEstimated(route);
  }

  /**
   * What is known of the routes that run here, for the time after a restart: without it a daemon turns nobody away, and repeats
   * next to nothing, until it has seen some seconds of load.
   */
  learned(): LearnedChains {
    const calls = this._ratios.estimatedRoutes().map((route) => [route, Object.fromEntries(this._ratios.callsOf(route))] as const);
    return { calls: Object.fromEntries(calls), inner: this._internalRoutes.classifications() };
  }

  /** Takes what was learned before, or on another host of the service; what is seen here takes its place. */
  restore({ calls, inner }: LearnedChains): void {
    for (const [route, ratios] of Object.entries(calls)) {
      this._ratios.restore(route, new Map(Object.entries(ratios)));
    }
    for (const [route, internal] of Object.entries(inner)) {
      this._internalRoutes.restore(route, internal);
    }
  }

  /** Hears from other hosts which routes only targets call; answers to calls from here tell the same later. */
  mergeInternalRoutes(inner: Readonly<Record<string, boolean>>): void {
    for (const [route, internal] of Object.entries(inner)) {
      this._getOrCreateState(route).inner ??= internal;
    }
  }

  /** Closes samples as time goes; called a few times a second. */
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
      state = { inner: undefined, height: 0, levels: new Map(), cachedLevel: { level: 0, at: -Infinity } };
      this._routes.set(route, state);
    }
    return state;
  }
}
