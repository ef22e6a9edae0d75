/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Enumerates the cells: every fault at every step, alone, and in pairs. */

import { violations } from './checkers.js';
import { type Fault, type Injection, kFaults } from './faults.js';
import { type Cell, play, type Scenario } from './scenarios.js';

/** What the matrix found. */
export interface MatrixReport {
  cells: number;
  pairs: number;
  violations: string[];
  /** Cells by effect and fault, `effect/fault`. */
  cellsByFault: Map<string, number>;
  /** Steps of the plain run that no fault struck: there must be none. */
  notInjected: string[];
}

/** Chooses pairs; all unless the caller samples. */
export type PairFilter = (index: number) => boolean;

/** Runs the matrix over scenarios. */
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

/** Every fault that the steps of a cell admit, from a step on. */
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

/** Rows of the fault table that no cell filled. */
export function uncoveredFaults(report: MatrixReport): string[] {
  return Object.entries(kFaults).flatMap(([effect, faults]) =>
    faults.map((fault) => `${effect}/${fault}`).filter((name) => !report.cellsByFault.has(name)),
  );
}
