/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Fleet of routing daemons and targets in one process, with a fake of the platform's store. */

import { EventLog, MeshDaemon } from '@gentiandrum/mesh';
import { createPlatform } from '@gentiandrum/platform';
import { type MeshSettings, meshSettingsSchema } from '@gentiandrum/protocol';
import { Agent, request } from 'undici';
import { StoreStandin } from '../platform/storeStandin.js';
import { UpstreamStandin } from '../platform/upstreamStandin.js';
import { freeAddresses } from '../support/freePorts.js';

/** Route of a test configuration; omitted fields have defaults. */
export interface TestRoute {
  prefix: string;
  service?: string;
  split?: { service: string; weight: number }[];
  idempotent?: boolean;
  timeoutMs?: number;
  maxAttempts?: number;
  priority?: number;
  exempt?: boolean;
}

/** Workspace of a test configuration. */
export interface TestWorkspace {
  name: string;
  keys: string[];
  priority?: number;
  ratePerSecond?: number;
  burst?: number;
}

/** Response as received by a caller. */
export interface CallerResponse {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: string;
}

/** Id, zone and listen addresses of a host's daemon. */
export interface HostEndpoints {
  id: string;
  calls: string;
  ready: string;
  control: string;
  metrics: string;
  zone: string;
}

/** Host of the fleet with its running daemon. */
export interface FleetHost extends HostEndpoints {
  settings: MeshSettings;
  daemon: MeshDaemon;
  target: UpstreamStandin;
}

/** Host whose daemon is not started yet. */
export interface PreparedHost {
  settings: MeshSettings;
  target: UpstreamStandin;
  host: HostEndpoints;
}

const kHostName = 'app.example';
const kTimeoutMs = 10_000;
const kPollMs = 10;

/** Daemons, their targets and the store. */
export class MeshFleet {
  readonly store = new StoreStandin();
  readonly hosts: FleetHost[] = [];
  storeAddress = '';
  private readonly _targets = new Set<UpstreamStandin>();
  private _version = 0;
  private _nextId = 1;
  private readonly _agent = new Agent({ keepAliveTimeout: 1_000 });

  /** Starts the store. */
  async start(): Promise<void> {
    this.storeAddress = await this.store.start();
  }

  /** Writes a configuration; returns its version. */
  configure(routes: TestRoute[], limits: Record<string, number> = {}, maxConnections = 50, workspaces?: TestWorkspace[]): number {
    this._version += 3;
    const services = [...new Set(routes.flatMap((route) => [route.service ?? '', ...(route.split ?? []).map(({ service }) => service)]))];
    this.store.put(
      'keyed.op',
      'config',
      JSON.stringify({
        version: this._version.toString(16).padStart(8, '0'),
        routes: routes.map((route) => ({
          name: `r${route.prefix}`,
          host: kHostName,
          path_prefix: route.prefix,
          kind: route.idempotent === false ? 'non_idempotent' : 'idempotent',
          timeout_ms: route.timeoutMs ?? 2_000,
          target_latency_ms: 1_000,
          max_attempts: route.maxAttempts ?? 2,
          priority: route.priority ?? 1,
          auth_exempt: route.exempt ?? false,
          ...(route.split ? { traffic_split: route.split } : { service: route.service }),
        })),
        services: services.filter((name) => name !== '').map((name) => ({ name, health_path: '/health', max_connections: maxConnections })),
        limits: { max_header_bytes: 16_384, max_body_bytes: 1_000_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000, ...limits },
        ...(workspaces
          ? {
              tenants: workspaces.map(({ name, keys, priority, ratePerSecond, burst }) => ({
                name,
                api_keys: keys,
                priority: priority ?? 1,
                rate_per_s: ratePerSecond ?? 0,
                burst: burst ?? 0,
              })),
            }
          : {}),
      }),
    );
    return this._version;
  }

  /** Prepares a host without starting its daemon; starts the target if needed. */
  async prepare(
    id: string,
    service: string,
    options: { zone?: string; target?: UpstreamStandin; settings?: Record<string, unknown> } = {},
  ): Promise<PreparedHost> {
    const target = options.target ?? new UpstreamStandin(`i-${id}`, service);
    this._targets.add(target);
    if (target.address === '') {
      await target.start();
    }
    const [calls = '', peers = '', ready = '', control = '', metrics = ''] = await freeAddresses(5);
    const zone = options.zone ?? 'z1';
    const settings = meshSettingsSchema.parse({
      id,
      zone,
      listen: { calls, peers, ready, announcements: control, metrics },
      target: { address: target.address, service },
      log: { address: this.storeAddress },
      retries: { ratio: 0.2, extra: 50, windowSeconds: 10 },
      logLinesPerSecond: 0,
      ...options.settings,
    });
    return { settings, target, host: { id, calls, ready, control, metrics, zone } };
  }

  /** Starts a host; the target announces itself unless `beat` is false. */
  async add(
    id: string,
    service: string,
    options: { zone?: string; beat?: boolean; target?: UpstreamStandin; settings?: Record<string, unknown> } = {},
  ): Promise<FleetHost> {
    const { settings, target, host: endpoints } = await this.prepare(id, service, options);
    return this._start(settings, target, endpoints, options.beat !== false);
  }

  /** Starts the daemon of a prepared host, without an announcement of its target. */
  async startPrepared({ settings, target, host }: PreparedHost): Promise<FleetHost> {
    return this._start(settings, target, host, false);
  }

  /** Restarts the daemon of a host with the same target, without an announcement of the target. */
  async restart({ settings, target, ...endpoints }: FleetHost): Promise<FleetHost> {
    return this._start(settings, target, endpoints, false);
  }

  private async _start(settings: MeshSettings, target: UpstreamStandin, endpoints: HostEndpoints, announce: boolean): Promise<FleetHost> {
    const { id } = settings;
    const events = new EventLog(id, 0, 0);
    const daemon = new MeshDaemon(settings, createPlatform(settings, events), events);
    await daemon.start();
    const host = { ...endpoints, settings, daemon, target };
    this.hosts.push(host);
    if (announce) {
      await target.sendHeartbeat(host.control);
    }
    return host;
  }

  /** Waits until a condition holds; throws after a timeout. */
  async until(what: string, holds: () => boolean | Promise<boolean>): Promise<void> {
    const deadline = performance.now() + kTimeoutMs;
    while (!(await holds())) {
      if (performance.now() > deadline) {
        throw new Error(`expected ${what}`);
      }
      await new Promise((resolve) => setTimeout(resolve, kPollMs));
    }
  }

  /** Waits until every daemon is linked with all others and serves a path. */
  async untilServing(path: string): Promise<void> {
    for (const host of this.hosts) {
      await this.until(`${host.id} to be linked with all others`, () => host.daemon.reachable === this.hosts.length - 1);
      await this.until(`${host.id} to serve ${path}`, async () => (await this.call(host, path)).status === 200);
    }
  }

  /** Sends one request through a host's daemon. */
  async call(
    host: HostEndpoints,
    path: string,
    options: { method?: 'GET' | 'POST'; body?: string; remainingMs?: number; headers?: Record<string, string> } = {},
  ): Promise<CallerResponse> {
    const id = `a${this._nextId++}`;
    const res = await request(`http://${host.calls}${path}`, {
      dispatcher: this._agent,
      method: options.method ?? 'GET',
      body: options.body,
      headers: { host: kHostName, 'x-attempt-id': id, 'x-deadline-remaining': String(options.remainingMs ?? 2_000), ...options.headers },
    });
    return { status: res.statusCode, headers: res.headers, body: await res.body.text() };
  }

  /** Returns the metrics of a daemon as text. */
  async metrics(host: FleetHost): Promise<string> {
    const res = await request(`http://${host.metrics}/metrics`);
    return res.body.text();
  }

  /** Returns the status of a readiness check. */
  async readiness(host: FleetHost): Promise<number> {
    const res = await request(`http://${host.ready}/v1/readiness`);
    await res.body.dump();
    return res.statusCode;
  }

  /** Stops a daemon immediately; its target keeps running. */
  kill(host: FleetHost): void {
    this.hosts.splice(this.hosts.indexOf(host), 1);
    host.daemon.close();
  }

  /** Stops all daemons, targets and the store. */
  async close(): Promise<void> {
    this.hosts.forEach(({ daemon }) => {
      daemon.close();
    });
    this._targets.forEach((target) => {
      target.close();
    });
    this.store.close();
    await this._agent.close();
  }
}

/** Runs a test with a new fleet. */
export async function withFleet(body: (fleet: MeshFleet) => Promise<void>): Promise<void> {
  const fleet = new MeshFleet();
  await fleet.start();
  try {
    await body(fleet);
  } finally {
    await fleet.close();
  }
}
