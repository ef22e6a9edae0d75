/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Runs one scenario against one policy, and takes its measures. */

import { kCohorts } from '@gentiandrum/core';
import { NaivePolicy, StaticPolicy } from './baselinePolicies.js';
import { kCallerMs, kDeadlineMs, type LoadPlan } from './deployment.js';
import { idealPerSecond } from './ideal.js';
import { LayerPolicy } from './layerPolicy.js';
import type { Policy } from './policy.js';
import { type Changes, kAfterMs, kTriggerAt, type Scenario } from './scenarios.js';
import { type Host, World } from './world.js';

/** Names of the policies, in the order of the table. */
export const kPolicies = ['naive', 'static', 'gentiandrum-goodput', 'gentiandrum-recovery'] as const;
/** One of the policies. */
export type PolicyName = (typeof kPolicies)[number];

/** Measures of one run. */
export interface Measures {
  /** Whole requests answered during the trigger, per what the capacity allows. */
  goodput_ratio: number;
  /** Time from the trigger's end until no window has less than 0.99 of its requests answered at the first try. */
  recovery_s: number;
  /** Offers of a call per first offer, without what callers repeat. */
  attempts_per_request: number;
  /** Work started at targets for tries that failed, per all work started. */
  wasted_ratio: number;
  /** Critical requests answered during the trigger, per what the capacity allows of them. */
  top_class_ratio: number;
  /** The same for whatever was offered of them. */
  top_class_answered: number;
  offered: number;
}

const kCallerRetries = 3;
const kCallerPauseMs = 100;
const kCallerJitterMs = 200;
const kWindowMs = 250;
const kRecovered = 0.99;

interface Request {
  load: LoadPlan;
  at: number;
  /** Time of the whole answer; undefined while there is none. */
  answeredAt: number | undefined;
  firstTry: boolean;
}

/** One run. */
class Run {
  readonly requests: Request[] = [];
  failedTries = new Set<string>();
  private readonly _policy: Policy;
  private readonly _world: World;
  private _roots = 0;
  private _surge = 1;

  constructor(
    private readonly _scenario: Scenario,
    policy: PolicyName,
    seed: number,
  ) {
    this._world = new World(_scenario.deployment, seed);
    this._policy = makePolicy(policy, this._world);
  }

  measure(): Measures {
    const { time } = this._world;
    for (const load of this._scenario.deployment.loads) {
      this._arrive(load);
    }
    time.runUntil(kTriggerAt);
    this._surge = this._scenario.surge;
    this._scenario.begin?.(this._world, this._changes());
    const half = this._scenario.triggerMs / 2;
    time.runUntil(kTriggerAt + half - 1);
    const early = idealPerSecond(this._world, this._scenario);
    time.runUntil(kTriggerAt + this._scenario.triggerMs);
    const late = idealPerSecond(this._world, this._scenario);
    this._surge = 1;
    this._scenario.end?.(this._world, this._changes());
    time.runUntil(kTriggerAt + this._scenario.triggerMs + kAfterMs);
    time.restore();
    return this._measures(new Map([...early].map(([name, rate]) => [name, (rate + (late.get(name) ?? 0)) / 2])));
  }

  private _changes(): Changes {
    const policy = this._policy;
    return {
      hostChanged: (host: Host) => {
        policy.hostChanged?.(host);
      },
      zoneChanged: () => {
        policy.zoneChanged?.();
      },
    };
  }

  private _arrive(load: LoadPlan): void {
    const { time, random } = this._world;
    const gapMs = (-Math.log(1 - random()) * 1_000) / (load.perSecond * this._surge);
    time.after(gapMs, () => {
      const req: Request = { load, at: time.now, answeredAt: undefined, firstTry: false };
      this.requests.push(req);
      this._try(req, 0);
      this._arrive(load);
    });
  }

  /** Callers ask any living host, and ask again soon when they get no answer. */
  private _try(req: Request, tries: number): void {
    const { time, random, hosts } = this._world;
    const living = hosts.filter((host) => !host.dead);
    const host = living[Math.floor(random() * living.length)];
    if (!host) {
      return;
    }
    const root = `r${this._roots++}`;
    const call = { root, cohort: Math.floor(random() * kCohorts), load: req.load, step: 0, deadline: time.now + kDeadlineMs };
    time.after(kCallerMs, () => {
      this._policy.call(host, call, undefined, ({ ok }) => {
        time.after(kCallerMs, () => {
          this._ended(req, tries, root, ok && time.now <= call.deadline);
        });
      });
    });
  }

  private _ended(req: Request, tries: number, root: string, ok: boolean): void {
    const { time, random } = this._world;
    if (ok) {
      req.answeredAt = time.now;
      req.firstTry = tries === 0;
      return;
    }
    this.failedTries.add(root);
    if (tries < kCallerRetries) {
      time.after(kCallerPauseMs + random() * kCallerJitterMs, () => {
        this._try(req, tries + 1);
      });
    }
  }

  private _measures(ideal: Map<string, number>): Measures {
    const { triggerMs, deployment } = this._scenario;
    const end = kTriggerAt + triggerMs;
    const during = this.requests.filter(({ at }) => at >= kTriggerAt && at < end);
    const answered = this.requests.filter(
      ({ answeredAt }) => answeredAt !== undefined && answeredAt >= kTriggerAt && answeredAt < end,
    ).length;
    const idealTotal = [...ideal.values()].reduce((sum, rate) => sum + rate, 0) * (triggerMs / 1_000);
    const top = deployment.loads.find(({ importance }) => importance === 'critical') ?? deployment.loads[0];
    const ofTop = during.filter(({ load }) => load === top);
    const topAnswered = ofTop.filter(({ answeredAt }) => answeredAt !== undefined).length;
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
    const end = kTriggerAt + this._scenario.triggerMs;
    const lastStart = end + kAfterMs - kDeadlineMs - kWindowMs;
    let recovered = 0;
    for (let from = end; from <= lastStart; from += kWindowMs) {
      const window = this.requests.filter(({ at }) => at >= from && at < from + kWindowMs);
      const good = window.filter((req) => req.firstTry).length;
      if (good < window.length * kRecovered) {
        recovered = from + kWindowMs - end;
      }
    }
    return recovered;
  }
}

/** Runs one scenario against one policy. */
export function runScenario(scenario: Scenario, policy: PolicyName, seed: number): Measures {
  return new Run(scenario, policy, seed).measure();
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
