/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** A small deployment of real processes on the loopback interface: log stand-in, daemons and targets. */

import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { Settings } from '@gentiandrum/protocol';
import { stringify } from 'yaml';
import type { Behaviour } from '../standins/targetStandin.js';
import { freeAddress } from './freePorts.js';

const kDaemonBin = fileURLToPath(new URL('../../../packages/daemon/bin/gentiandrumd.js', import.meta.url));
const kCliBin = fileURLToPath(new URL('../../../packages/cli/bin/gentiandrum.js', import.meta.url));
const kStandin = fileURLToPath(new URL('../standins/main.js', import.meta.url));
const kWaitTimeoutMs = 20_000;
const kPollMs = 50;
/** Number of hosts that start at the same time. Each start takes 0.7 s of processor time, and has to end before the timeout. */
const kStartsAtOnce = 4;

/** A running daemon and its target, if any. */
export interface FleetHost {
  id: string;
  zone: string;
  address: string;
  daemon: ChildProcess;
  targetUrl: string;
  target?: ChildProcess;
  logs: string[];
}

/** Configuration of a host of the fleet. */
export interface HostPlan {
  id: string;
  zone: string;
  region?: string;
  service?: string;
  behaviour?: Partial<Behaviour>;
}

/** Result of a command of the command-line client. */
export interface CliResult {
  code: number;
  out: string;
  err: string;
}

/** Processes of one deployment. */
export class Fleet {
  readonly hosts = new Map<string, FleetHost>();
  logUrl = '';
  /** Log lines of all daemons so far, including those that exited or restarted. */
  private readonly _logLines: string[] = [];
  private readonly _folder = mkdtempSync(join(tmpdir(), 'gentiandrum-'));
  private readonly _processes = new Set<ChildProcess>();

  /** Starts the log and the hosts, and waits until the daemons respond. */
  static async start(plans: HostPlan[], settings: Partial<Settings> = {}): Promise<Fleet> {
    const fleet = new Fleet();
    // Registered first, so that no child process outlives this one if the start fails.
    process.once('exit', () => {
      fleet.stop();
    });
    try {
      fleet.logUrl = await fleet._spawnStandin(['log']).line;
      for (let i = 0; i < plans.length; i += kStartsAtOnce) {
        await Promise.all(plans.slice(i, i + kStartsAtOnce).map((plan) => fleet.startHost(plan, settings)));
      }
    } catch (err) {
      // The test runner would wait for the processes.
      fleet.stop();
      throw err;
    }
    return fleet;
  }

  /** Starts one host, at the given address or at a free one. */
  async startHost(plan: HostPlan, settings: Partial<Settings> = {}, fixedAddress?: string): Promise<FleetHost> {
    const address = fixedAddress ?? (await freeAddress());
    const file = join(this._folder, `${plan.id}.yaml`);
    const seeds = [...this.hosts.values()].slice(0, 2).map((host) => host.address);
    const hostSettings = { id: plan.id, listen: address, zone: plan.zone, region: plan.region ?? 'one', log: this.logUrl, seeds };
    writeFileSync(file, stringify({ chainSecret: 'a secret of the tests', ...hostSettings, ...settings }));
    const daemon = spawn(process.execPath, [kDaemonBin, '--settings', file], { stdio: ['ignore', 'pipe', 'pipe'] });
    this._processes.add(daemon);
    const host: FleetHost = { id: plan.id, zone: plan.zone, address, daemon, targetUrl: '', logs: [] };
    collectLines(daemon, host.logs, this._logLines);
    this.hosts.set(plan.id, host);
    await until(`daemon ${plan.id} responds`, async () => {
      if (daemon.exitCode !== null) {
        throw new ExitedEarlyError(plan.id, daemon.exitCode, host.logs);
      }
      return (await fetch(`http://${address}/-/status`)).ok;
    });
    if (plan.service !== undefined) {
      await this.startTarget(host, plan.service, plan.behaviour ?? {});
    }
    return host;
  }

  /** Starts the target of a host. */
  async startTarget(host: FleetHost, service: string, behaviour: Partial<Behaviour>): Promise<void> {
    const place = { target: `${host.id}-target`, service, daemon: host.address };
    const { child, line } = this._spawnStandin(['target', JSON.stringify({ place, behaviour })]);
    host.target = child;
    host.targetUrl = await line;
  }

  /** Returns a host by its id. */
  host(id: string): FleetHost {
    const host = this.hosts.get(id);
    if (!host) {
      throw new Error(`expected a host of the fleet, got "${id}"`);
    }
    return host;
  }

  /** Returns the log lines of all daemons about the requests whose ids occur in `texts`, such as problem+json bodies. */
  logLinesFor(texts: readonly string[]): string {
    const requests = texts.flatMap((text) => /"instance":"([^"]+)"/.exec(text)?.[1] ?? []);
    return this._logLines.filter((line) => requests.some((id) => line.includes(`"${id}"`))).join('\n');
  }

  /** Returns the status of every daemon and all log lines about membership and lifecycle so far, for failure messages. */
  async diagnostics(): Promise<string> {
    const views = [...this.hosts.keys()].map(async (id) => {
      const status = await this.status(id).catch((err: unknown) => String(err));
      return `${id}: ${JSON.stringify(status)}`;
    });
    return [...(await Promise.all(views)), ...this._logLines.filter((line) => /"(members|start|stop|target): /.test(line))].join('\n');
  }

  /** Runs a command of the command-line client. The argument FILE is replaced by a YAML file with `input`. */
  async runCli(args: string[], input?: unknown): Promise<CliResult> {
    const file = join(this._folder, `input-${Math.random().toString(36).slice(2)}.yaml`);
    writeFileSync(file, stringify(input ?? {}));
    const first = [...this.hosts.values()][0];
    const daemon = args.includes('--daemon') ? [] : ['--daemon', first?.address ?? ''];
    const resolvedArgs = args.map((arg) => (arg === 'FILE' ? file : arg));
    const child = spawn(process.execPath, [kCliBin, ...resolvedArgs, ...daemon], { stdio: ['ignore', 'pipe', 'pipe'] });
    const [out, err, code] = await Promise.all([readText(child.stdout), readText(child.stderr), exitOf(child)]);
    return { code, out, err };
  }

  /** Sets the fault switches of the log stand-in. */
  async setLogFaults(faults: object): Promise<void> {
    await fetch(`${this.logUrl}/faults`, { method: 'POST', body: JSON.stringify(faults) });
  }

  /** Changes the behaviour of a host's target. */
  async setBehaviour(id: string, behaviour: Partial<Behaviour>): Promise<void> {
    await fetch(`${this.host(id).targetUrl}/-/behaviour`, { method: 'POST', body: JSON.stringify(behaviour) });
  }

  /** Number of runs at a host's target, by the `x-call` header of the calls. */
  async runsOf(id: string): Promise<Record<string, number>> {
    const res = await fetch(`${this.host(id).targetUrl}/-/counts`);
    return ((await res.json()) as { runs: Record<string, number> }).runs;
  }

  /** Whether a host's target runs a call that ends its process. */
  async isDoomed(id: string): Promise<boolean> {
    const res = await fetch(`${this.host(id).targetUrl}/-/counts`);
    return ((await res.json()) as { doomed: boolean }).doomed;
  }

  /** Number of runs of one call at all targets of the fleet. */
  async totalRuns(call: string): Promise<number> {
    const ids = [...this.hosts.values()].filter((host) => host.targetUrl !== '').map((host) => host.id);
    const counts = await Promise.all(ids.map(async (id) => (await this.runsOf(id))[call] ?? 0));
    return counts.reduce((sum, count) => sum + count, 0);
  }

  /** Requests the status of a daemon. */
  async status(
    id: string,
  ): Promise<{ version: number; members: { id: string; state: string; service: string; targetState: string; configVersion: number }[] }> {
    const res = await fetch(`http://${this.host(id).address}/-/status`);
    return (await res.json()) as Awaited<ReturnType<Fleet['status']>>;
  }

  /** Waits until every daemon knows exactly `count` serving targets of a service. */
  async untilTargets(service: string, count: number): Promise<void> {
    await Promise.all(
      [...this.hosts.keys()].map((id) =>
        until(`${id} knows ${count} targets of ${service}`, async () => {
          const { members } = await this.status(id);
          return members.filter((m) => m.service === service && m.targetState === 'serving' && m.state === 'alive').length === count;
        }),
      ),
    );
  }

  /** Waits until every daemon has at least this version of the configuration. */
  async untilVersion(version: number): Promise<void> {
    await Promise.all(
      [...this.hosts.keys()].map((id) => until(`${id} has version ${version}`, async () => (await this.status(id)).version >= version)),
    );
  }

  /** Kills all processes and removes the temporary files. */
  stop(): void {
    for (const child of this._processes) {
      child.kill('SIGKILL');
    }
    rmSync(this._folder, { recursive: true, force: true });
  }

  private _spawnStandin(args: string[]): { child: ChildProcess; line: Promise<string> } {
    const child = spawn(process.execPath, [kStandin, ...args], { stdio: ['ignore', 'pipe', 'inherit'] });
    this._processes.add(child);
    const line = new Promise<string>((resolve) =>
      child.stdout.once('data', (data: Buffer) => {
        resolve(data.toString().trim());
      }),
    );
    return { child, line };
  }
}

/** A daemon exited during its start, for example because it could not listen. `until` rethrows it; the message contains the log. */
class ExitedEarlyError extends Error {
  constructor(id: string, code: number, logs: readonly string[]) {
    super(`expected daemon ${id} to respond, but it exited with code ${code}: ${logs.join('\n')}`);
  }
}

/** Polls until a condition is true; an error other than `ExitedEarlyError` counts as false. Throws after a timeout. */
export async function until(what: string, condition: () => Promise<boolean>): Promise<void> {
  const deadline = performance.now() + kWaitTimeoutMs;
  for (;;) {
    const done = await condition().catch((err: unknown) => {
      if (err instanceof ExitedEarlyError) {
        throw err;
      }
      return false;
    });
    if (done) {
      return;
    }
    if (performance.now() > deadline) {
      throw new Error(`timed out waiting until ${what}`);
    }
    await new Promise((resolve) => setTimeout(resolve, kPollMs));
  }
}

/** Resolves with the exit code of a process; -1 if a signal killed it. */
export function exitOf(child: ChildProcess): Promise<number> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return Promise.resolve(child.exitCode ?? -1);
  }
  return new Promise((resolve) =>
    child.once('exit', (code) => {
      resolve(code ?? -1);
    }),
  );
}

function collectLines(child: ChildProcess, ...lists: string[][]): void {
  const append = (data: Buffer): void => {
    const lines = data.toString().split('\n').filter(Boolean);
    lists.forEach((list) => list.push(...lines));
  };
  child.stdout?.on('data', append);
  child.stderr?.on('data', append);
}

async function readText(stream: NodeJS.ReadableStream | null): Promise<string> {
  let all = '';
  for await (const chunk of stream ?? []) {
    all += chunk.toString();
  }
  return all;
}
