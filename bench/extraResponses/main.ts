/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Plays targets that send a second response to a quarter of the requests, with daemons as deployed: `node out/bench/extraResponses/main.js
 * FIRST-SEED SEEDS KIND SECONDS`. Prints a row for each seed; exits with 1 if a caller got a response that was not its own.
 */

import { type ChildProcess, spawn, spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { deployedArguments } from '../../tests/mesh/deployedArguments.js';
import { type ExtraResponseOptions, playExtraResponses } from '../../tests/mesh/extraResponsePlay.js';

const kRoot = fileURLToPath(new URL('../../..', import.meta.url));
const kCallers = 60;
/** Largest number of wrong responses that are printed for a seed. */
const kMaxExamples = 3;

const [firstSeed = '1', seeds = '3', kind = 'both', seconds = '10'] = process.argv.slice(2);
let failed = false;

spawnSync(process.execPath, ['utils/bundle.mjs'], { cwd: kRoot, stdio: 'inherit' });
console.log('seed  requests  whole  lost  other  wrong  second responses  runs  connections');
for (let seed = Number(firstSeed); seed < Number(firstSeed) + Number(seeds); seed++) {
  const folder = mkdtempSync(join(tmpdir(), 'gentiandrum-'));
  const children: ChildProcess[] = [];
  try {
    const counts = await playExtraResponses({
      seed,
      ms: Number(seconds) * 1_000,
      callers: kCallers,
      extra: kind as ExtraResponseOptions['extra'],
      start: ({ settings }) => {
        const file = join(folder, `${settings.id}.yaml`);
        writeFileSync(file, JSON.stringify(settings));
        children.push(spawn(process.execPath, deployedArguments(kRoot), { cwd: kRoot, env: { GENTIANDRUM_BOOT: file }, stdio: 'ignore' }));
      },
    });
    const { requests, whole, lost, other, wrong, secondResponses, runs, connections } = counts;
    console.log([seed, requests, whole, lost, other, wrong.length, secondResponses, runs, connections].join('  '));
    wrong.slice(0, kMaxExamples).forEach((line) => {
      console.log(`  ${line.replaceAll(/x+/g, 'x')}`);
    });
    failed ||= wrong.length > 0;
  } finally {
    children.forEach((child) => child.kill('SIGKILL'));
    rmSync(folder, { recursive: true, force: true });
  }
}
process.exit(failed ? 1 : 0);
