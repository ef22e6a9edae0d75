/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** One routing daemon: puts its parts together, starts them, and stops them in order. */

import { ChainModel, monotonicMs, Placement, RouteTable, TargetDirectory, type TargetRecord } from '@gentiandrum/core';
import { type MeshConfig, meshConfigSchema, type MeshSettings } from '@gentiandrum/protocol';
import type { PeerCall } from '../client/peerMessages.js';
import type { PeerLink } from '../client/peerLink.js';
import { PeerNetwork, type PeerNetworkEvents } from '../client/peerNetwork.js';
import type { Announcement, Platform, RecordChange } from '../ports.js';
import { CallServer, type CallServerDeps } from '../server/callServer.js';
import { HostServer, type HostReply, type HostRequest } from '../server/hostServer.js';
import type { EventLog } from './eventLog.js';
import { MeshMetrics, type MetricsView } from './meshMetrics.js';
import { type OfferDone, type OfferHandle, TargetGate } from './targetGate.js';

/** Longest wait at a start for what others remember of this host's target, in milliseconds. */
const kRecallMs = 3_000;
/** Longest time for which the answer to a leaving target waits until others know of it, in milliseconds: below one second. */
const kAckWaitMs = 500;
/** Time that a newer configuration gets to come from its source before a daemon that has it is asked, in milliseconds. */
const kConfigPatienceMs = 100;
/** Time for callers to turn away from a daemon that stops, in milliseconds: two readiness checks, a second apart, and a margin. */
const kTurnAwayMs = 2_300;
/** Time in which requests that crossed the close are still answered, in milliseconds. */
const kLingerMs = 100;
/** Part of the time for a stop that is left to spare, in milliseconds. */
const kStopMarginMs = 400;
/** How often a stop looks for what still runs, in milliseconds. */
const kStopCheckMs = 20;
/** How often the totals are logged, in milliseconds: a few lines a minute. */
const kTotalsMs = 10_000;
/** Connections to a target until its service's limit is known. */
const kAssumedConnections = 100;

/** One routing daemon. */
export class MeshDaemon {
  private readonly _directory = new TargetDirectory();
  private readonly _placement: Placement;
  private readonly _chains = new ChainModel();
  private readonly _gate: TargetGate;
  private readonly _network: PeerNetwork;
  private readonly _calls: CallServer;
  private readonly _metrics: MeshMetrics;
  private readonly _metricsServer: HostServer;
  private readonly _ready: HostServer;
  private readonly _announcements: HostServer;
  private _config: MeshConfig | undefined;
  private _routes: RouteTable | undefined;
  private _configAt = 0;
  private _epoch = Date.now();
  private _revision = 0;
  private _recalled = false;
  private _stopping = false;
  private _published: Promise<boolean> = Promise.resolve(true);
  private _recallTimer: NodeJS.Timeout | undefined;
  private _totalsTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly _settings: MeshSettings,
    private readonly _platform: Platform,
    private readonly _events: EventLog,
  ) {
    const { dialect } = _platform;
    this._placement = new Placement(_settings.zone, Math.random);
    this._metrics = new MeshMetrics(_settings.zone, () => this._view());
    this._metricsServer = new HostServer(async () => ({
      status: 200,
      contentType: 'text/plain; version=0.0.4',
      body: await this._metrics.text(),
    }));
    this._gate = new TargetGate({
      names: dialect.headers,
      bound: _settings.retries,
      maxConnections: (service) => this._config?.services.find(({ name }) => name === service)?.maxConnections ?? kAssumedConnections,
      targets: (service) => this._directory.ready(service).length,
      onChange: () => {
        this._tellRecord();
      },
      chains: this._chains,
      metrics: this._metrics,
      events: _events,
    });
    this._network = new PeerNetwork(_settings.id, this._directory, this._networkEvents(), _events);
    this._calls = new CallServer(this._callDeps());
    this._ready = new HostServer((req) => this._serveReady(req));
    this._announcements = new HostServer((req) => this._serveAnnouncement(req));
  }

  /** Whether callers should be sent here. */
  get ready(): boolean {
    return this._config !== undefined && this._recalled && !this._stopping;
  }

  /** The record of this host as other daemons should know it. */
  get record(): TargetRecord {
    return this._ownRecord();
  }

  /** Other daemons that a link is open to. */
  get reachable(): number {
    return this._network.reachable;
  }

  /** Listens, and begins to learn. */
  async start(): Promise<void> {
    const { listen } = this._settings;
    this._directory.learn(this._ownRecord());
    await Promise.all([
      this._calls.listen(listen.calls),
      this._network.listen(listen.peers),
      this._ready.listen(listen.ready),
      this._announcements.listen(listen.announcements),
      ...(listen.metrics !== undefined ? [this._metricsServer.listen(listen.metrics)] : []),
    ]);
    this._platform.configs.watch((cfg) => {
      this._takeConfig(cfg, 'log');
    });
    this._platform.records.watch(
      (change) => {
        this._takeChange(change);
      },
      () => {
        this._recall('the log');
      },
    );
    this._totalsTimer = setInterval(() => {
      void this._logTotals();
    }, kTotalsMs);
    this._recallTimer = setTimeout(() => {
      this._recall('nobody in time');
    }, kRecallMs);
    this._events.notable('start', 'Listening.', { ...listen, zone: this._settings.zone, service: this._settings.target.service });
  }

  /** Planned stop: resolves once callers have turned away and nothing is in flight, or time is up. */
  async stop(): Promise<void> {
    if (this._stopping) {
      return;
    }
    this._stopping = true;
    const startedAt = monotonicMs();
    this._events.notable('stop', 'A planned stop begins.', { calls: this._calls.inFlight, atGate: this._gate.pending });
    this._gate.stop();
    const latest = startedAt + this._settings.stopSeconds * 1_000 - kStopMarginMs;
    const goodbye = this._gate.view.state === 'gone' ? this._platform.records.erase(this._settings.id) : undefined;
    // Runs of the own target may still call out through this daemon, on new connections too.
    await waitUntil(startedAt + kTurnAwayMs, startedAt + kTurnAwayMs * 2, () => this._gate.pending === 0);
    this._calls.close();
    await waitUntil(monotonicMs() + kLingerMs, latest, () => this._calls.inFlight + this._gate.pending === 0);
    await Promise.race([goodbye, pause(kStopCheckMs)]);
    this._events.notable('stop', 'Stopped.', { calls: this._calls.inFlight, atGate: this._gate.pending });
  }

  /** Ends timers and connections. */
  async close(): Promise<void> {
    clearTimeout(this._recallTimer);
    clearInterval(this._totalsTimer);
    this._platform.configs.stop();
    this._platform.records.stop();
    this._network.close();
    this._ready.close();
    this._announcements.close();
    this._metricsServer.close();
    this._calls.close();
    await this._gate.close();
  }

  private _networkEvents(): PeerNetworkEvents {
    return {
      onCall: (call, done) => this._gate.offer(call, done),
      onRecords: (records) => {
        this._takeRecords(records);
      },
      onVersion: (version, link) => {
        this._hearVersion(version, link);
      },
      onConfig: (cfg) => {
        this._takeConfig(cfg, 'peer');
      },
      onReach: (host, reached) => {
        this._hearReach(host, reached);
      },
      hello: () => ({ type: 'hello', host: this._settings.id, version: this._config?.version ?? -1, records: this._directory.all() }),
      config: () => this._config,
    };
  }

  private _callDeps(): CallServerDeps {
    return {
      names: this._platform.dialect.headers,
      service: this._settings.target.service,
      memoryMb: this._settings.memoryMb,
      config: () => this._config,
      routes: () => this._routes,
      stopping: () => this._stopping,
      chains: this._chains,
      metrics: this._metrics,
      events: this._events,
      candidates: (service) => this._directory.ready(service),
      choose: (candidates, excluded, route) => this._placement.choose(candidates, excluded, route),
      offer: (target, call, done) => this._offer(target, call, done),
      sent: (target, first) => {
        this._placement.sent(target.host);
        this._metrics.placed(target.service, this._placeOf(target), !first);
      },
      ended: (host, route, end) => {
        this._placement.ended(host, route, end);
      },
    };
  }

  private _offer(target: TargetRecord, call: PeerCall, done: OfferDone): OfferHandle {
    return target.host === this._settings.id ? this._gate.offer(call, done) : this._network.offer(target, call, done);
  }

  private _placeOf({ host, zone }: TargetRecord): 'own_host' | 'own_zone' | 'other_zone' {
    if (host === this._settings.id) {
      return 'own_host';
    }
    return zone === this._settings.zone ? 'own_zone' : 'other_zone';
  }

  private _serveReady(req: HostRequest): HostReply {
    if (req.path !== this._platform.dialect.readyPath) {
      return { status: 404 };
    }
    return { status: this.ready ? 200 : 503 };
  }

  /** A target that leaves gets its answer once others know of it, so that the answer binds also after a crash here. */
  private async _serveAnnouncement({ method, path, body }: HostRequest): Promise<HostReply> {
    const word = this._platform.dialect.readAnnouncement(method, path, body);
    if (!word) {
      this._events.warn('target', 'Got something else than an announcement.', { method, path });
      return { status: 400 };
    }
    if (this._gate.announce(word) && word.state !== 'ready') {
      await Promise.race([this._published, pause(kAckWaitMs)]);
    }
    return { status: 200, body: '{}' };
  }

  private async _logTotals(): Promise<void> {
    const totals = await this._metrics.totals();
    this._events.notable('calls', 'Totals since the start.', { ...totals, gate: this._gate.state, configVersion: this._config?.version });
  }

  private _view(): MetricsView {
    const hosts = new Map<string, number>();
    for (const { state } of this._directory.all()) {
      hosts.set(state, (hosts.get(state) ?? 0) + 1);
    }
    return {
      gate: this._gate.state,
      hosts,
      links: this._network.reachable,
      configVersion: this._config?.version ?? -1,
      configAge: this._config ? (monotonicMs() - this._configAt) / 1_000 : 0,
      inFlight: this._calls.inFlight,
      omittedLines: this._events.omitted,
    };
  }

  private _ownRecord(): TargetRecord {
    const { id, zone, listen, target } = this._settings;
    const { instance, service, state, slots } = this._gate.view;
    return {
      host: id,
      zone,
      peers: listen.peers,
      service: service === '' ? target.service : service,
      instance,
      state,
      slots,
      epoch: this._epoch,
      revision: this._revision,
    };
  }

  /** Makes the state of the own target known: to linked daemons at once, and in the log. */
  private _tellRecord(): void {
    this._revision++;
    const record = this._ownRecord();
    this._directory.learn(record);
    this._network.broadcast({ type: 'records', records: [record] });
    // A daemon that stops tells its peers alone: it will be back in a moment, or its host is taken away.
    if (record.state !== 'unknown') {
      this._published = this._platform.records.publish(record);
    }
  }

  private _takeChange(change: RecordChange): void {
    if (change.kind === 'record') {
      this._takeRecords([change.record]);
    } else if (change.host !== this._settings.id) {
      this._directory.forget(change.host);
    }
  }

  private _takeRecords(records: TargetRecord[]): void {
    for (const record of records) {
      if (record.host === this._settings.id) {
        this._takeOwn(record);
        continue;
      }
      const before = this._directory.get(record.host);
      if (this._directory.learn(record)) {
        this._noteRecord(before, record);
      }
    }
  }

  private _noteRecord(before: TargetRecord | undefined, record: TargetRecord): void {
    if (before && before.instance !== record.instance) {
      this._placement.forget(record.host);
    }
    if (before?.state !== record.state || before.instance !== record.instance) {
      const { host, state, instance, service } = record;
      this._events.notable('peers', `The target on ${host} is ${state}.`, { peer: host, state, instance, service });
    }
  }

  /** What an earlier daemon of this host said still binds, and must not look newer than what this one says. */
  private _takeOwn(record: TargetRecord): void {
    if (record.epoch === this._epoch) {
      return;
    }
    this._gate.remember(record);
    if (record.epoch > this._epoch) {
      this._epoch = record.epoch + 1;
      this._tellRecord();
    }
  }

  private _recall(from: string): void {
    if (!this._recalled) {
      this._recalled = true;
      clearTimeout(this._recallTimer);
      this._events.notable('start', `Heard from ${from} what is known of the hosts.`, { hosts: this._directory.all().length });
      this._gate.release();
    }
  }

  private _hearReach(host: string, reached: boolean): void {
    if (reached) {
      this._placement.reached(host);
      this._recall('another daemon');
    } else {
      this._placement.avoid(host);
    }
  }

  private _hearVersion(version: number, link: PeerLink): void {
    if (version <= (this._config?.version ?? -1)) {
      return;
    }
    setTimeout(() => {
      if (version > (this._config?.version ?? -1)) {
        link.send({ type: 'config_wanted' });
      }
    }, kConfigPatienceMs);
  }

  /** Versions only go up within one life of the process. */
  private _takeConfig(cfg: MeshConfig, from: 'log' | 'peer'): void {
    if (this._config && cfg.version <= this._config.version) {
      return;
    }
    const checked = meshConfigSchema.safeParse(cfg);
    if (!checked.success) {
      this._events.warn('config', `Version ${cfg.version} is not valid and stays out of force.`, {
        issues: checked.error.issues.slice(0, 3),
      });
      return;
    }
    this._config = checked.data;
    this._configAt = monotonicMs();
    this._routes = new RouteTable(checked.data);
    this._calls.configure(checked.data);
    this._network.broadcast({ type: 'version', version: cfg.version });
    this._events.notable('config', `Version ${cfg.version} is in force.`, { version: cfg.version, from, routes: cfg.routes.length });
  }
}

/** Words that the daemon takes from the target on its host. */
export type { Announcement };

/** Waits until a condition holds, from `earliest` on and not beyond `latest`, on the monotonic clock. */
async function waitUntil(earliest: number, latest: number, holds: () => boolean): Promise<void> {
  while (monotonicMs() < latest && (monotonicMs() < earliest || !holds())) {
    await pause(kStopCheckMs);
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
