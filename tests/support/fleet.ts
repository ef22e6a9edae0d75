/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** A small deployment of real processes on the loopback: log stand-in, daemons and targets. */

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
const kReadyTimeoutMs = 20_000;
const kPollMs = 50;

/** A daemon with its target, if it has one. */
export interface FleetHost {
  id: string;
  zone: string;
  address: string;
  daemon: ChildProcess;
  targetUrl: string;
  target?: ChildProcess;
  logs: string[];
}

/** What a host of the fleet runs. */
export interface HostPlan {
  id: string;
  zone: string;
  region?: string;
  service?: string;
  behaviour?: Partial<Behaviour>;
}

/** Result of a client command. */
export interface CliResult {
  code: number;
  out: string;
  err: string;
}

/** Processes of one deployment. */
export class Fleet {
  readonly hosts = new Map<string, FleetHost>();
  logUrl = '';
  /** All lines of all daemons so far, also of those that ended and started again. */
  private readonly _logLines: string[] = [];
  private readonly _folder = mkdtempSync(join(tmpdir(), 'gentiandrum-'));
  private readonly _processes = new Set<ChildProcess>();

  /** Starts the log and the hosts, and waits until the daemons answer. */
  static async start(plans: HostPlan[], settings: Partial<Settings> = {}): Promise<Fleet> {
    const fleet = new Fleet();
    // Also when the start fails: nothing that was started may outlive this process.
    process.once('exit', () => {
      fleet.stop();
    });
    fleet.logUrl = await fleet._spawnStandin(['log']).line;
    await Promise.all(plans.map((plan) => fleet.startHost(plan, settings)));
    return fleet;
  }

  /** Starts one host, at the given address or a free one. */
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
    await until(`daemon ${plan.id} answers`, async () => {
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

  /** The host of this name. */
  host(id: string): FleetHost {
    const host = this.hosts.get(id);
    if (!host) {
      throw new Error(`expected a host of the fleet, got "${id}"`);
    }
    return host;
  }

  /** Lines of all daemons about the requests that are named in some texts, such as answers of the kind of a problem. */
  logLinesFor(texts: readonly string[]): string {
    const requests = texts.flatMap((text) => /"instance":"([^"]+)"/.exec(text)?.[1] ?? []);
    return this._logLines.filter((line) => requests.some((id) => line.includes(`"${id}"`))).join('\n');
  }

  /** What each daemon believes of the others now, and all lines about that so far: for a failure that does not come again. */
  async diagnostics(): Promise<string> {
    const views = [...this.hosts.keys()].map(async (id) => {
      const status = await this.status(id).catch((err: unknown) => String(err));
      return `${id}: ${JSON.stringify(status)}`;
    });
    return [...(await Promise.all(views)), ...this._logLines.filter((line) => /"(members|start|stop|target): /.test(line))].join('\n');
  }

  /** Runs a command of the client. */
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

  /** Sets the faults of the log. */
  async setLogFaults(faults: object): Promise<void> {
    await fetch(`${this.logUrl}/faults`, { method: 'POST', body: JSON.stringify(faults) });
  }

  /** Changes what a target does. */
  async setBehaviour(id: string, behaviour: Partial<Behaviour>): Promise<void> {
    await fetch(`${this.host(id).targetUrl}/-/behaviour`, { method: 'POST', body: JSON.stringify(behaviour) });
  }

  /** Runs of a target by the calls' `x-call` header. */
  async runsOf(id: string): Promise<Record<string, number>> {
    const res = await fetch(`${this.host(id).targetUrl}/-/counts`);
    return ((await res.json()) as { runs: Record<string, number> }).runs;
  }

  /** Runs of one call over all targets of the fleet. */
  async totalRuns(call: string): Promise<number> {
    const ids = [...this.hosts.values()].filter((host) => host.targetUrl !== '').map((host) => host.id);
    const counts = await Promise.all(ids.map(async (id) => (await this.runsOf(id))[call] ?? 0));
    return counts.reduce((sum, count) => sum + count, 0);
  }

  /** Status as a daemon tells it. */
  async status(
    id: string,
  ): Promise<{ version: number; members: { id: string; state: string; service: string; targetState: string; configVersion: number }[] }> {
    const res = await fetch(`http://${this.host(id).address}/-/status`);
    return (await res.json()) as Awaited<ReturnType<Fleet['status']>>;
  }

  /** Waits until every daemon knows so many serving targets of a service. */
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

  /** Waits until every daemon holds a version. */
  async untilVersion(version: number): Promise<void> {
    await Promise.all(
      [...this.hosts.keys()].map((id) => until(`${id} holds version ${version}`, async () => (await this.status(id)).version >= version)),
    );
  }

  /** Kills everything that was started. */
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

/** A daemon ended while it was waited for, such as one that can't listen: waiting on would only hide why. */
class ExitedEarlyError extends Error {
  constructor(id: string, code: number, logs: readonly string[]) {
    super(`expected that daemon ${id} answers, but it ended with code ${code}: ${logs.join('\n')}`);
  }
}

/** Waits until a condition holds; a failing check counts as not yet. */
export async function until(what: string, condition: () => Promise<boolean>): Promise<void> {
  const deadline = performance.now() + kReadyTimeoutMs;
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
      throw new Error(`expected that ${what}, but it did not happen`);
    }
    await new Promise((resolve) => setTimeout(resolve, kPollMs));
  }
}

/** Exit code of a process; -1 when a signal ended it. */
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
