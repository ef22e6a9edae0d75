/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Measures chains of calls that compete for a narrow service, with and without time budgets and parents of calls, against the requirement:
 * at most a tenth of the top runs wasted, nine tenths of what the capacity allows served, and the most urgent requests served no less than
 * the chains. Runs in virtual time from fixed seeds, without a network.
 */

import type { ChainSwitches } from '../../tests/chainLoad/chainNetwork.js';
import { type ChainOutcome, runChainCase } from '../../tests/chainLoad/chainLoad.js';

const kSeeds = [3, 17, 29];
const kCalls = [1, 4, 8];
const kLoads = [1.2, 1.6];
const kSettings: [string, ChainSwitches][] = [
  ['off', { chainTime: false, callParents: false }],
  ['chainTime', { chainTime: true, callParents: false }],
  ['chainTime, callParents', { chainTime: true, callParents: true }],
];
const kMaxWasted = 0.1;
const kMinServed = 0.9;

function mean(outcomes: ChainOutcome[], valueOf: (outcome: ChainOutcome) => number): number {
  return outcomes.reduce((sum, outcome) => sum + valueOf(outcome), 0) / outcomes.length;
}

function meetsRequirement({ wasted, urgentServed, chainsServed }: ChainOutcome, servedShare: number): boolean {
  return wasted <= kMaxWasted && servedShare >= kMinServed && urgentServed >= chainsServed;
}

const cases = kSettings.flatMap(([setting, switches]) =>
  kCalls.flatMap((calls) => kLoads.map((load) => ({ setting, switches, calls, load }))),
);
const rows = cases.map(({ setting, switches, calls, load }) => {
  const outcomes = kSeeds.map((seed) => runChainCase({ calls, load, seed, switches }));
  const figure = (valueOf: (outcome: ChainOutcome) => number, digits = 3): number => Number(mean(outcomes, valueOf).toFixed(digits));
  return {
    setting,
    calls,
    load,
    wasted: figure(({ wasted }) => wasted),
    'served of all slots': figure(({ served }) => served),
    'of used slots': figure(({ servedOfUsed }) => servedOfUsed),
    'urgent served': figure(({ urgentServed }) => urgentServed),
    'chains served': figure(({ chainsServed }) => chainsServed),
    'wait p50, ms': figure(({ waitP50 }) => waitP50, 1),
    'wait p99, ms': figure(({ waitP99 }) => waitP99, 1),
    level: figure(({ level }) => level),
    'met, all slots': `${outcomes.filter((outcome) => meetsRequirement(outcome, outcome.served)).length} of ${outcomes.length}`,
    'met, used slots': `${outcomes.filter((outcome) => meetsRequirement(outcome, outcome.servedOfUsed)).length} of ${outcomes.length}`,
  };
});
console.table(rows);
