/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Seeded load of concurrent runs on one target, each of which makes sequential calls that expire at its deadline. */

import { InheritedDeadlines, kNoChainNeed, type Random, RunRegistry, type TrackedRun } from '@gentiandrum/core';

/** Longest time limit of a run, in milliseconds. */
export const kLimitMs = 1_500;
const kStartsPerMs = 0.5;
const kCallsPerRun = 8;
const kCallMs = 30;
const kWorkMs = 2;
const kJitterMs = 1;
const kRanks = 512;

interface Step {
  at: number;
  act: () => void;
}

export class RunChains {
  readonly registry: RunRegistry;
  readonly route = 'price-feed';
  highestRunning = 0;
  found = 0;
  ended = 0;
  /** Calls that are not capped and arrived after the route was proven, and those of them that got the rank of their run. */
  uncapped = 0;
  right = 0;
  /** Time left that calls state instead of that of their run. */
  remainingMs: (() => number) | undefined;
  private readonly _steps: Step[] = [];
  private _now = 0;

  constructor(
    private readonly _random: Random,
    private readonly _settings: { capMs: number; preferredToleranceMs?: number; remainingMs?: () => number },
  ) {
    this.registry = new RunRegistry(new InheritedDeadlines(), _settings.preferredToleranceMs);
    this.remainingMs = _settings.remainingMs;
    this._schedule(0, () => {
      this._startRun();
    });
  }

  run(ms: number, check?: () => void): void {
    const end = this._now + ms;
    for (let step = this._steps.at(-1); step && step.at <= end; step = this._steps.at(-1)) {
      this._steps.pop();
      this._now = step.at;
      step.act();
      check?.();
    }
  }

  private _startRun(): void {
    this._schedule(-Math.log(1 - this._random()) / kStartsPerMs, () => {
      this._startRun();
    });
    const deadline = this._now + kLimitMs * (0.25 + 0.75 * this._random());
    const rank = Math.floor(this._random() * kRanks);
    const run = this.registry.start({ route: 'catalogue-sync', rank, workspace: undefined, deadline, need: kNoChainNeed }, this._now);
    this.highestRunning = Math.max(this.highestRunning, this.registry.running);
    this._callOrEnd(run, 0);
  }

  private _callOrEnd(run: TrackedRun, calls: number): void {
    this._schedule(kWorkMs * this._random(), () => {
      if (calls === kCallsPerRun || this._now > run.deadline - 1) {
        this.registry.end(run, this._now);
      } else {
        this._call(run, calls);
      }
    });
  }

  private _call(run: TrackedRun, calls: number): void {
    const jitter = (2 * this._random() - 1) * kJitterMs;
    const remaining = this.remainingMs?.() ?? Math.min(this._settings.capMs, run.deadline - this._now + jitter);
    const match = this.registry.match(this.route, remaining, this._now);
    this._count(run, remaining, match);
    const parent = match.kind === 'found' ? match.candidates[0] : undefined;
    const ordinal = parent && this.registry.callStarted(parent);
    this._schedule(kCallMs * (0.5 + this._random()), () => {
      if (parent && ordinal !== undefined) {
        this.registry.callEnded(parent, ordinal, this._now);
      }
      this._callOrEnd(run, calls + 1);
    });
  }

  private _count(run: TrackedRun, remaining: number, match: ReturnType<RunRegistry['match']>): void {
    this.found += match.kind === 'found' ? 1 : 0;
    this.ended += match.kind === 'ended' ? 1 : 0;
    if (remaining < this._settings.capMs && this.registry.inherited.inherits(this.route)) {
      this.uncapped++;
      this.right += match.kind === 'found' && match.rank === run.rank ? 1 : 0;
    }
  }

  /** Inserts a step; the next one is the last of the array. */
  private _schedule(delayMs: number, act: () => void): void {
    const at = this._now + delayMs;
    const position = this._steps.findLastIndex((step) => step.at >= at) + 1;
    this._steps.splice(position, 0, { at, act });
  }
}
