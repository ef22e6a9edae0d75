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
import { CallerMix } from './callerMix.js';
import { CallRatios } from './callRatios.js';

/** Least weight of the newest answer's level, and the silence after which it counts half, in milliseconds. */
const kLeastWeight = 0.15;
const kRenewMs = 150;
/** Time in which a level that no answer renews is halved, in milliseconds. */
const kHalfLifeMs = 700;
/** How often samples are closed and ratios solved, in milliseconds. */
const kSampleMs = 200;
const kSolveMs = 1_000;
/** Part of a level that each hop passes on: a loop that the fit made up dies out. */
const kPassedOn = 0.98;
/** Longest chain that is told apart. */
const kMaxHeight = 64;

/** What a gate says of a route with each answer. */
export interface RouteReport {
  /** Share of people's requests on this route to turn away where they enter. */
  level: number;
  /** Whether only targets call the route; undefined while that isn't known. */
  inner: boolean | undefined;
  /** Longest chain of calls below the route. */
  height: number;
}

interface RouteState extends RouteReport {
  at: number;
}

/** Chains as one daemon knows them. */
export class ChainModel {
  private readonly _mix = new CallerMix();
  private readonly _ratios = new CallRatios();
  private readonly _routes = new Map<string, RouteState>();
  private _sampledAt = monotonicMs();
  private _solvedAt = monotonicMs();

  /** Notes a call that came to the gate of this host. */
  arrived(route: string, callerService: string): void {
    this._mix.note(route, callerService);
  }

  /** Notes that the target of this host began a run. */
  ran(route: string): void {
    this._ratios.ran(route);
  }

  /** Notes a request that entered at this host; only calls of the target tell something of its runs. */
  entered(route: string): void {
    if (this.inner(route) === true) {
      this._ratios.called(route);
    }
  }

  /** Learns from an answer to a request that entered at this host. */
  learn(route: string, report: RouteReport): void {
    const known = this._routes.get(route);
    const now = monotonicMs();
    const before = known?.level ?? 0;
    const weight = Math.max(kLeastWeight, 1 - 0.5 ** ((now - (known?.at ?? 0)) / kRenewMs));
    const level = before + (report.level - before) * weight;
    this._routes.set(route, { level, inner: report.inner ?? known?.inner, height: report.height, at: now });
  }

  /** Share of people's requests on a route to turn away, as of now. */
  level(route: string): number {
    const known = this._routes.get(route);
    return known ? known.level * 0.5 ** ((monotonicMs() - known.at) / kHalfLifeMs) : 0;
  }

  /** Whether only targets call the route, as far as this daemon was told. */
  inner(route: string): boolean | undefined {
    return this._routes.get(route)?.inner;
  }

  /** What the gate of this host reports of a route, its own level included. */
  report(route: string, gateLevel: number): RouteReport {
    let level = gateLevel;
    let height = 0;
    for (const call of this._ratios.callsOf(route).keys()) {
      level = Math.max(level, this.level(call) * kPassedOn);
      height = Math.max(height, Math.min(kMaxHeight, 1 + (this._routes.get(call)?.height ?? 0)));
    }
    return { level, inner: this._mix.inner(route), height };
  }

  /** Whether enough runs of a route were seen to know the chain below it. */
  settled(route: string): boolean {
    return this._ratios.settled(route);
  }

  /** Calls for one run of a route on this host. */
  callsOf(route: string): ReadonlyMap<string, number> {
    return this._ratios.callsOf(route);
  }

  /** Closes samples as time goes; called a few times a second. */
  step(): void {
    const now = monotonicMs();
    if (now - this._sampledAt >= kSampleMs) {
      this._sampledAt = now;
      this._ratios.sample();
    }
    if (now - this._solvedAt >= kSolveMs) {
      this._solvedAt = now;
      this._ratios.solve();
    }
  }
}
