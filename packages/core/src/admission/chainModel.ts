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
import type { LearnedChains } from './learnedChains.js';

/** Age up to which a host's level counts as it is, in milliseconds; the newest one is halved with each such time after. */
const kFreshMs = 1_000;
/**
 * Time for which the level of a route is taken as it was worked out, in milliseconds, but for lower ones, which count at once: a
 * twentieth of the time in which a change of level shows at a gate. Each call and each answer asks for levels; looking through those
 * of 100 hosts takes 2.9 microseconds, this 0.2 (`bench:choice`, warm).
 */
const kLevelMs = 50;
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
  current: HostLevel;
}

/** Chains as one daemon knows them. */
export class ChainModel {
  private readonly _mix = new CallerMix();
  private readonly _ratios = new CallRatios();
  private readonly _routes = new Map<string, RouteState>();
  private _sampledAt = monotonicMs();
  private _solvedAt = monotonicMs();

  /** Notes a call that came to the gate of this host. */
  arrived(route: string, callerService: string, keyed = false): void {
    this._mix.note(route, callerService, keyed);
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

  /** Learns from an answer of a host's gate to a request that entered at this host. */
  learn(route: string, host: string, report: RouteReport): void {
    const known = this._of(route);
    known.inner = report.inner ?? known.inner;
    known.height = report.height;
    const now = monotonicMs();
    // As it is: a gate's level is a sum over time already, and a mean here would add 0.2 s a hop to the time in which a step of the
    // level shows at the gate, beyond which the level swings.
    known.levels.set(host, { level: report.level, at: now });
    known.current.level = Math.min(known.current.level, report.level);
  }

  /**
   * Share of people's requests on a route to turn away, as of now: the lowest level of the hosts heard of lately, as work goes
   * where there is room, and nobody is turned away while there is some.
   */
  level(route: string): number {
    const known = this._routes.get(route);
    if (!known) {
      return 0;
    }
    const now = monotonicMs();
    if (now - known.current.at > kLevelMs) {
      known.current = { level: this._workOutLevel(known, now), at: now };
    }
    return known.current.level;
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

  /** Sum over the calls that follow a run of a route, of a value for one call on the route of the call. */
  sumBelow(route: string, valueOf: (call: string) => number): number {
    let sum = 0;
    for (const [call, ratio] of this._ratios.callsOf(route)) {
      sum += ratio * valueOf(call);
    }
    return sum;
  }

  /** Whether enough runs of a route were seen to know the chain below it. */
  settled(route: string): boolean {
    return this._ratios.settled(route);
  }

  /**
   * What is known of the routes that run here, for the time after a restart: without it a daemon turns nobody away, and repeats
   * next to nothing, until it has seen some seconds of load.
   */
  learned(): LearnedChains {
    const calls = this._ratios.known().map((route) => [route, Object.fromEntries(this._ratios.callsOf(route))] as const);
    return { calls: Object.fromEntries(calls), inner: this._mix.judged() };
  }

  /** Takes what was learned before, or on another host of the service; what is seen here takes its place. */
  recall({ calls, inner }: LearnedChains): void {
    for (const [route, ratios] of Object.entries(calls)) {
      this._ratios.recall(route, new Map(Object.entries(ratios)));
    }
    for (const [route, isInner] of Object.entries(inner)) {
      this._mix.recall(route, isInner);
    }
  }

  /** Hears from other hosts which routes only targets call; answers to calls from here tell the same later. */
  hear(inner: Readonly<Record<string, boolean>>): void {
    for (const [route, isInner] of Object.entries(inner)) {
      this._of(route).inner ??= isInner;
    }
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

  private _workOutLevel(known: RouteState, now: number): number {
    let lowest: number | undefined;
    let newest: HostLevel = { level: 0, at: -Infinity };
    for (const [host, heard] of known.levels) {
      if (now - heard.at <= kFreshMs) {
        lowest = Math.min(lowest ?? 1, heard.level);
      } else if (heard.at >= newest.at) {
        newest = heard;
      } else {
        known.levels.delete(host);
      }
    }
    return lowest ?? newest.level * 0.5 ** ((now - newest.at) / kFreshMs);
  }

  private _of(route: string): RouteState {
    let known = this._routes.get(route);
    if (!known) {
      known = { inner: undefined, height: 0, levels: new Map(), current: { level: 0, at: -Infinity } };
      this._routes.set(route, known);
    }
    return known;
  }
}
