/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against calls that get the rank of another chain, and against calls that are rejected because of a wrong match. */

import { kNoChainNeed, RunRegistry, seededRandom, type TrackedRun } from '@gentiandrum/core';
import { describe, it } from '../support/describe.js';
import { kLimitMs, RunChains } from './runChains.js';

const kRoute = 'catalogue-sync';

function start(registry: RunRegistry, deadline: number, rank?: number, workspace?: string): TrackedRun {
  return registry.start({ route: 'stock-check', rank, workspace, deadline, need: kNoChainNeed }, 0);
}

/** A registry that has learned that calls to the route inherit deadlines; its runs of that time have been forgotten. */
function provenRegistry(): RunRegistry {
  const registry = new RunRegistry();
  for (let i = 0; i < 60; i++) {
    const now = -10_000 + i * 50;
    const run = start(registry, now + 400 + ((7 * i) % 290));
    registry.match(kRoute, 400 + ((7 * i) % 290), now);
    registry.end(run, now + 1);
  }
  return registry;
}

describe('run registry', () => {
  for (const [offsetMs, kind] of [
    [-2.1, 'unknown'],
    [-2, 'found'],
    [0, 'found'],
    [2, 'found'],
    [2.1, 'unknown'],
  ] as const) {
    it(`should return "${kind}" for a call that expires ${offsetMs} ms from the deadline of a run`, (t) => {
      const registry = provenRegistry();
      const run = start(registry, 500, 7, 'w');
      const match = registry.match(kRoute, 400 + offsetMs, 100);
      t.deepEqual(match, kind === 'found' ? { kind, rank: 7, workspace: 'w', candidates: [run] } : { kind });
    });
  }

  it('should order candidates by open calls, started calls and deadline', (t) => {
    const registry = provenRegistry();
    const [busy, used, far, near] = [start(registry, 500), start(registry, 500), start(registry, 501.5), start(registry, 500.5)];
    registry.callStarted(busy);
    registry.callEnded(used, registry.callStarted(used), 50);
    const match = registry.match(kRoute, 400, 100);
    t.deepEqual(match.kind === 'found' && match.candidates, [near, far, used, busy]);
  });

  it('should use the rank and workspace of runs with equal deadlines only where they agree', (t) => {
    const registry = provenRegistry();
    const attributes = (): unknown[] => {
      const match = registry.match(kRoute, 400, 100);
      return match.kind === 'found' ? [match.rank, match.workspace] : [match.kind];
    };
    const first = start(registry, 500, 7, 'w');
    start(registry, 500, 9, 'w');
    t.deepEqual(attributes(), [undefined, 'w']);
    const ordinal = registry.callStarted(first);
    t.deepEqual(attributes(), [9, 'w']);
    registry.callEnded(first, ordinal, 100);
    t.deepEqual(attributes(), [undefined, 'w']);
    registry.end(first, 100);
    t.deepEqual(attributes(), [9, 'w']);
  });

  it('should return "ended" for a call whose only run has ended within the last second', (t) => {
    const registry = provenRegistry();
    const run = start(registry, 3_000);
    registry.end(run, 100);
    registry.end(run, 900);
    t.is(registry.match(kRoute, 1_950, 1_050).kind, 'ended');
    t.is(registry.match(kRoute, 1_890, 1_110).kind, 'unknown');
    t.is(registry.running, 0);
  });

  it('should keep a bounded number of ended runs', (t) => {
    const registry = provenRegistry();
    for (let i = 0; i < 600; i++) {
      registry.end(start(registry, 500 + i * 10), 0);
    }
    t.is(registry.match(kRoute, 500 + 10 * 87, 0).kind, 'unknown');
    t.is(registry.match(kRoute, 500 + 10 * 88, 0).kind, 'ended');
  });

  it('should ignore values that are no plausible time left', (t) => {
    const registry = provenRegistry();
    start(registry, NaN);
    const run = start(registry, 500);
    for (const remainingMs of [0, -1, NaN, Infinity, -Infinity, 1e9]) {
      for (let i = 0; i < 200; i++) {
        t.is(registry.match(kRoute, remainingMs, 100).kind, 'unknown');
      }
    }
    t.deepEqual(registry.match(kRoute, 400, 100), { kind: 'found', rank: undefined, workspace: undefined, candidates: [run] });
    t.is(registry.inherited.capMs(kRoute), undefined);
  });

  it('should report how long a run went on after each of its first 16 calls', (t) => {
    const registry = new RunRegistry();
    const run = start(registry, 500);
    const ordinals = Array.from({ length: 18 }, () => registry.callStarted(run));
    for (const ordinal of [...ordinals.slice(1), 2, 99]) {
      registry.callEnded(run, ordinal, ordinal * 10);
    }
    t.is(run.openCalls, 1);
    t.deepEqual(
      run.afterEachCall(165),
      ordinals.slice(1, 16).map((ordinal) => ({ ordinal, ms: 165 - ordinal * 10 })),
    );
  });
});

describe('a load of concurrent chains', () => {
  for (const seed of [1, 2, 3]) {
    for (const settings of [{ capMs: Infinity }, { capMs: 700, preferredToleranceMs: 1 }]) {
      it(`should match at least 95% of the uncapped calls to the right rank, with ${JSON.stringify(settings)} and seed ${seed}`, (t) => {
        const chains = new RunChains(seededRandom(seed), settings);
        chains.run(10_000);
        const { right, uncapped, ended, highestRunning } = chains;
        t.true(highestRunning > 130, `expected over 130 concurrent runs, got ${highestRunning}`);
        t.is(chains.registry.inherited.capMs(chains.route), settings.capMs === Infinity ? undefined : settings.capMs);
        t.true(uncapped > 5_000);
        t.true(right >= 0.95 * uncapped, `expected at least 95% of ${uncapped} calls with the right rank, got ${right}`);
        t.is(ended, 0, 'expected no call of a run in flight to be matched to an ended one');
      });
    }

    it(`should not learn a cap from calls that only have different deadlines, with seed ${seed}`, (t) => {
      const chains = new RunChains(seededRandom(seed), { capMs: Infinity });
      chains.run(5_000, () => {
        t.is(chains.registry.inherited.capMs(chains.route), undefined);
      });
      t.true(chains.registry.inherited.inherits(chains.route));
    });

    it(`should not use the deadlines of a route whose calls do not inherit them, with seed ${seed}`, (t) => {
      const random = seededRandom(seed);
      const chains = new RunChains(random, { capMs: Infinity, remainingMs: () => random() * kLimitMs });
      chains.run(10_000);
      t.is(chains.found, 0);
      t.is(chains.ended, 0);
    });

    it(`should discard a route whose calls no longer inherit deadlines, with seed ${seed}`, (t) => {
      const random = seededRandom(seed);
      const chains = new RunChains(random, { capMs: 700 });
      chains.run(5_000);
      t.true(chains.registry.inherited.inherits(chains.route));
      chains.remainingMs = () => random() * kLimitMs;
      chains.run(10_000);
      t.false(chains.registry.inherited.inherits(chains.route));
    });
  }
});

describe('calls to a route with a limit', () => {
  it('should match runs whose deadline is not earlier, and none that has ended', (t) => {
    const registry = provenRegistry();
    for (let i = 0; i < 32; i++) {
      registry.match(kRoute, 700, i - 5_000);
    }
    t.is(registry.inherited.capMs(kRoute), 700);
    registry.end(start(registry, 800), 90);
    t.is(registry.match(kRoute, 700, 100).kind, 'unknown');
    start(registry, 700, 1);
    const [later, latest] = [start(registry, 900, 7), start(registry, 1_200, 7)];
    t.deepEqual(registry.match(kRoute, 700, 100), { kind: 'found', rank: 7, workspace: undefined, candidates: [later, latest] });
  });

  it('should be recognized anew when the limit rises or falls', (t) => {
    for (const limitMs of [500, 900]) {
      const registry = provenRegistry();
      for (let i = 0; i < 400; i++) {
        registry.match(kRoute, i < 200 ? 700 : limitMs, i - 5_000);
      }
      t.is(registry.inherited.capMs(kRoute), limitMs);
    }
  });

  it('should no longer be assumed when calls state more than the limit', (t) => {
    const registry = provenRegistry();
    for (let i = 0; i < 400; i++) {
      registry.match(kRoute, i < 200 ? 700 : 300 + ((7 * i) % 1_000), i - 5_000);
    }
    t.is(registry.inherited.capMs(kRoute), undefined);
  });

  it('should not count as evidence when they are capped, also before the limit is known', (t) => {
    const registry = new RunRegistry();
    for (let i = 0; i < 72; i++) {
      t.false(registry.inherited.inherits(kRoute));
      const run = start(registry, i * 50 + 400 + i);
      registry.match(kRoute, i < 32 ? 700 : 400 + i, i * 50);
      registry.end(run, i * 50 + 1);
    }
    t.true(registry.inherited.inherits(kRoute));
  });

  it('should not be assumed where the values lie close together without a limit', (t) => {
    const random = seededRandom(1);
    const registry = new RunRegistry();
    for (let i = 0; i < 1_000; i++) {
      registry.match(kRoute, 500 + 10 * random(), i);
      t.is(registry.inherited.capMs(kRoute), undefined);
    }
  });

  it('should not be assumed where runs make a call as soon as they start', (t) => {
    const registry = new RunRegistry();
    for (let i = 0; i < 400; i++) {
      const run = start(registry, i * 30 + 800);
      registry.match(kRoute, 799.5, i * 30 + 0.5);
      registry.end(run, i * 30 + 20);
    }
    t.is(registry.inherited.capMs(kRoute), undefined);
    t.true(registry.inherited.inherits(kRoute));
  });
});
