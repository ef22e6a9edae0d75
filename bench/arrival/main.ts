/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Measures the CPU time per call of the two daemons on its path: the entry daemon and the daemon on the target's host. Both run
 * the bundled program with the flags of the deploy file. `--profile DIR` writes a CPU profile of each.
 */

import { type ChildProcess, spawn, spawnSync } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { deployedArguments } from '../../tests/mesh/deployedArguments.js';
import { MeshFleet, type PreparedHost } from '../../tests/mesh/meshFleet.js';
import { runInterleaved } from '../support/openLoop.js';

const kRoot = fileURLToPath(new URL('../../..', import.meta.url));
/** Load of a busy daemon. */
const kCallsPerSecond = 400;
const kWarmupSeconds = 4;
const kRoundSeconds = 6;
const kRounds = 3;
/** Load on a daemon that has just started, as in a fleet of hundreds. */
const kColdCalls = 500;
const kColdCallsPerSecond = 50;
/** Unit of the CPU times in `/proc/PID/stat` on Linux. */
const kCpuTicksPerSecond = 100;
/** Node.js flags: `ARRIVAL_NODE_FLAGS`, or else those of the deploy file. */
const kNodeFlags = process.env.ARRIVAL_NODE_FLAGS?.split(' ') ?? deployedArguments(kRoot).slice(0, -1);
const kProfileArgIndex = process.argv.indexOf('--profile');
const kProfileDir = kProfileArgIndex < 0 ? undefined : process.argv[kProfileArgIndex + 1];

interface RunningHost extends PreparedHost {
  child: ChildProcess;
}

async function startHost(fleet: MeshFleet, folder: string, id: string, service: string): Promise<RunningHost> {
  const preparedHost = await fleet.prepare(id, service);
  const file = join(folder, `${id}.yaml`);
  writeFileSync(file, JSON.stringify({ ...preparedHost.settings, logLinesPerSecond: 20 }));
  const profilingFlags = kProfileDir === undefined ? [] : ['--cpu-prof', '--cpu-prof-dir', kProfileDir];
  const child = spawn(process.execPath, [...kNodeFlags, ...profilingFlags, 'target/gentiandrumd.cjs'], {
    cwd: kRoot,
    env: { GENTIANDRUM_BOOT: file },
    stdio: 'ignore',
  });
  await fleet.until(`${id} to listen`, () => preparedHost.target.sendHeartbeat(preparedHost.host.control).then(Boolean, () => false));
  return { ...preparedHost, child };
}

function cpuSeconds(child: ChildProcess): number {
  const text = readFileSync(`/proc/${child.pid ?? 0}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) / kCpuTicksPerSecond;
}

/** Peak resident memory of a process, in MB. */
function peakRssMb(child: ChildProcess): number {
  const text = readFileSync(`/proc/${child.pid ?? 0}/status`, 'utf8');
  return Math.round(Number(/VmHWM:\s+(\d+)/.exec(text)?.[1] ?? 0) / 1_024);
}

spawnSync(process.execPath, ['utils/bundle.mjs'], { cwd: kRoot, stdio: 'inherit' });
const folder = mkdtempSync(join(tmpdir(), 'gentiandrum-'));
const fleet = new MeshFleet();
await fleet.start();
fleet.configure([{ prefix: '/a/', service: 'reads' }]);
const hosts = [await startHost(fleet, folder, 'h1', 'front'), await startHost(fleet, folder, 'h2', 'reads')];
const [entryHost] = hosts;
const call = async (): Promise<boolean> => entryHost !== undefined && (await fleet.call(entryHost.host, '/a/x')).status === 200;
await fleet.until('a call to be served', call);
const startupCpuSeconds = hosts.map(({ child }) => cpuSeconds(child));
await runInterleaved({ call }, kColdCallsPerSecond, kColdCalls / kColdCallsPerSecond);
const coldCpuMsPerCall = hosts.map(({ child }, index) => ((cpuSeconds(child) - (startupCpuSeconds[index] ?? 0)) * 1_000) / kColdCalls);
console.table([
  {
    'start, ms': startupCpuSeconds.map((seconds) => Math.round(seconds * 1_000)).join(' '),
    'entry, ms a call': coldCpuMsPerCall[0],
    'gate, ms a call': coldCpuMsPerCall[1],
    'both, ms a call': coldCpuMsPerCall.reduce((sum, ms) => sum + ms, 0),
    'peak, MB': hosts.map(({ child }) => peakRssMb(child)).join(' '),
  },
]);
await runInterleaved({ call }, kCallsPerSecond, kWarmupSeconds);
const rounds = [];
for (let i = 0; i < kRounds; i++) {
  const before = hosts.map(({ child }) => cpuSeconds(child));
  const { call: latencies } = await runInterleaved({ call }, kCallsPerSecond, kRoundSeconds);
  const after = hosts.map(({ child }) => cpuSeconds(child));
  const [entry = 0, gate = 0] = after.map(
    (seconds, index) => ((seconds - (before[index] ?? 0)) * 1_000) / (kCallsPerSecond * kRoundSeconds),
  );
  rounds.push({
    'entry, ms a call': entry,
    'gate, ms a call': gate,
    'both, ms a call': entry + gate,
    'peak, MB': hosts.map(({ child }) => peakRssMb(child)).join(' '),
    ...latencies,
  });
}
console.table(rounds);
for (const { child, target } of hosts) {
  const exited = once(child, 'exit');
  child.kill('SIGTERM');
  await exited;
  target.close();
}
await fleet.close();
rmSync(folder, { recursive: true, force: true });
