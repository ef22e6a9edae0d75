/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** The daemon as deployed: one bundle, started with its compiled code cache. */

import { type ChildProcess, spawn, spawnSync } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { describe, itSerial } from '../support/describe.js';
import { deployedArguments } from './deployedArguments.js';
import { MeshFleet } from './meshFleet.js';

const kRoot = fileURLToPath(new URL('../../..', import.meta.url));

describe('the bundled daemon', () => {
  itSerial('should start with its settings, serve calls from another host while they are reloaded, and stop on SIGTERM', async (t) => {
    const built = spawnSync(process.execPath, ['utils/bundle.mjs'], { cwd: kRoot, encoding: 'utf8' });
    t.is(built.status, 0, built.stderr);
    const folder = mkdtempSync(join(tmpdir(), 'gentiandrum-'));
    const fleet = new MeshFleet();
    await fleet.start();
    let child: ChildProcess | undefined;
    try {
      fleet.configure([{ prefix: '/a/', service: 'reads' }]);
      const near = await fleet.add('h1', 'other');
      const { settings, target, host } = await fleet.prepare('h2', 'reads');
      const file = join(folder, 'settings.yaml');
      writeFileSync(file, JSON.stringify(settings));
      child = spawn(process.execPath, deployedArguments(kRoot), {
        cwd: kRoot,
        env: { GENTIANDRUM_BOOT: file },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      let lines = '';
      child.stdout?.setEncoding('utf8').on('data', (text: string) => {
        lines += text;
      });
      let errors = '';
      child.stderr?.setEncoding('utf8').on('data', (text: string) => {
        errors += text;
      });
      const exited = once(child, 'exit');
      await fleet.until('the bundled daemon to listen', () => target.sendHeartbeat(host.control).then(Boolean, () => false));
      await fleet.until('a call to be served by its target', async () => (await fleet.call(near, '/a/x')).status === 200);
      const first = JSON.stringify(settings);
      for (const [text, line] of [
        [JSON.stringify({ ...settings, memoryMb: 300 }), 'The settings changed'],
        ['id: [', 'The changed settings are not valid'],
        [JSON.stringify({ ...settings, retries: { ratio: -1 } }), 'retries.ratio'],
        [first, 'The settings have not changed'],
      ] as const) {
        lines = '';
        writeFileSync(file, text);
        child.kill('SIGHUP');
        await fleet.until(`the line "${line}"`, async () => {
          t.is((await fleet.call(near, '/a/x')).status, 200);
          return lines.includes(line);
        });
      }
      child.kill('SIGTERM');
      t.deepEqual(await exited, [0, null]);
      t.is(errors, '', 'the compiled code cache of the bundle should match the flags in the deploy file');
      target.close();
    } finally {
      child?.kill('SIGKILL');
      await fleet.close();
      rmSync(folder, { recursive: true, force: true });
    }
  });
});
