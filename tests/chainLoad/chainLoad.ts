/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Model of a top service whose runs make sequential calls to a narrow service, under more load than the narrow service can run. */

import type { ExchangeResult } from '@gentiandrum/mesh';
import { type Route, routeSchema } from '@gentiandrum/protocol';
import { ChainNetwork, type ChainSwitches } from './chainNetwork.js';
import type { TargetWork } from './modelGate.js';
import { kDelayMs, ModelHost } from './modelHost.js';

/** Speeds of the targets of the narrow service, and their slots. */
const kSpeeds = [0.7, 0.7, 1.6, 0.7];
const kSlots = 20;
/** Share of the slots that a gate uses of a target without a knee. */
const kUsedSlotShare = 0.95;
const kCallMs = 30;
const kUrgentMs = 48;
/** Spread of the durations at the narrow service: standard deviation of their logarithm. */
const kSpread = 0.5;
/** Work of a top run besides its calls, in milliseconds, divided equally around them. */
const kOwnMs = 120;
/** Share of the time limit of a top request that its work takes without waits. */
const kWorkShare = 0.6;
const kUrgentShare = 0.1;
const kEntries = 3;
const kTops = 4;
/** Slots of a top target, more than it needs. */
const kTopSlots = 400;
const kServices: Readonly<Record<string, string>> = { top: 'top', feed: 'narrow', quote: 'narrow' };
const kWarmUpMs = 10_000;
const kEndMs = 30_000;
/** Time after the last arrival in which requests end, in milliseconds. */
const kDrainMs = 1_500;

export interface ChainCase {
  /** Sequential calls of a top run. */
  calls: number;
  /** Offered work, as a share of the capacity of the narrow service. */
  load: number;
  seed: number;
  switches: ChainSwitches;
}

/** Figures of the time after the warm-up; shares are from 0 to 1. */
export interface ChainOutcome {
  /** Share of the top runs that started without a response in time. */
  wasted: number;
  /** Completed top requests, as a share of those that all slots could run besides the completed urgent requests. */
  served: number;
  /** As `served`, but of the slots that gates use. */
  servedOfUsed: number;
  urgentServed: number;
  chainsServed: number;
  waitP50: number;
  waitP99: number;
  /** Mean level of the top route where requests enter. */
  level: number;
}

interface Counts {
  offered: number;
  served: number;
  started: number;
  wasted: number;
}

/** Mean duration of a call when each target receives calls in proportion to its speed, in milliseconds. */
function meanCallMs(): number {
  return (kCallMs * kSpeeds.length) / sum(kSpeeds);
}

function routesFor(calls: number): Map<string, Route> {
  const topMs = (kOwnMs + calls * (meanCallMs() + 2 * kDelayMs)) / kWorkShare;
  const routes = [
    { name: 'top', timeoutMs: topMs, latencyTargetMs: 1_500, priority: 2 },
    { name: 'feed', timeoutMs: 700, latencyTargetMs: 300, priority: 2 },
    { name: 'quote', timeoutMs: 700, latencyTargetMs: 200, priority: 0 },
  ].map((route) =>
    routeSchema.parse({
      ...route,
      host: 'model',
      prefix: '/',
      destinations: [{ service: kServices[route.name], weight: 1 }],
      idempotent: true,
    }),
  );
  return new Map(routes.map((route) => [route.name, route]));
}

/** Runs a case in virtual time. */
export function runChainCase(chainCase: ChainCase): ChainOutcome {
  const network = new ChainNetwork(chainCase.seed, chainCase.switches, routesFor(chainCase.calls));
  try {
    return new ChainLoad(network, chainCase).run();
  } finally {
    network.time.restore();
  }
}

class ChainLoad {
  private readonly _entries: ModelHost[];
  private readonly _top: Counts = { offered: 0, served: 0, started: 0, wasted: 0 };
  private readonly _urgent: Counts = { offered: 0, served: 0, started: 0, wasted: 0 };
  private readonly _waits: number[] = [];
  private readonly _levels: number[] = [];

  constructor(
    private readonly _network: ChainNetwork,
    private readonly _case: ChainCase,
  ) {
    const onStart = (waitMs: number): void => {
      if (this._isCounted()) {
        this._waits.push(waitMs);
      }
    };
    for (const [i, speed] of kSpeeds.entries()) {
      new ModelHost(_network, `narrow-${i}`, 'narrow', { slots: kSlots, work: this._narrowWork(speed), onStart });
    }
    for (let i = 0; i < kTops; i++) {
      const host: ModelHost = new ModelHost(_network, `top-${i}`, 'top', { slots: kTopSlots, work: this._topWork(() => host) });
    }
    this._entries = Array.from({ length: kEntries }, (_, i) => new ModelHost(_network, `entry-${i}`, 'entry'));
  }

  run(): ChainOutcome {
    const { calls, load } = this._case;
    const workPerMs = load * kSlots * sum(kSpeeds);
    this._arrive('top', ((1 - kUrgentShare) * workPerMs) / (calls * kCallMs), this._top);
    this._arrive('quote', (kUrgentShare * workPerMs) / kUrgentMs, this._urgent);
    this._network.time.runUntil(kEndMs + kDrainMs);
    const waits = this._waits.sort((a, b) => a - b);
    const possible = (slotShare: number): number => {
      const workMs = slotShare * kSlots * sum(kSpeeds) * (kEndMs - kWarmUpMs) - this._urgent.served * kUrgentMs;
      return Math.min(this._top.offered, workMs / (calls * kCallMs));
    };
    const { offered, served, started, wasted } = this._top;
    return {
      wasted: wasted / started,
      served: served / possible(1),
      servedOfUsed: served / possible(kUsedSlotShare),
      urgentServed: this._urgent.served / this._urgent.offered,
      chainsServed: served / offered,
      waitP50: waits[Math.floor(waits.length / 2)] ?? 0,
      waitP99: waits[Math.floor(waits.length * 0.99)] ?? 0,
      level: sum(this._levels) / this._levels.length,
    };
  }

  /** Sends requests with exponentially distributed intervals. */
  private _arrive(route: string, perMs: number, counts: Counts): void {
    let next = 0;
    const send = (): void => {
      // Several requests may arrive within the millisecond that the clock counts.
      for (; next <= this._network.time.now; next += -Math.log(1 - this._network.random()) / perMs) {
        this._request(route, counts);
      }
      if (next < kEndMs) {
        this._network.time.after(next - this._network.time.now, send);
      }
    };
    send();
  }

  private _request(route: string, counts: Counts): void {
    const entry = this._entries[Math.floor(this._network.random() * this._entries.length)];
    const counted = this._isCounted();
    counts.offered += counted ? 1 : 0;
    this._levels.push(...(counted && route === 'top' && entry ? [entry.levelOf(route)] : []));
    const timeoutMs = this._network.routes.get(route)?.timeoutMs ?? 0;
    entry?.enter(route, timeoutMs, (result) => {
      const ok = isOk(result);
      counts.served += counted && ok ? 1 : 0;
      const ran = result.kind === 'answered' || result.kind === 'lost' || result.kind === 'timed_out';
      counts.started += counted && ran ? 1 : 0;
      counts.wasted += counted && ran && !ok ? 1 : 0;
    });
  }

  private _isCounted(): boolean {
    return this._network.time.now >= kWarmUpMs && this._network.time.now < kEndMs;
  }

  private _narrowWork(speed: number): TargetWork {
    return ({ route }, _deadline, done) => {
      // The gate ignores the end of a run that it has stopped.
      this._network.after(this._network.lognormal(route === 'quote' ? kUrgentMs : kCallMs, kSpread) / speed, () => {
        done(true);
      });
      return () => undefined;
    };
  }

  /** Work of a top run: its own work in equal parts, with a call to the narrow service between two of them. */
  private _topWork(hostOf: () => ModelHost): TargetWork {
    const { calls } = this._case;
    return (_call, deadline, done) => {
      let stop: () => void = () => undefined;
      let stopped = false;
      const work = (callsLeft: number): void => {
        this._network.after(kOwnMs / (calls + 1), () => {
          if (stopped || callsLeft === 0) {
            done(true);
            return;
          }
          stop = hostOf().enter('feed', Math.max(1, deadline - this._network.time.now), (result) => {
            if (!stopped && isOk(result)) {
              work(callsLeft - 1);
            } else {
              done(false);
            }
          });
        });
      };
      work(calls);
      return () => {
        stopped = true;
        stop();
      };
    };
  }
}

function isOk(result: ExchangeResult): boolean {
  return result.kind === 'answered' && result.answer.status < 400;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
