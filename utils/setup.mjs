/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Installs missing dependencies, then runs an incremental build. */

import { spawnSync } from 'node:child_process';
import { existsSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

const kRoot = fileURLToPath(new URL('..', import.meta.url));

function run(command, args) {
  const result = spawnSync(command, args, { cwd: kRoot, stdio: 'inherit' });
  if (result.status !== 0) {
    process.exit(result.status ?? 1);
  }
}

if (!existsSync(new URL('../node_modules/.package-lock.json', import.meta.url))) {
  run('npm', ['ci']);
}
run(process.execPath, ['node_modules/typescript/bin/tsc', '-b']);
