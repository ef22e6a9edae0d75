/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Runs one scenario with one policy and computes its measures. */

import { kCohorts } from '@gentiandrum/core';
import { NaivePolicy, StaticPolicy } from './baselinePolicies.js';
import { kClientDelayMs, kDeadlineMs, type LoadPlan } from './deployment.js';
import { idealPerSecond } from './ideal.js';
import { LayerPolicy } from './layerPolicy.js';
import type { Policy } from './policy.js';
import { type ChangeListener, kRecoveryObservationMs, kTriggerAtMs, type Scenario } from './scenarios.js';
import { type Host, World } from './world.js';

/** Names of the policies, in the order of the result table. */
export const kPolicies = ['naive', 'static', 'gentiandrum-goodput', 'gentiandrum-recovery'] as const;
/** Name of a policy. */
export type PolicyName = (typeof kPolicies)[number];

/** Measures of one run. */
export interface Measures {
  /** Root requests that succeeded during the trigger, relative to the ideal or, if lower, to the requests offered. */
  goodput_ratio: number;
  /** Time from the end of the trigger to the end of the last window in which under 99 % of requests succeed at the first try. */
  recovery_s: number;
  /** Offers per call, without the retries of clients. */
  attempts_per_request: number;
  /** Share of the calls started at targets that belong to failed tries. */
  wasted_ratio: number;
  /** Successful critical requests of those offered during the trigger, relative to the ideal or, if lower, to the number offered. */
  top_class_ratio: number;
  /** Successful critical requests of those offered during the trigger, relative to the number offered. */
  top_class_answered: number;
  offered: number;
}

const kClientRetries = 3;
const kClientBackoffMs = 100;
const kClientJitterMs = 200;
const kWindowMs = 250;
const kRecoveredRatio = 0.99;

interface RootRequest {
  load: LoadPlan;
  arrivedAt: number;
  /** Time of the successful response; undefined while there is none. */
  completedAt: number | undefined;
  succeededFirstTry: boolean;
}

/** One run of a scenario. */
class Run {
  readonly requests: RootRequest[] = [];
  failedTries = new Set<string>();
  private readonly _policy: Policy;
  private readonly _world: World;
  private _nextRoot = 0;
  private _loadFactor = 1;

  constructor(
    private readonly _scenario: Scenario,
    policy: PolicyName,
    seed: number,
  ) {
    this._world = new World(_scenario.deployment, seed);
    this._policy = makePolicy(policy, this._world);
  }

  run(): Measures {
    const { time } = this._world;
    for (const load of this._scenario.deployment.loads) {
      this._scheduleArrival(load);
    }
    time.runUntil(kTriggerAtMs);
    this._loadFactor = this._scenario.loadFactor;
    this._scenario.applyFault?.(this._world, this._changeListener());
    const halfMs = this._scenario.triggerMs / 2;
    time.runUntil(kTriggerAtMs + halfMs - 1);
    const firstHalfIdeal = idealPerSecond(this._world, this._scenario);
    time.runUntil(kTriggerAtMs + this._scenario.triggerMs);
    const secondHalfIdeal = idealPerSecond(this._world, this._scenario);
    this._loadFactor = 1;
    this._scenario.clearFault?.(this._world, this._changeListener());
    time.runUntil(kTriggerAtMs + this._scenario.triggerMs + kRecoveryObservationMs);
    time.restore();
    return this._computeMeasures(new Map([...firstHalfIdeal].map(([name, rate]) => [name, (rate + (secondHalfIdeal.get(name) ?? 0)) / 2])));
  }

  private _changeListener(): ChangeListener {
    const policy = this._policy;
    return {
      onHostChanged: (host: Host) => {
        policy.onHostChanged?.(host);
      },
      onZonesChanged: () => {
        policy.onZonesChanged?.();
      },
    };
  }

  private _scheduleArrival(load: LoadPlan): void {
    const { time, random } = this._world;
    const gapMs = (-Math.log(1 - random()) * 1_000) / (load.perSecond * this._loadFactor);
    time.schedule(gapMs, () => {
      const req: RootRequest = { load, arrivedAt: time.now, completedAt: undefined, succeededFirstTry: false };
      this.requests.push(req);
      this._try(req, 0);
      this._scheduleArrival(load);
    });
  }

  /** Sends a request to a random running host; clients retry failed tries after a short, jittered delay. */
  private _try(req: RootRequest, tries: number): void {
    const { time, random, hosts } = this._world;
    const runningHosts = hosts.filter((host) => !host.crashed);
    const host = runningHosts[Math.floor(random() * runningHosts.length)];
    if (!host) {
      return;
    }
    const root = `r${this._nextRoot++}`;
    const call = { root, cohort: Math.floor(random() * kCohorts), load: req.load, step: 0, deadline: time.now + kDeadlineMs };
    time.schedule(kClientDelayMs, () => {
      this._policy.call(host, call, undefined, ({ ok }) => {
        time.schedule(kClientDelayMs, () => {
          this._onTryDone(req, tries, root, ok && time.now <= call.deadline);
        });
      });
    });
  }

  private _onTryDone(req: RootRequest, tries: number, root: string, ok: boolean): void {
    const { time, random } = this._world;
    if (ok) {
      req.completedAt = time.now;
      req.succeededFirstTry = tries === 0;
      return;
    }
    this.failedTries.add(root);
    if (tries < kClientRetries) {
      time.schedule(kClientBackoffMs + random() * kClientJitterMs, () => {
        this._try(req, tries + 1);
      });
    }
  }

  private _computeMeasures(ideal: Map<string, number>): Measures {
    const { triggerMs, deployment } = this._scenario;
    const end = kTriggerAtMs + triggerMs;
    const during = this.requests.filter(({ arrivedAt }) => arrivedAt >= kTriggerAtMs && arrivedAt < end);
    const answered = this.requests.filter(
      ({ completedAt }) => completedAt !== undefined && completedAt >= kTriggerAtMs && completedAt < end,
    ).length;
    const idealTotal = [...ideal.values()].reduce((sum, rate) => sum + rate, 0) * (triggerMs / 1_000);
    const top = deployment.loads.find(({ importance }) => importance === 'critical') ?? deployment.loads[0];
    const ofTop = during.filter(({ load }) => load === top);
    const topAnswered = ofTop.filter(({ completedAt }) => completedAt !== undefined).length;
    const topIdeal = Math.min(ofTop.length, ((ideal.get(top?.name ?? '') ?? 0) * triggerMs) / 1_000);
    const { firstOffers, repeats, startsByTry } = this._world.counters;
    const starts = [...startsByTry.values()].reduce((sum, count) => sum + count, 0);
    const wasted = [...this.failedTries].reduce((sum, root) => sum + (startsByTry.get(root) ?? 0), 0);
    return {
      goodput_ratio: round(ratio(answered, Math.min(idealTotal, during.length))),
      recovery_s: round(this._recoveryMs() / 1_000),
      attempts_per_request: round(ratio(firstOffers + repeats, firstOffers)),
      wasted_ratio: round(ratio(wasted, starts)),
      top_class_ratio: round(ratio(topAnswered, topIdeal)),
      top_class_answered: round(ratio(topAnswered, ofTop.length)),
      offered: during.length,
    };
  }

  private _recoveryMs(): number {
    const end = kTriggerAtMs + this._scenario.triggerMs;
    const lastStart = end + kRecoveryObservationMs - kDeadlineMs - kWindowMs;
    let recovered = 0;
    for (let from = end; from <= lastStart; from += kWindowMs) {
      const window = this.requests.filter(({ arrivedAt }) => arrivedAt >= from && arrivedAt < from + kWindowMs);
      const good = window.filter((req) => req.succeededFirstTry).length;
      if (good < window.length * kRecoveredRatio) {
        recovered = from + kWindowMs - end;
      }
    }
    return recovered;
  }
}

/** Runs one scenario with one policy. */
export function runScenario(scenario: Scenario, policy: PolicyName, seed: number): Measures {
  return new Run(scenario, policy, seed).run();
}

function makePolicy(name: PolicyName, world: World): Policy {
  switch (name) {
    case 'naive':
      return new NaivePolicy(world);
    case 'static':
      return new StaticPolicy(world);
    case 'gentiandrum-goodput':
      return new LayerPolicy(world, 'goodput');
    case 'gentiandrum-recovery':
      return new LayerPolicy(world, 'recovery');
  }
}

function ratio(part: number, whole: number): number {
  return whole === 0 ? 1 : part / whole;
}

function round(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
