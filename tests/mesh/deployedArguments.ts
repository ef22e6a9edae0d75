/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Arguments of the node process in the deploy file: its flags and the bundle. */

import { readFileSync } from 'node:fs';

/** Reads the arguments; `root` is the root folder of the repository. */
export function deployedArguments(root: string): string[] {
  const run = /^run = "node (.*)"$/m.exec(readFileSync(`${root}/deploy/system.toml`, 'utf8'));
  return run?.[1]?.split(' ') ?? [];
}
