/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Builds the daemon for the platform into one file under `target/`: its start opens few files. */

import { spawnSync } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const kRoot = fileURLToPath(new URL('..', import.meta.url));

const compiled = spawnSync(process.execPath, ['node_modules/typescript/bin/tsc', '-b', 'platform'], { cwd: kRoot, stdio: 'inherit' });
if (compiled.status !== 0) {
  process.exit(compiled.status ?? 1);
}
await build({
  absWorkingDir: kRoot,
  entryPoints: ['platform/dist/main.js'],
  outfile: 'target/gentiandrumd.cjs',
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  external: ['msgpackr-extract'],
  logLevel: 'warning',
});
