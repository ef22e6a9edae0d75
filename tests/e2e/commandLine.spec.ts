/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards the operator interface of the daemon and the command-line client: settings, limits, commands, exit codes and errors. */

import { spawn } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import test from 'ava';
import { describe, itSerial } from '../support/describe.js';
import { exitOf, Fleet, until } from '../support/fleet.js';
import { kSampleConfig } from '../support/sampleConfig.js';

const kDaemonBin = fileURLToPath(new URL('../../../packages/daemon/bin/gentiandrumd.js', import.meta.url));
const kInFlightBytes = 1_048_576;

let fleet: Fleet;

test.before(async () => {
  const limits = { inFlightBytes: kInFlightBytes } as never;
  fleet = await Fleet.start(
    [
      {
        id: 'a1',
        zone: 'east',
        service: 'alpha',
        behaviour: { onward: ['/x', '/x'].map((path) => ({ service: 'beta', method: 'POST', path })) },
      },
      {
        id: 'a2',
        zone: 'west',
        service: 'alpha',
        behaviour: { onward: ['/x', '/x'].map((path) => ({ service: 'beta', method: 'POST', path })) },
      },
      { id: 'b1', zone: 'east', service: 'beta' },
    ],
    { limits },
  );
  await fleet.runCli(['apply', 'FILE', '--base', '0', '--wait'], kSampleConfig);
  await Promise.all([fleet.untilTargets('alpha', 2), fleet.untilTargets('beta', 1)]);
});

test.after.always(() => {
  fleet.stop();
});

async function runDaemon(args: string[]): Promise<{ code: number; err: string; out: string }> {
  const child = spawn(process.execPath, [kDaemonBin, ...args], { stdio: ['ignore', 'pipe', 'pipe'] });
  let err = '';
  let out = '';
  child.stderr.on('data', (data: Buffer) => (err += data.toString()));
  child.stdout.on('data', (data: Buffer) => (out += data.toString()));
  return { code: await exitOf(child), err, out };
}

function settingsFile(text: string): string {
  const file = join(tmpdir(), `gentiandrum-settings-${process.pid}-${Math.random().toString(36).slice(2)}.yaml`);
  writeFileSync(file, text);
  return file;
}

describe('gentiandrumd', () => {
  itSerial('should report all invalid settings at once, with path, expected and actual value', async (t) => {
    const { code, err } = await runDaemon(['--settings', settingsFile('id: UPPER\nlisten: nowhere\nzone: east\nspeed: 3\n')]);
    t.is(code, 2);
    for (const part of [
      'id: expected a lower-case name; got "UPPER"',
      'listen: expected an IPv4 address',
      'region: ',
      'chainSecret: ',
      'log: ',
      '"speed"',
    ]) {
      t.true(err.includes(part), `${part} in ${err}`);
    }
    t.false(err.includes('    at '));
  });

  itSerial('should reject a settings file that is missing or not valid YAML', async (t) => {
    t.is((await runDaemon(['--settings', '/nowhere.yaml'])).code, 2);
    t.is((await runDaemon(['--settings', settingsFile('a: [1')])).code, 2);
    t.is((await runDaemon([])).code, 2);
  });

  itSerial('should only validate the settings with --check', async (t) => {
    const good = settingsFile('id: x\nlisten: 127.0.0.1:1\nzone: z\nregion: r\nlog: http://127.0.0.1:1\nchainSecret: 0123456789abcdef\n');
    const { code, out } = await runDaemon(['--settings', good, '--check']);
    t.is(code, 0);
    t.regex(out, /valid/);
  });

  itSerial('should limit the bytes of bodies in flight, and reject further requests as not_run', async (t) => {
    await fleet.setBehaviour('b1', { workMs: 300 });
    const pending = Array.from({ length: 6 }, (_, i) =>
      fetch(`http://${fleet.host('b1').address}/beta/big`, {
        method: 'POST',
        body: 'x'.repeat(400_000),
        headers: { 'x-call': `big-${i}` },
      }),
    );
    const responses = await Promise.all(pending);
    const refused = responses.filter(({ status }) => status === 503);
    t.is(refused.length, 4);
    t.true(refused.every(({ headers }) => headers.get('gentiandrum-outcome') === 'not_run' && headers.get('retry-after') !== null));
    await fleet.setBehaviour('b1', { workMs: 1 });
  });

  itSerial('should run two identical onward calls of one call, and neither again when that call is retried', async (t) => {
    await Promise.all(['a1', 'a2'].map((id) => fleet.setBehaviour(id, { failures: 0 })));
    await fleet.setBehaviour('a1', { failures: 1 });
    const res = await fetch(`http://${fleet.host('a1').address}/alpha/x`, { method: 'PUT', headers: { 'x-call': 'chain-holds' } });
    t.is(res.status, 200);
    t.is((await fleet.runsOf('b1'))['chain-holds'], 2);
    t.is((await fleet.runsOf('a1'))['chain-holds'], 1);
    t.is((await fleet.runsOf('a2'))['chain-holds'], 1);
  });
});

describe('gentiandrum', () => {
  const cases: { title: string; args: string[]; input?: unknown; code: number; pattern: RegExp }[] = [
    { title: 'no command', args: [], code: 2, pattern: /expected a command, got none/ },
    { title: 'an unknown command', args: ['aply'], code: 2, pattern: /expected a command, got "aply"/ },
    { title: 'a missing argument', args: ['apply'], code: 2, pattern: /missing required args/ },
    { title: 'an unknown option', args: ['status', '--fast'], code: 2, pattern: /Unknown option/ },
    { title: 'a missing base', args: ['apply', 'FILE'], code: 2, pattern: /expected --base to be a whole number, got nothing/ },
    { title: 'a base that is not a number', args: ['apply', 'FILE', '--base', 'x'], code: 2, pattern: /got "x"/ },
    { title: 'a patch that is not a map', args: ['apply', 'FILE', '--base', '1'], input: [1], code: 2, pattern: /a map of settings/ },
    {
      title: 'a patch against an old version',
      args: ['apply', 'FILE', '--base', '0'],
      code: 3,
      pattern: /patch_conflict: Version 1 is in force/,
    },
    {
      title: 'a patch that gives an invalid configuration',
      args: ['apply', 'FILE', '--base', '1'],
      input: { retryRatio: 7 },
      code: 2,
      pattern: /retryRatio/,
    },
    {
      title: 'an unreachable daemon',
      args: ['status', '--daemon', '127.0.0.1:1'],
      code: 4,
      pattern: /expected a daemon at 127.0.0.1:1/,
    },
    { title: 'a version that is not retained', args: ['get', '--at', '99'], code: 1, pattern: /Expected a version that is still kept/ },
    { title: 'an unknown request', args: ['explain', 'x~1~1'], code: 1, pattern: /no daemon has decisions for it/ },
    { title: 'a missing file', args: ['validate', '/nowhere.yaml'], code: 2, pattern: /expected a readable YAML file/ },
  ];
  for (const { title, args, input, code, pattern } of cases) {
    itSerial(`should exit with code ${code} and without a stack trace on ${title}`, async (t) => {
      const run = await fleet.runCli(args, input);
      t.is(run.code, code, run.err);
      t.regex(run.err, pattern);
      t.false(run.err.includes('    at '));
    });
  }

  itSerial('should print JSON for every read command with --json', async (t) => {
    for (const command of ['get', 'history', 'status']) {
      const { out, code } = await fleet.runCli([command, '--json']);
      t.is(code, 0);
      t.notThrows(() => JSON.parse(out) as unknown, command);
    }
  });

  itSerial('should show what a patch would change', async (t) => {
    const { out, code } = await fleet.runCli(['diff', 'FILE'], { retryRatio: 0.3, classes: { 'beta-hold': null } });
    t.is(code, 0);
    t.regex(out, /retryRatio: absent -> 0.3/);
    t.regex(out, /classes.beta-hold: .* -> absent/);
  });

  itSerial('should drain a target and undo it', async (t) => {
    t.is((await fleet.runCli(['drain', 'a2-target', '--wait'])).code, 0);
    await until('a1 knows that a2 is draining', async () =>
      (await fleet.status('a1')).members.some((m) => m.id === 'a2' && m.targetState === 'leaving'),
    );
    t.is((await fleet.runCli(['drain', 'a2-target', '--undo', '--wait'])).code, 0);
    await fleet.untilTargets('alpha', 2);
  });
});
