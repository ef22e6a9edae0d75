/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Measures the time to choose a target and to look up the level of a route, by the number of targets; uses no network. */

import { type ChoiceStrategy, ChainModel, monotonicMs, Placement, seededRandom, type TargetRecord } from '@gentiandrum/core';

const kTargetCounts = [10, 100, 500];
const kStrategies: ChoiceStrategy[] = ['mean', 'speed'];
/** Runs per measurement, just after the start and warmed up. */
const kColdChoices = 200;
const kWarmChoices = 50_000;
const kZones = 5;
const kSeed = 7;
const kRoute = { name: 'search', latencyTargetMs: 500 };
const kNoExcludedHosts: ReadonlySet<string> = new Set();
const kUsPerMs = 1_000;

function makeTargets(count: number): TargetRecord[] {
  return Array.from({ length: count }, (_, i) => ({
    host: `host-${i}`,
    zone: `zone-${i % kZones}`,
    peers: '',
    service: 'search',
    instance: `i-${i}`,
    state: 'ready',
    slots: 30,
    epoch: 1,
    revision: 1,
  }));
}

/** Mean duration of one run, in microseconds. */
function meanUs(runs: number, run: () => void): number {
  const startedAt = monotonicMs();
  for (let i = 0; i < runs; i++) {
    run();
  }
  return Number((((monotonicMs() - startedAt) / runs) * kUsPerMs).toFixed(2));
}

const cases = kTargetCounts.flatMap((targetCount) => kStrategies.map((strategy) => ({ targetCount, strategy })));
const rows = cases.map(({ targetCount, strategy }) => {
  const targets = makeTargets(targetCount);
  const placement = new Placement('host-0', 'zone-0', seededRandom(kSeed), strategy);
  const chainModel = new ChainModel();
  const choose = (): void => {
    const target = placement.choose(targets, kNoExcludedHosts, kRoute);
    if (target) {
      placement.recordSent(target.host);
      placement.recordResult(target.host, kRoute.name, {
        load: { inFlight: 3, queued: 0, limit: 30, meanMs: 40, slowness: 110 },
        tookMs: 40,
        failed: false,
      });
    }
  };
  targets.forEach(({ host }) => {
    chainModel.recordReport(kRoute.name, host, { level: 0, inner: false, height: 0 });
  });
  return {
    targets: targetCount,
    strategy,
    'first choice, us': meanUs(1, choose),
    'next 200, us': meanUs(kColdChoices, choose),
    'warm, us': meanUs(kWarmChoices, choose),
    'level, warm, us': meanUs(kWarmChoices, () => chainModel.level(kRoute.name)),
  };
});
console.table(rows);
