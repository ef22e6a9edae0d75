/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * A small deployment for the scripts of this review: daemons as separate processes with the command and the settings template of the
 * deploy file, each on its own loopback address, and stand-ins for the platform's store, the upstreams and the clients in this process.
 */

import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, request } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

export { pause };

const kRoot = fileURLToPath(new URL('../..', import.meta.url));
/** Bounds of a small deployment, as the site files of the users set them. */
export const kBounds = {
  contact_ms: 3000,
  drain_ms: 2000,
  grace_s: 6,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  budget_extra_retries: 48,
};
/** Memory of a process on the machines of `paturi-ro`, in MB. */
export const kMemoryMb = 350;
/** Longest body that a client may send, as the pages show it in the configuration of each site. */
export const kMaxBodyBytes = 67_108_864;
const kHost = 'app.example';
/** Delay between the end of a process and its next start. */
const kRestartMs = 500;

const startedAt = performance.now();
export const now = () => performance.now() - startedAt;

/** The record of one run: what was sent, answered and run. */
export class RunRecord {
  constructor(folder) {
    this._out = createWriteStream(join(folder, 'record.txt'));
  }

  line(text) {
    this._out.write(`${(now() / 1000).toFixed(3).padStart(8)} s  ${text}\n`);
  }

  async close() {
    this._out.end();
    await once(this._out, 'finish');
  }
}

/** Free ports of an address; all are held until the last one is known, so that none is given twice. */
async function freePorts(ip, count) {
  const servers = Array.from({ length: count }, () => createTcpServer().listen(0, ip));
  await Promise.all(servers.map((server) => once(server, 'listening')));
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => once(server.close(), 'close')));
  return ports;
}

/** Renders the settings template: `{{a.b}}`, `{{a|json}}` and sections, as the page on the deploy file describes them. */
export function render(template, fields) {
  const find = (path) => path.split('.').reduce((value, key) => value?.[key], fields);
  const sections = /\{\{([#^])([\w.]+)\}\}(\n?)([\s\S]*?)\{\{\/\2\}\}(\n?)/g;
  const plain = template.replace(sections, (_, kind, path, afterStart, inner, afterEnd) => {
    const value = find(path);
    const present = value !== undefined && value !== false;
    return ((kind === '#') === present ? render(inner, fields) : '') + (afterStart === '' ? afterEnd : '');
  });
  return plain.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
    const value = find(path);
    return json ? JSON.stringify(value ?? null) : String(value ?? '');
  });
}

/** The platform's store: keyed topics with one partition, appends and long polls. */
class Store {
  constructor(ip) {
    this.ip = ip;
    this._topics = new Map();
    this._server = createServer((req, res) => {
      const chunks = [];
      req.on('data', (chunk) => chunks.push(chunk));
      req.on('end', () => {
        void this._serve(req, res, Buffer.concat(chunks));
      });
    });
    this._server.keepAliveTimeout = 60_000;
  }

  async start() {
    this._server.listen(0, this.ip);
    await once(this._server, 'listening');
    this.address = `${this.ip}:${this._server.address().port}`;
  }

  close() {
    this._server.close();
    this._server.closeAllConnections();
  }

  /** Appends a record to a topic; the operator's ack is the return. */
  put(name, key, value) {
    const topic = this._topic(name);
    topic.records.push({ key, value: Buffer.from(value) });
    topic.waiters.splice(0).forEach((wake) => wake());
  }

  _topic(name) {
    if (!this._topics.has(name)) {
      this._topics.set(name, { records: [], waiters: [] });
    }
    return this._topics.get(name);
  }

  async _serve(req, res, body) {
    const url = new URL(req.url, 'http://store');
    const name = url.searchParams.get('topic');
    const topic = this._topic(name);
    const send = (value) => {
      res.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(value));
    };
    switch (url.pathname) {
      case '/v1/log-append': {
        await pause(4);
        const offset = topic.records.length;
        for (let at = 0; at + 4 <= body.length;) {
          const content = body.subarray(at + 4, at + 4 + body.readUInt32BE(at));
          const keyEnd = 1 + content[0];
          this.put(name, content.toString('utf8', 1, keyEnd), content.subarray(keyEnd));
          at += 4 + content.length;
        }
        send({ offset, end_offset: topic.records.length });
        return;
      }
      case '/v1/log-newest': {
        const newest = new Map();
        topic.records.forEach(({ key, value }, offset) => {
          newest.delete(key);
          if (value.length > 0) {
            newest.set(key, { key, value: value.toString('base64'), offset });
          }
        });
        send({ items: [...newest.values()], has_more: false, end_offset: topic.records.length });
        return;
      }
      case '/v1/log-read': {
        const from = Number(url.searchParams.get('from'));
        if (from >= topic.records.length) {
          await new Promise((resolve) => {
            const timer = setTimeout(resolve, Number(url.searchParams.get('wait_ms')));
            topic.waiters.push(() => {
              clearTimeout(timer);
              resolve();
            });
          });
        }
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(topic.records.length), 0);
        const frames = topic.records.slice(from).map(({ key, value }) => {
          const frame = Buffer.concat([Buffer.alloc(5), Buffer.from(key), value]);
          frame.writeUInt32BE(frame.length - 4, 0);
          frame[4] = Buffer.byteLength(key);
          return frame;
        });
        res.writeHead(200).end(Buffer.concat([head, ...frames]));
        return;
      }
      default:
        res.writeHead(404).end();
    }
  }
}

/** Sends one request, by default on a connection of its own; returns the status, or why there was no complete answer. */
export function send(address, { method = 'GET', path, headers = {}, body = '', agent = false }) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const req = request({ host, port, method, path, headers: { ...headers, 'content-length': Buffer.byteLength(body) }, agent });
    req.on('response', (res) => {
      const chunks = [];
      res.on('data', (chunk) => chunks.push(chunk));
      res.on('end', () => {
        const complete = res.complete ? {} : { broken: 'the answer ended early' };
        resolve({ status: res.statusCode, headers: res.headers, body: Buffer.concat(chunks).toString(), ...complete });
      });
      res.on('error', (err) => resolve({ status: 0, broken: err.message }));
    });
    req.on('error', (err) => resolve({ status: 0, broken: err.code ?? err.message }));
    req.end(body);
  });
}

/** An upstream: serves requests with its seal, refuses those for another instance, and sends heartbeats to the daemon beside it. */
export class Upstream {
  running = 0;
  /** Bytes added to the body of each answer. */
  paddingBytes = 0;
  /** Start of the incarnation, on sites whose upstreams send it. */
  born = undefined;
  /** Called with each request that starts to run; its promise is the work. */
  work = () => pause(20);
  _sequence = 0;

  constructor(site, machine, instance) {
    this._site = site;
    this._machine = machine;
    this.instance = instance;
    this._server = createServer((req, res) => {
      void this._serve(req, res);
    });
    this._server.keepAliveTimeout = 10_000;
  }

  async start() {
    const [host, port] = this._machine.app.split(':');
    this._server.listen(Number(port), host);
    await once(this._server, 'listening');
    this._timer = setInterval(() => {
      void this.beat();
    }, 1_500);
  }

  /** A heartbeat; `heldMs` is how late it arrives. */
  async beat(state = 'ready', heldMs = 0) {
    const sequence = ++this._sequence;
    const body = JSON.stringify({
      address: this._machine.app,
      born: this.born,
      info: { service: this._machine.service, version: 'v1', zone: this._machine.zone, slots: 20 },
      status: { state, sequence, cold_remaining_ms: 0 },
    });
    if (heldMs > 0) {
      this._site.record.line(`${this.instance}: sends the heartbeat ${sequence} (${state}), which arrives late`);
      await pause(heldMs);
    }
    const headers = { 'content-type': 'application/json' };
    const answer = await send(this._machine.control, { method: 'PUT', path: `/v1/instances/${this.instance}`, headers, body });
    if (heldMs > 0) {
      this._site.record.line(`${this.instance}: the heartbeat ${sequence} (${state}) arrived, ${heldMs} ms late: ${answer.status}`);
    }
    return answer.status;
  }

  /** Sends only heartbeats that say that it leaves; returns the status of the answer to the first. */
  async drain() {
    clearInterval(this._timer);
    this._timer = setInterval(() => {
      void this.beat('draining');
    }, 1_500);
    return this.beat('draining');
  }

  /** Sends no more heartbeats and deregisters; the upstream goes on serving. Returns the status of the answer. */
  async leave() {
    clearInterval(this._timer);
    const body = this.born === undefined ? '' : JSON.stringify({ born: this.born });
    return (await send(this._machine.control, { method: 'DELETE', path: `/v1/instances/${this.instance}`, body })).status;
  }

  /** Ends like a process that exits. */
  close() {
    clearInterval(this._timer);
    this._server.close();
    this._server.closeAllConnections();
  }

  async _serve(req, res) {
    const chunks = [];
    for await (const chunk of req) {
      chunks.push(chunk);
    }
    const id = req.headers['x-attempt-id'] ?? '';
    if (req.headers['x-target-instance'] !== this.instance) {
      res.writeHead(421, { 'x-attempt-id': id, 'x-not-executed': '1', 'content-length': 0 }).end();
      return;
    }
    this.running++;
    this._site.onRun(this, id);
    await this.work(id, req);
    this.running--;
    const text = `${this.instance} did ${id}${'x'.repeat(this.paddingBytes)}`;
    res.writeHead(200, { 'x-attempt-id': id, 'x-response-seal': `seal.${id}`, 'content-length': text.length }).end(text);
  }
}

/** Machines, store and clients. */
export class Site {
  machines = [];
  /** Called when an upstream starts to run a request. */
  onRun = () => undefined;
  _closing = false;
  _nextId = 1;

  constructor(folder) {
    this.record = new RunRecord(folder);
    this._folder = mkdtempSync(join(tmpdir(), 'gentiandrum-review-'));
    this._net = `127.${1 + (process.pid % 250)}.${1 + (Math.floor(process.pid / 250) % 250)}`;
    this.store = new Store(`${this._net}.250`);
  }

  async start(routes) {
    await this.store.start();
    this.configure(routes);
  }

  /** The operator writes a configuration. */
  configure(routes, limits = {}) {
    this._version = (this._version ?? 0) + 3;
    const services = [...new Set(routes.map(({ service }) => service))];
    const config = {
      version: this._version.toString(16).padStart(8, '0'),
      routes: routes.map((route) => ({ host: kHost, priority: 1, max_attempts: 2, target_latency_ms: 1_000, ...route })),
      services: services.map((name) => ({ name, health_path: '/health', max_connections: 400 })),
      limits: { max_header_bytes: 16_384, max_body_bytes: kMaxBodyBytes, header_timeout_ms: 3_000, idle_timeout_ms: 15_000, ...limits },
    };
    this.store.put('keyed.op', 'config', JSON.stringify(config));
  }

  /** Adds a machine with its daemon; the upstream beside it is started by the caller. */
  async add(name, zone, service) {
    const ip = `${this._net}.${this.machines.length + 1}`;
    const ports = await freePorts(ip, 5);
    const [outbound, inbound, ready, control, app] = ports.map((port) => `${ip}:${port}`);
    const machine = { name, zone, service, ip, outbound, inbound, ready, control, app, starts: 0 };
    this.machines.push(machine);
    machine.file = join(this._folder, `${name}.yaml`);
    const fields = {
      node_name: name,
      zone,
      region: 'r',
      service,
      ip,
      app_addr: app,
      bootstrap: true,
      listen: { outbound, inbound, ready, control },
      platform: { address: this.store.address },
      bounds: kBounds,
      limits: { memory_mb: kMemoryMb },
    };
    machine.render = () => {
      writeFileSync(machine.file, render(readFileSync(`${kRoot}/deploy/settings.yaml.template`, 'utf8'), fields));
      fields.bootstrap = false;
    };
    this._spawn(machine);
    return machine;
  }

  _spawn(machine) {
    machine.render();
    const [, command] = /^run = "node (.*)"$/m.exec(readFileSync(`${kRoot}/deploy/system.toml`, 'utf8'));
    machine.starts++;
    machine.startedAt = now();
    this.record.line(`${machine.name}: the daemon starts`);
    const child = spawn(process.execPath, command.split(' '), {
      cwd: kRoot,
      env: { PATH: process.env.PATH, GENTIANDRUM_BOOT: machine.file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    machine.child = child;
    const log = createWriteStream(join(this._folder, `${machine.name}.log`), { flags: 'a' });
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    if (process.env.SHOW_LOGS) {
      child.stdout.on('data', (data) => process.stderr.write(data));
    }
    machine.exited = once(child, 'exit').then(async ([code, signal]) => {
      this.record.line(`${machine.name}: the daemon ended (code ${code}, signal ${signal})`);
      await pause(kRestartMs);
      if (!this._closing) {
        this._spawn(machine);
      }
    });
  }

  /** Private memory of a machine's daemon, in MB; what it shares with other processes, like the program's text, is not counted. */
  memoryMb(machine) {
    try {
      const status = readFileSync(`/proc/${machine.child.pid}/status`, 'utf8');
      return Number(/^RssAnon:\s+(\d+)/m.exec(status)?.[1] ?? 0) / 1_024;
    } catch {
      return 0;
    }
  }

  /** Waits until the daemons of all machines report that they are ready. */
  async untilReady(machines = this.machines, timeoutMs = 20_000) {
    const deadline = now() + timeoutMs;
    for (const machine of machines) {
      while ((await send(machine.ready, { path: '/v1/readiness' })).status !== 200) {
        if (now() > deadline) {
          throw new Error(`${machine.name} is not ready`);
        }
        await pause(100);
      }
    }
  }

  /** Sends a request of a client, or of the upstream, of a machine; the answer has the times of sending and of its end. */
  async call(machine, path, { limitMs = 5_000, method = 'GET', label = 'r', body = '', agent = false } = {}) {
    const id = `${label}-${this._nextId++}`;
    const headers = { host: kHost, 'x-attempt-id': id, 'x-deadline-remaining': String(limitMs) };
    const sentAt = now();
    const answer = await send(machine.outbound, { method, path, headers, body, agent });
    return { id, sentAt, endedAt: now(), ...answer };
  }

  async close() {
    this._closing = true;
    const exits = this.machines.map(async ({ child, exited }) => {
      child.kill('SIGKILL');
      await exited;
    });
    this.store.close();
    await Promise.all(exits);
    await this.record.close();
    rmSync(this._folder, { recursive: true, force: true });
  }
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
export async function runCase(folder, play) {
  const site = new Site(folder);
  let code = 2;
  const limit = setTimeout(() => {
    site.record.line('the case takes too long');
    void site.close().finally(() => process.exit(2));
  }, 110_000);
  try {
    code = (await play(site, process.env.TROUBLE !== '0')) ? 1 : 0;
    site.record.line(code === 1 ? 'the rule was broken' : 'the rule held');
  } catch (err) {
    site.record.line(`the case could not run: ${err.stack}`);
  }
  clearTimeout(limit);
  await site.close();
  process.exit(code);
}
