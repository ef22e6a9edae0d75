/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Commands for request fingerprints suspected of crashing targets: suspects, release. */

import type { ListedSuspect } from '@gentiandrum/core';
import { type CommonOptions, unwrap } from './configCommands.js';
import { DaemonClient } from './daemonClient.js';
import { printJson, printLine, printTable } from './output.js';

/** Prints the fingerprints with crash evidence. */
export async function suspects(options: CommonOptions): Promise<void> {
  const response = unwrap(await new DaemonClient(options.daemon).get<{ suspects: ListedSuspect[] }>('/-/suspects'));
  if (options.json === true) {
    printJson(response);
    return;
  }
  printTable(
    ['KIND', 'ROUTE', 'VERDICT', 'ENDS', 'LATEST'],
    response.suspects.map(({ fingerprint, route, verdict, marks }) => [
      fingerprint,
      route,
      verdict,
      String(marks.filter(({ released }) => !released).length),
      new Date(Math.max(...marks.map(({ at }) => at))).toISOString(),
    ]),
  );
}

/** Releases a suspected or quarantined fingerprint on all daemons. */
export async function release(fingerprint: string, options: CommonOptions): Promise<void> {
  const path = `/-/suspects/${encodeURIComponent(fingerprint)}/release`;
  const response = unwrap(await new DaemonClient(options.daemon).post<{ released: string }>(path, {}));
  if (options.json === true) {
    printJson(response);
    return;
  }
  printLine(`released ${response.released}`);
}
