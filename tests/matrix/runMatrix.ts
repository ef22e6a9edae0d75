/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Runs every fault at every step, alone and in pairs. */

import { violations } from './checkers.js';
import { type Fault, type Injection, kFaults } from './faults.js';
import { type Cell, play, type Scenario } from './scenarios.js';

/** Result of a run of the matrix. */
export interface MatrixReport {
  /** Number of runs with a single fault. */
  cells: number;
  /** Number of runs with two faults. */
  pairs: number;
  violations: string[];
  /** Number of cells by `effect/fault`. */
  cellsByFault: Map<string, number>;
  /** Faults that were not injected at their step. Must be empty. */
  notInjected: string[];
}

/** Selects the pairs to run by index. */
export type PairFilter = (index: number) => boolean;

/** Runs the matrix over scenarios: each without faults, with single faults, and with the selected pairs. */
export function runMatrix(scenarios: readonly Scenario[], includePair: PairFilter): MatrixReport {
  const report: MatrixReport = { cells: 0, pairs: 0, violations: [], cellsByFault: new Map(), notInjected: [] };
  let pair = 0;
  for (const scenario of scenarios) {
    const plain = play(scenario, []);
    check(report, scenario, [], plain);
    for (const first of injectionsFrom(plain, 0)) {
      const cell = play(scenario, [first]);
      report.cells++;
      check(report, scenario, [first], cell);
      count(report, plain, first, cell);
      for (const second of injectionsFrom(cell, first.step + 1)) {
        if (includePair(pair++)) {
          report.pairs++;
          check(report, scenario, [first, second], play(scenario, [first, second]));
        }
      }
    }
  }
  return report;
}

/** All possible injections at the steps of a cell, beginning at a step. */
function injectionsFrom({ world }: Cell, from: number): Injection[] {
  return world.steps.flatMap(({ effect }, step) => (step < from ? [] : kFaults[effect].map((fault: Fault) => ({ step, fault }))));
}

function check(report: MatrixReport, scenario: Scenario, injections: readonly Injection[], cell: Cell): void {
  const { journal } = cell.world;
  for (const violation of violations({ journal, folds: cell.folds })) {
    const where = injections.map(({ step, fault }) => `${fault}@${step}:${cell.world.steps[step]?.effect ?? '?'}`).join(' + ');
    report.violations.push(`${scenario.name} [${where}] ${violation}`);
  }
}

function count(report: MatrixReport, plain: Cell, { step, fault }: Injection, cell: Cell): void {
  const name = `${plain.world.steps[step]?.effect ?? '?'}/${fault}`;
  report.cellsByFault.set(name, (report.cellsByFault.get(name) ?? 0) + 1);
  if (cell.world.injected.length === 0) {
    report.notInjected.push(`${name} at step ${step}`);
  }
}

/** Entries of the fault table, `effect/fault`, without a cell. */
export function uncoveredFaults(report: MatrixReport): string[] {
  return Object.entries(kFaults).flatMap(([effect, faults]) =>
    faults.map((fault) => `${effect}/${fault}`).filter((name) => !report.cellsByFault.has(name)),
  );
}
