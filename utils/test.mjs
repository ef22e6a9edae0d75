/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Runs the tests with ava, prints its output when a test fails, and ends with `N passed, N failed` as counted by ava.
 *
 * KNOWN-RED.txt lists known failures, one per line: test title | cause | issue. A listed test that fails is printed and does not fail
 * the run; a listed test that passes fails the run, so that the list stays up to date. A line that begins with `beside load: ` names a
 * test that fails only on a loaded machine, and may pass.
 */

import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

const kRoot = fileURLToPath(new URL('..', import.meta.url));
const kKnownRed = fileURLToPath(new URL('../KNOWN-RED.txt', import.meta.url));
const kBesideLoad = 'beside load: ';
const kMaxOutput = 256 * 1024 * 1024;

const known = existsSync(kKnownRed)
  ? readFileSync(kKnownRed, 'utf8')
      .split('\n')
      .filter((line) => line.trim() !== '' && !line.startsWith('#'))
      .map((line) => line.split('|')[0].trim())
      .map((name) => ({ title: name.replace(kBesideLoad, ''), mayPass: name.startsWith(kBesideLoad) }))
  : [];
const run = spawnSync(process.execPath, ['node_modules/ava/entrypoints/cli.mjs', '--tap', ...process.argv.slice(2)], {
  cwd: kRoot,
  encoding: 'utf8',
  maxBuffer: kMaxOutput,
});
const lines = run.stdout.split('\n');
const points = lines.flatMap((line) => {
  const found = /^(not ok|ok) \d+ - (.*?)(?: # (SKIP|TODO).*)?$/.exec(line);
  return found ? [{ ok: found[1] === 'ok', title: found[2].trim(), skipped: found[3] !== undefined }] : [];
});
const passed = Number(/^# pass (\d+)/m.exec(run.stdout)?.[1] ?? 0);
const failed = Number(/^# fail (\d+)/m.exec(run.stdout)?.[1] ?? 0);
const red = points.filter((point) => !point.ok);
const unexpected = red.filter((point) => !known.some(({ title }) => point.title.endsWith(title)));
const mended = known
  .filter(({ title, mayPass }) => !mayPass && points.some((point) => point.ok && point.title.endsWith(title)))
  .map(({ title }) => title);

if (red.length > 0 || run.status !== 0) {
  process.stdout.write(run.stdout);
  process.stderr.write(run.stderr);
}
red.filter((point) => !unexpected.includes(point)).forEach((point) => console.log(`known red: ${point.title}`));
mended.forEach((title) => console.log(`listed in KNOWN-RED.txt, but passes: ${title}`));
console.log(`${passed} passed, ${failed} failed`);
const crashed = run.status !== 0 && red.length === 0;
const counted = passed + failed === points.filter((point) => !point.skipped).length && passed > 0;
process.exit(unexpected.length === 0 && mended.length === 0 && !crashed && counted ? 0 : 1);
