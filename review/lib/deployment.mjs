/**
 * A small deployment on loopback: the store, the operator's configuration, and machines with one upstream and one daemon each. The daemons
 * are processes that run the command of the deploy file.
 */

import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Store } from './store.mjs';
import { Upstream } from './upstream.mjs';

const kRoot = fileURLToPath(new URL('../..', import.meta.url));
export const kHost = 'app.example';
/** Bounds of the site paturi-ro that the daemons' settings hold. */
const kBounds = { configApplyMs: 2_000, graceSeconds: 6, retryRatio: 0.2, retryExtra: 48, retryWindowSeconds: 10 };
/** Ports of the daemons' listeners. */
const kFirstPort = 12_000;
const kPorts = 20_000;
const kReadinessMs = 1_000;
const kStartMs = 10_000;
/** Time for heartbeats and records to reach all machines. */
const kWarmUpMs = 2_000;

export class Deployment {
  store = new Store();
  machines = [];
  startedAt = performance.now();
  /** Ids of the requests that an upstream began to run, and of those whose run ended with an answer. */
  run = new Set();
  ran = new Set();
  _folder = mkdtempSync(join(tmpdir(), 'review-'));
  _version = 0;

  /** @param file path of the record */
  constructor(file) {
    this._file = file;
    writeFileSync(file, '');
  }

  /** Writes one line of the record: the time in milliseconds since the start, the event and its fields. */
  record = (event, fields = {}) => {
    appendFileSync(
      this._file,
      `${String(Math.round(performance.now() - this.startedAt)).padStart(6)} ${event} ${JSON.stringify(fields)}\n`,
    );
  };

  async start() {
    this._storeAddress = await this.store.start();
  }

  /** Writes a configuration as the operator does. */
  configure(routes) {
    this._version += 3;
    const services = [...new Set(routes.map(({ service }) => service))];
    this.store.put(
      'keyed.op',
      'config',
      JSON.stringify({
        version: this._version.toString(16).padStart(8, '0'),
        routes: routes.map(({ prefix, service, kind }) => ({
          name: `r${prefix}`,
          host: kHost,
          path_prefix: prefix,
          kind,
          timeout_ms: 6_000,
          target_latency_ms: 2_000,
          max_attempts: 2,
          priority: 1,
          service,
        })),
        services: services.map((name) => ({ name, health_path: '/health', max_connections: 418 })),
        limits: { max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
      }),
    );
  }

  /** Starts a machine: its upstream, and its daemon as a process. */
  async addMachine({ id, zone, service }) {
    const upstream = new Upstream({ instance: `i-${id}`, service, zone }, (event, fields) => this._recordRun(event, fields));
    await upstream.start();
    const [calls, peers, ready, control, metrics] = await freeAddresses(5);
    const machine = { id, zone, service, upstream, calls, ready, control, exited: undefined, process: undefined };
    const file = join(this._folder, `${id}.yaml`);
    writeFileSync(file, JSON.stringify(this._settings({ id, zone, service, calls, peers, ready, control, metrics }, upstream.address)));
    this._startDaemon(machine, file);
    upstream.beat(control);
    machine.readiness = setInterval(() => void this._checkReadiness(machine), kReadinessMs);
    this.machines.push(machine);
    return machine;
  }

  /** Waits until a condition holds; false after ten seconds. */
  async until(condition) {
    const deadline = performance.now() + kStartMs;
    while (!(await condition())) {
      if (performance.now() > deadline) {
        return false;
      }
      await pause(50);
    }
    return true;
  }

  /** Waits until the daemon of a machine answers that it is ready. */
  async untilReady(machine) {
    return this.until(async () => (await readiness(machine)) === 200);
  }

  /** Starts two machines in zones of their own, and waits until requests of the first one's clients may go to the second one's upstream. */
  async startPair() {
    const near = await this.addMachine({ id: 'm1', zone: 'z1', service: 'front' });
    const far = await this.addMachine({ id: 'm2', zone: 'z2', service: 'reads' });
    if (!(await this.untilReady(near)) || !(await this.untilReady(far))) {
      throw new Error('the daemons did not become ready');
    }
    await pause(kWarmUpMs);
    return { near, far };
  }

  /** Sends a signal to the daemon of a machine. */
  signal(machine, name) {
    this.record('signal', { machine: machine.id, name });
    machine.process.kill(name);
  }

  /** Ends all processes and removes the temporary folder. */
  async close() {
    for (const { process: child, upstream, readiness: timer } of this.machines) {
      clearInterval(timer);
      if (child.exitCode === null && child.signalCode === null) {
        const exited = once(child, 'exit');
        child.kill('SIGKILL');
        await exited;
      }
      upstream.close();
    }
    this.store.close();
    rmSync(this._folder, { recursive: true, force: true });
  }

  /** What the template of the deploy file gives for a machine; JSON is YAML too. */
  _settings({ id, zone, service, calls, peers, ready, control, metrics }, address) {
    return {
      id,
      zone,
      region: 'region-1',
      listen: { calls, peers, ready, announcements: control, metrics },
      target: { address, service },
      log: { address: this._storeAddress, firstStart: true },
      inForceMs: kBounds.configApplyMs,
      retries: { ratio: kBounds.retryRatio, extra: kBounds.retryExtra, windowSeconds: kBounds.retryWindowSeconds },
      stopSeconds: kBounds.graceSeconds,
      memoryMb: 350,
      load: { chainTime: true, callParents: true, statedLoad: true, speedChoice: true, fairShares: true, rankedRepeats: true },
    };
  }

  _startDaemon(machine, file) {
    const command = /^run = "node (.*)"$/m.exec(readFileSync(join(kRoot, 'deploy/system.toml'), 'utf8'));
    const child = spawn(process.execPath, command[1].split(' '), {
      cwd: kRoot,
      env: { GENTIANDRUM_BOOT: file },
      stdio: ['ignore', 'ignore', 'inherit'],
    });
    machine.process = child;
    machine.exited = once(child, 'exit').then(([code, signal]) => this.record('exit', { machine: machine.id, code, signal }));
  }

  _recordRun(event, fields) {
    this.record(event, fields);
    if (event === 'run' || event === 'ran') {
      this[event].add(fields.id);
    }
  }

  async _checkReadiness(machine) {
    const status = await readiness(machine);
    if (status !== machine.lastReadiness) {
      machine.lastReadiness = status;
      this.record('readiness', { machine: machine.id, status });
    }
  }
}

export function pause(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Status of a readiness check; 0 without an answer. */
function readiness({ ready }) {
  return new Promise((resolve) => {
    const req = get(`http://${ready}/v1/readiness`, { timeout: 900, agent: false }, (res) => {
      res.resume();
      resolve(res.statusCode);
    });
    req.on('timeout', () => req.destroy());
    req.on('error', () => resolve(0));
  });
}

/** Returns free loopback addresses, below the ports that the system gives to outgoing connections. */
async function freeAddresses(count) {
  const addresses = [];
  while (addresses.length < count) {
    const port = kFirstPort + Math.floor(Math.random() * kPorts);
    const address = `127.0.0.1:${port}`;
    if (!addresses.includes(address) && (await isFree(port))) {
      addresses.push(address);
    }
  }
  return addresses;
}

function isFree(port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
