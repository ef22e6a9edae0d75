/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Bundles the platform daemon into `target/` as one file, together with a V8 code cache that shortens its start. */

import { spawnSync } from 'node:child_process';
import { copyFileSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const kRoot = fileURLToPath(new URL('..', import.meta.url));

function run(args) {
  const result = spawnSync(process.execPath, args, { cwd: kRoot, stdio: 'inherit' });
  if (result.status !== 0) {
    process.exit(result.status ?? 1);
  }
}

/** Node.js flags from the deploy file: V8 rejects a code cache that was written with other flags. */
function deployedFlags() {
  const command = /^run = "node (.*) target\/gentiandrumd\.cjs"$/m.exec(readFileSync(`${kRoot}/deploy/system.toml`, 'utf8'));
  if (!command) {
    throw new Error('expected a line `run = "node FLAGS target/gentiandrumd.cjs"` in deploy/system.toml, got none');
  }
  return command[1].split(' ');
}

run(['node_modules/typescript/bin/tsc', '-b', 'platform']);
await build({
  absWorkingDir: kRoot,
  entryPoints: ['platform/dist/main.js'],
  outfile: 'target/daemon.cjs',
  bundle: true,
  minify: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  alias: {
    undici: './utils/leanUndici.cjs',
    'prom-client': './utils/leanPromClient.cjs',
    // Optional native decoder for long strings: messages of daemons are short, and loading it delays the start.
    'msgpackr-extract': './utils/absentModule.cjs',
    // Used by undici's HTTP/2 client only; the log does not support HTTP/2.
    'node:http2': './utils/absentHttp2.cjs',
    'undici/lib/llhttp/llhttp-wasm.js': './node_modules/undici/lib/llhttp/llhttp-wasm.js',
  },
  logLevel: 'warning',
});
copyFileSync(`${kRoot}/utils/startBundle.cjs`, `${kRoot}/target/gentiandrumd.cjs`);
run([...deployedFlags(), 'target/gentiandrumd.cjs', '--write-code-cache']);
