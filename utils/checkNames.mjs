/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Checks that the platform's header, path and key names occur only in the platform adapter, its deployment files and its tests. */

import { spawnSync } from 'node:child_process';
import { fileURLToPath } from 'node:url';

const kRoot = fileURLToPath(new URL('..', import.meta.url));
const kPlatformNames =
  'x-attempt-id|x-deadline-remaining|x-response-seal|x-target-instance|x-server-load|x-not-executed|x-caller-service|x-tenant-id|server-limit|server-leaving|auth_exempt|api_keys|rate_per_s|x-instance-id|/v1/instances|/v1/readiness|/v1/log-|log-append|log-newest|log-read|keyed\\.(op|servers|status)|traffic_split|path_prefix|cold_remaining_ms';
const kSearchedPaths = ['packages', 'bench', 'examples', 'tests', ':!tests/platform', ':!tests/mesh'];

const grep = spawnSync('git', ['grep', '-nIiE', kPlatformNames, '--', ...kSearchedPaths], { cwd: kRoot, encoding: 'utf8' });
if (grep.status === 0) {
  console.error(`expected names of the platform only in platform/, deploy/, tests/platform/ and tests/mesh/, got:\n${grep.stdout}`);
}
process.exit(grep.status === 1 ? 0 : 1);
