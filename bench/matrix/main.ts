/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Runs the full fault matrix, with all pairs of faults, and prints the results. Exits with 1 on a violation or a gap in coverage. */

import { uncoveredFaults, runMatrix } from '../../tests/matrix/runMatrix.js';
import { kScenarios } from '../../tests/matrix/scenarios.js';

const kMaxShown = 20;

const report = runMatrix(kScenarios, () => true);
const uncovered = uncoveredFaults(report);
console.log('cells by effect and fault; the scenarios are deterministic, seed 1 for routing');
console.table([...report.cellsByFault].sort().map(([row, cells]) => ({ row, cells })));
report.violations.slice(0, kMaxShown).forEach((violation) => {
  console.log(violation);
});
uncovered.forEach((row) => {
  console.log(`not covered: ${row}`);
});
report.notInjected.slice(0, kMaxShown).forEach((step) => {
  console.log(`not injected: ${step}`);
});
console.log(JSON.stringify({ cells: report.cells, violations: report.violations.length, pairs: report.pairs }));
process.exit(report.violations.length + uncovered.length + report.notInjected.length === 0 ? 0 : 1);
