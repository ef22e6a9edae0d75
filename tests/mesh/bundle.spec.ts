/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** The daemon as deployed: one bundle, started with its compiled code cache. */

import { type ChildProcess, spawn, spawnSync } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { describe, itSerial } from '../support/describe.js';
import { deployedArguments } from './deployedArguments.js';
import { request } from 'undici';
import { MeshFleet, type PreparedHost } from './meshFleet.js';

const kRoot = fileURLToPath(new URL('../../..', import.meta.url));

/** Memory limit of the daemons, in MiB, the length of a body, and the interval between measurements, in milliseconds. */
const kMemoryMb = 350;
const kLongBytes = 52 * 2 ** 20;
const kMeasureMs = 5;

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

  // Each body was held up to four times at the ingress, and once more at the target's host; the platform kills a process beyond its memory.
  itSerial('should serve two long bodies at once, and give up a response without end, within its memory', async (t) => {
    t.is(spawnSync(process.execPath, ['utils/bundle.mjs'], { cwd: kRoot }).status, 0);
    const folder = mkdtempSync(join(tmpdir(), 'gentiandrum-'));
    const fleet = new MeshFleet();
    await fleet.start();
    const children: ChildProcess[] = [];
    const peaksMb = new Map<ChildProcess, number>();
    const measuring = setInterval(() => {
      children.forEach((child) => peaksMb.set(child, Math.max(peaksMb.get(child) ?? 0, privateMb(child))));
    }, kMeasureMs);
    try {
      fleet.configure([{ prefix: '/once/', service: 'reads', idempotent: false, timeoutMs: 8_000 }], { max_body_bytes: 2 ** 26 });
      const near = await fleet.prepare('h1', 'other', { settings: { memoryMb: kMemoryMb } });
      const far = await fleet.prepare('h2', 'reads', { settings: { memoryMb: kMemoryMb } });
      for (const prepared of [near, far]) {
        children.push(spawnDaemon(folder, prepared));
        await fleet.until('the daemon to listen', () => prepared.target.sendHeartbeat(prepared.host.control).then(Boolean, () => false));
      }
      const send = async (bytes: number): Promise<number> => {
        const headers = { host: 'app.example', 'x-attempt-id': `b${bytes}`, 'x-deadline-remaining': '8000' };
        const res = await request(`http://${near.host.calls}/once/x`, { method: 'POST', body: Buffer.alloc(bytes, 'x'), headers });
        await res.body.dump();
        return res.statusCode;
      };
      await fleet.until('a call to be served', async () => (await send(1)) === 200);
      t.deepEqual(await Promise.all([send(kLongBytes), send(kLongBytes)]), [200, 200]);
      far.target.mode = 'endless';
      t.deepEqual(await Promise.all([send(1), send(2)]), [502, 502]);
      for (const child of children) {
        t.is(child.exitCode, null);
        t.true((peaksMb.get(child) ?? Infinity) < kMemoryMb, `${peaksMb.get(child)} MB`);
      }
    } finally {
      clearInterval(measuring);
      children.forEach((child) => child.kill('SIGKILL'));
      await fleet.close();
      rmSync(folder, { recursive: true, force: true });
    }
  });
});

function spawnDaemon(folder: string, { settings }: PreparedHost): ChildProcess {
  const file = join(folder, `${settings.id}.yaml`);
  writeFileSync(file, JSON.stringify(settings));
  return spawn(process.execPath, deployedArguments(kRoot), { cwd: kRoot, env: { GENTIANDRUM_BOOT: file }, stdio: 'ignore' });
}

/** Private memory of a process, in MB. */
function privateMb({ pid }: ChildProcess): number {
  try {
    return Number(/^RssAnon:\s+(\d+)/m.exec(readFileSync(`/proc/${pid ?? 0}/status`, 'utf8'))?.[1] ?? 0) / 1_024;
  } catch {
    return 0;
  }
}
