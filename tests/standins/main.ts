/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Runs one stand-in as a process: `main.js log` or `main.js target '{"place":…,"behaviour":…}'`. Prints its URL as the first line. */

import { LogStandin } from './logStandin.js';
import { type Behaviour, type TargetPlace, TargetStandin } from './targetStandin.js';

const [, , kind, json] = process.argv;
if (kind === 'log') {
  const url = await new LogStandin().listen();
  process.stdout.write(`${url}\n`);
} else if (kind === 'target') {
  const { place, behaviour } = JSON.parse(json ?? '{}') as { place: TargetPlace; behaviour: Partial<Behaviour> };
  const target = new TargetStandin(place, behaviour);
  await target.start();
  process.stdout.write(`${target.url}\n`);
} else {
  throw new Error(`expected "log" or "target", got "${kind ?? 'nothing'}"`);
}
process.on('disconnect', () => process.exit(0));
