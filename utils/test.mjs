/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Runs the tests with ava, prints its output when a test or ava itself fails, and ends with `N passed, N failed` as counted by ava.
 *
 * KNOWN-RED.txt lists known failures, one per line: test title | cause | issue. A listed test that fails is printed and does not fail
 * the run; a listed test that passes fails the run, so that the list stays up to date. A line that begins with `beside load: ` names a
 * test that is known to fail only on a loaded machine, and may pass.
 */

import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

const kRoot = fileURLToPath(new URL('..', import.meta.url));
const kKnownRedFile = fileURLToPath(new URL('../KNOWN-RED.txt', import.meta.url));
const kBesideLoadPrefix = 'beside load: ';
const kMaxOutput = 256 * 1024 * 1024;

const knownFailures = existsSync(kKnownRedFile)
  ? readFileSync(kKnownRedFile, 'utf8')
      .split('\n')
      .filter((line) => line.trim() !== '' && !line.startsWith('#'))
      .map((line) => line.split('|')[0].trim())
      .map((name) => ({ title: name.replace(kBesideLoadPrefix, ''), mayPass: name.startsWith(kBesideLoadPrefix) }))
  : [];
const ava = spawnSync(process.execPath, ['node_modules/ava/entrypoints/cli.mjs', '--tap', ...process.argv.slice(2)], {
  cwd: kRoot,
  encoding: 'utf8',
  maxBuffer: kMaxOutput,
});
const lines = ava.stdout.split('\n');
const results = lines.flatMap((line) => {
  const match = /^(not ok|ok) \d+ - (.*?)(?: # (SKIP|TODO).*)?$/.exec(line);
  return match ? [{ ok: match[1] === 'ok', title: match[2].trim(), skipped: match[3] !== undefined }] : [];
});
const passed = Number(/^# pass (\d+)/m.exec(ava.stdout)?.[1] ?? 0);
const failed = Number(/^# fail (\d+)/m.exec(ava.stdout)?.[1] ?? 0);
const failures = results.filter((result) => !result.ok);
const unexpected = failures.filter((result) => !knownFailures.some(({ title }) => result.title.endsWith(title)));
const passingKnown = knownFailures
  .filter(({ title, mayPass }) => !mayPass && results.some((result) => result.ok && result.title.endsWith(title)))
  .map(({ title }) => title);

if (failures.length > 0 || ava.status !== 0) {
  process.stdout.write(ava.stdout);
  process.stderr.write(ava.stderr);
}
failures.filter((result) => !unexpected.includes(result)).forEach((result) => console.log(`known red: ${result.title}`));
passingKnown.forEach((title) => console.log(`listed in KNOWN-RED.txt, but passes: ${title}`));
console.log(`${passed} passed, ${failed} failed`);
const crashed = ava.status !== 0 && failures.length === 0;
const counted = passed + failed === results.filter((result) => !result.skipped).length && passed > 0;
process.exit(unexpected.length === 0 && passingKnown.length === 0 && !crashed && counted ? 0 : 1);
