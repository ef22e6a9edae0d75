/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** One routing daemon: puts its parts together, starts them, and stops them in order. */

import { setTimeout as pause } from 'node:timers/promises';
import {
  type Announcement,
  ChainModel,
  monotonicMs,
  Placement,
  Suspects,
  SuspensionDetector,
  TargetDirectory,
  type TargetRecord,
  chooseProbeTarget,
} from '@gentiandrum/core';
import type { MeshSettings } from '@gentiandrum/protocol';
import type { PeerCall } from '../client/callCodec.js';
import { PeerNetwork, type PeerNetworkEvents } from '../client/peerNetwork.js';
import type { Platform } from '../ports.js';
import { CallServer, type CallServerDeps } from '../server/callServer.js';
import { serveSuspects } from '../server/suspectControl.js';
import { HostServer, type HostResponse, type HostRequest } from '../server/hostServer.js';
import { splitAddress } from './addresses.js';
import { ConfigHolder } from './log/configHolder.js';
import { Deadlines } from './calls/deadlines.js';
import type { EventLog } from './eventLog.js';
import { HostRecords, type HostRecordsDeps } from './records/hostRecords.js';
import { LogFollower, type LogFollowerDeps } from './log/logFollower.js';
import { type CallPlace, MeshMetrics, type MetricsView } from './meshMetrics.js';
import { RecordSync } from './records/recordSync.js';
import { RequestEntry } from './calls/requestEntry.js';
import { logSuspectEvent } from './calls/suspectLines.js';
import { type OfferDone, type OfferHandle, TargetGate } from './calls/targetGate.js';
import { Workspaces, type WorkspacesDeps } from './workspaces/workspaces.js';

/** Longest time for which the answer to a leaving target waits until others know of it, in milliseconds: below one second. */
const kAckWaitMs = 500;
/** Time for callers to turn away from a daemon that stops, in milliseconds: two readiness checks, a second apart, and a margin. */
const kTurnAwayMs = 2_300;
/** Time in which requests that crossed the close are still answered, in milliseconds. */
const kLingerMs = 100;
/** Part of the time for a stop that is left to spare, in milliseconds. */
const kStopMarginMs = 400;
/** How often a stop looks for what still runs, in milliseconds. */
const kStopCheckMs = 20;
/**
 * How often everything is looked at that goes by time, in milliseconds: levels, links, deadlines, connections. A few times within
 * the time that a change of a level takes to show; on one timer, as waking up costs more than the look.
 */
const kTickMs = 100;
/** The same while no call is under way: waking up is half of what an idle daemon costs. */
const kIdleTickMs = 200;
/**
 * How often what was learned of chains is compared with the record of this host, in milliseconds. Daemons that started together do
 * so together, and their records are read at once.
 */
const kLearnedMs = 10_000;
/** How often the totals are logged, in milliseconds: a few lines a minute. */
const kTotalsMs = 10_000;
/** Targets that one line about those without calls names at most. */
const kNamedTargets = 5;
/** Daemons that one which reads nothing itself tells of a new version. */
const kSpread = 4;
/** Connections to a target until its service's limit is known. */
const kAssumedConnections = 100;

const kNoHosts: ReadonlySet<string> = new Set();

/** One routing daemon. */
export class MeshDaemon {
  private readonly _directory = new TargetDirectory();
  private readonly _sync = new RecordSync(this._directory);
  private readonly _placement: Placement;
  private readonly _chains = new ChainModel();
  private readonly _configs: ConfigHolder;
  private readonly _records: HostRecords;
  private readonly _follower: LogFollower;
  private readonly _gate: TargetGate;
  private readonly _suspects: Suspects;
  private readonly _suspensions = new SuspensionDetector();
  private readonly _workspaces: Workspaces;
  private readonly _network: PeerNetwork;
  private readonly _calls: CallServer;
  private readonly _metrics: MeshMetrics;
  private readonly _metricsServer: HostServer;
  private readonly _ready: HostServer;
  private readonly _announcements: HostServer;
  private _stopping = false;
  private readonly _deadlines = new Deadlines();
  private _tickTimer: NodeJS.Timeout | undefined;
  private _totalsTimer: NodeJS.Timeout | undefined;
  private _learnedTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly _settings: MeshSettings,
    private readonly _platform: Platform,
    private readonly _events: EventLog,
  ) {
    const { dialect } = _platform;
    this._placement = new Placement(_settings.id, _settings.zone, Math.random);
    this._metrics = new MeshMetrics(_settings.zone, () => this._view());
    this._metricsServer = new HostServer(async (req) => serveSuspects(req, this._suspects) ?? (await this._serveMetrics()));
    this._configs = new ConfigHolder((cfg) => {
      this._calls.configure(cfg);
      this._workspaces.inForce(cfg);
      this._spreadVersion(cfg.version);
    }, _events);
    this._follower = new LogFollower(this._followerDeps());
    this._workspaces = new Workspaces(this._workspacesDeps());
    this._suspects = new Suspects({
      broadcast: (suspects) => {
        this._network.broadcast({ type: 'suspects', suspects });
      },
      sendSome: (count, suspects) => {
        this._network.sendSome(count, { type: 'suspects', suspects });
      },
      onEvent: (event) => {
        logSuspectEvent(_events, event);
        // Once what is being learned now is all there.
        setImmediate(() => {
          this._records.tellSuspects();
        });
      },
    });
    this._records = new HostRecords(this._recordsDeps());
    this._gate = new TargetGate({
      names: dialect.headers,
      bound: _settings.retries,
      address: _settings.target.address,
      maxConnections: (service) => this._configs.maxConnections(service) ?? kAssumedConnections,
      targets: (service) => this._directory.ready(service).length,
      isTrialTarget: (fingerprint, service) =>
        chooseProbeTarget(fingerprint, this._directory.ready(service), kNoHosts)?.host === _settings.id,
      chargeMs: (route) => this._placement.chargeMs(route),
      keyHolds: (workspace) => this._workspaces.keyHolds(workspace),
      onChange: () => {
        this._records.tell();
      },
      chains: this._chains,
      suspects: this._suspects,
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
    return this._configs.config !== undefined && this._records.recalled && !this._stopping;
  }

  /** The record of this host as other daemons should know it. */
  get record(): TargetRecord {
    return this._records.own;
  }

  /** Other daemons that a link is open to. */
  get reachable(): number {
    return this._network.reachable;
  }

  /** Whether a record of a host is known. */
  knows(host: string): boolean {
    return this._directory.get(host) !== undefined;
  }

  /** Listens, and begins to learn. */
  async start(): Promise<void> {
    const { listen } = this._settings;
    try {
      await this._listen();
    } catch (err) {
      // What listens already would keep the process alive, and callers waiting for answers.
      this.close();
      throw err;
    }
    this._platform.configs.onConfig((cfg) => {
      this._configs.take(cfg, 'log');
    });
    this._records.start();
    this._follower.start();
    this._tickLater(kTickMs);
    this._learnedTimer = setInterval(() => {
      this._records.tellLearned();
      this._suspects.prune();
    }, kLearnedMs);
    this._totalsTimer = setInterval(() => {
      void this._logTotals();
    }, kTotalsMs);
    this._events.notable('start', 'Listening.', { ...listen, zone: this._settings.zone, service: this._settings.target.service });
  }

  private async _listen(): Promise<void> {
    const { calls, peers, ready, announcements, metrics } = this._settings.listen;
    const started = await Promise.allSettled([
      this._calls.listen(calls),
      this._network.listen(peers),
      this._ready.listen(ready),
      this._announcements.listen(announcements),
      ...(metrics !== undefined ? [this._metricsServer.listen(metrics)] : []),
    ]);
    const failed = started.find((end) => end.status === 'rejected');
    if (failed) {
      throw failed.reason;
    }
  }

  /** Planned stop: resolves once callers have turned away and nothing is in flight, or time is up. */
  async stop(): Promise<void> {
    if (this._stopping) {
      return;
    }
    this._stopping = true;
    const startedAt = monotonicMs();
    this._events.notable('stop', 'A planned stop begins.', { calls: this._calls.inFlight, atGate: this._gate.pending });
    const latest = startedAt + this._settings.stopSeconds * 1_000 - kStopMarginMs;
    // The target goes on meanwhile: closing its gate at once would leave its slots empty while callers turn away.
    await pause(kTurnAwayMs);
    const goodbye = this._gate.view.state === 'gone' ? this._platform.records.erase(this._settings.id) : undefined;
    this._gate.stop();
    // Runs of the own target may still call out through this daemon, on new connections too.
    await waitUntil(monotonicMs(), startedAt + kTurnAwayMs * 2, () => this._gate.pending === 0);
    this._calls.close();
    await waitUntil(monotonicMs() + kLingerMs, latest, () => this._calls.inFlight + this._gate.pending === 0);
    await Promise.race([goodbye, pause(kStopCheckMs)]);
    await this._network.shutDown();
    this._events.notable('stop', 'Stopped.', { calls: this._calls.inFlight, atGate: this._gate.pending });
  }

  /** Ends timers and connections. */
  close(): void {
    this._records.stop();
    this._follower.stop();
    clearTimeout(this._tickTimer);
    clearInterval(this._totalsTimer);
    clearInterval(this._learnedTimer);
    this._workspaces.close();
    this._platform.configs.stop();
    this._platform.records.stop();
    this._network.close();
    this._ready.close();
    this._announcements.close();
    this._metricsServer.close();
    this._calls.close();
    this._gate.close();
  }

  private _tickLater(ms: number): void {
    const startedAt = monotonicMs();
    this._tickTimer = setTimeout(() => {
      this._tick(monotonicMs() - startedAt);
      this._tickLater(this._calls.inFlight + this._gate.pending > 0 ? kTickMs : kIdleTickMs);
    }, ms);
  }

  private _tick(elapsedMs: number): void {
    this._gate.check(elapsedMs);
    this._follower.check();
    this._network.check();
    this._deadlines.check();
    this._workspaces.check();
    this._calls.check();
  }

  private _workspacesDeps(): WorkspacesDeps {
    return {
      settings: this._settings,
      directory: this._directory,
      tables: () => this._configs.tables,
      suspensions: this._suspensions,
      ownProof: () => this._platform.configs.proof,
      reads: () => this._follower.reads,
      readers: () => this._follower.readers,
      complete: () => this._sync.complete,
      sendTo: (host, message) => {
        this._network.sendTo(host, message);
      },
      sendOrDial: (host, message) => {
        this._network.sendOrDial(host, message);
      },
      sendSome: (count, message) => {
        this._network.sendSome(count, message);
      },
      events: this._events,
    };
  }

  private _recordsDeps(): HostRecordsDeps {
    return {
      settings: this._settings,
      gate: () => this._gate,
      directory: this._directory,
      placement: this._placement,
      chains: this._chains,
      suspects: this._suspects,
      log: this._platform.records,
      follower: () => this._follower,
      onReadAll: () => {
        this._sync.hasRead();
      },
      onRecalled: () => {
        this._workspaces.quotas.notePredecessor(this._records.sincePredecessorMs);
      },
      broadcast: (record) => {
        this._network.broadcast({ type: 'records', records: [record] });
      },
      events: this._events,
    };
  }

  private _followerDeps(): LogFollowerDeps {
    return {
      settings: this._settings,
      directory: this._directory,
      configs: this._platform.configs,
      records: this._platform.records,
      own: () => this._records.own,
      version: () => this._configs.version,
      sendZone: (message) => {
        this._network.sendZone(this._settings.zone, message);
      },
      sendTo: (host, message) => {
        this._network.sendTo(host, message);
      },
      events: this._events,
    };
  }

  private _networkEvents(): PeerNetworkEvents {
    return {
      onCall: (call, done) => this._gate.offer(call, done),
      onRecords: (records) => {
        this._records.take(records);
      },
      onVersion: (version, link) => {
        this._configs.hear(version, this._follower.reads, () => {
          link.send({ type: 'config_wanted' });
        });
      },
      onErased: (hosts) => {
        this._records.erase(hosts);
      },
      onLogged: (epoch, revision) => {
        this._follower.ownLogged(epoch, revision);
      },
      onDigests: (digests, link) => {
        this._sync.compare(digests, link);
      },
      onReading: (host, well) => {
        this._follower.reported(host, well);
      },
      onConfig: (cfg) => {
        this._configs.take(cfg, 'peer');
      },
      onSuspects: (suspects) => {
        this._suspects.mergeFromPeer(suspects);
      },
      suspects: () => this._suspects.snapshot,
      onAddressReused: (host) => {
        this._directory.presumeGone(host);
      },
      onReachabilityChange: (host, reached) => {
        this._hearReach(host, reached);
      },
      hello: () => ({
        type: 'hello',
        host: this._settings.id,
        version: this._configs.version,
        record: this._records.own,
        digests: this._directory.digests,
      }),
      wantsLink: (record) => this._follower.wantsLink(record),
      config: () => this._configs.config,
      onWorkspaceMessage: (message, link) => {
        this._workspaces.take(message, link);
      },
    };
  }

  private _callDeps(): CallServerDeps {
    return {
      names: this._platform.dialect.headers,
      service: this._settings.target.service,
      memoryMb: this._settings.memoryMb,
      entry: new RequestEntry({
        tables: () => this._configs.tables,
        validUntil: () => this._workspaces.proofs.validUntil(),
        quotas: this._workspaces.quotas,
        chains: this._chains,
      }),
      keysRequired: () => this._workspaces.required,
      stopping: () => this._stopping,
      chains: this._chains,
      suspects: this._suspects,
      deadlines: this._deadlines,
      metrics: this._metrics,
      events: this._events,
      candidates: (service) => this._directory.ready(service),
      unreachable: (service) => this._directory.unreachableCount(service),
      choose: (candidates, excluded, route) => this._placement.choose(candidates, excluded, route),
      offer: (target, call, done) => this._offer(target, call, done),
      sent: (target, first) => {
        this._placement.recordSent(target.host);
        this._metrics.placed(target.service, this._placeOf(target), !first);
      },
      ended: (host, route, end) => {
        this._placement.recordResult(host, route, end);
      },
      avoid: (host) => {
        this._placement.markUnreachable(host);
      },
    };
  }

  private _offer(target: TargetRecord, call: PeerCall, done: OfferDone): OfferHandle {
    return target.host === this._settings.id ? this._gate.offer(call, done) : this._network.offer(target, call, done);
  }

  private _placeOf({ host, zone }: TargetRecord): CallPlace {
    if (host === this._settings.id) {
      return 'own_host';
    }
    return zone === this._settings.zone ? 'own_zone' : 'other_zone';
  }

  private async _serveMetrics(): Promise<HostResponse> {
    return { status: 200, contentType: 'text/plain; version=0.0.4', body: await this._metrics.text() };
  }

  private _serveReady(req: HostRequest): HostResponse {
    if (req.path !== this._platform.dialect.readyPath) {
      return { status: 404 };
    }
    return { status: this.ready ? 200 : 503 };
  }

  /** A target that leaves gets its answer once others know of it, so that the answer binds also after a crash here. */
  private async _serveAnnouncement({ method, path, body }: HostRequest): Promise<HostResponse> {
    const word = this._platform.dialect.readAnnouncement(method, path, body);
    if (!word) {
      this._events.warn('target', 'Got something else than an announcement.', { method, path });
      return { status: 400 };
    }
    if (!this._isOwnTarget(word)) {
      const { service, address } = word.details ?? {};
      this._events.warn('target', 'Got the announcement of a target that is not this host’s.', {
        instance: word.instance,
        service,
        address,
      });
      return { status: 400 };
    }
    if (this._gate.announce(word) && word.state !== 'ready') {
      await Promise.race([this._records.published, pause(kAckWaitMs)]);
    }
    return { status: 200, body: '{}' };
  }

  /** Announcements may come from other writers: one of a service that no configuration names, or of another host, is not believed. */
  private _isOwnTarget({ details }: Announcement): boolean {
    if (!details) {
      return true;
    }
    const named = this._configs.config === undefined || this._configs.maxConnections(details.service) !== undefined;
    return named && splitAddress(details.address).host === splitAddress(this._settings.target.address).host;
  }

  private async _logTotals(): Promise<void> {
    const totals = await this._metrics.totals();
    this._events.notable('calls', 'Totals since the start.', {
      ...totals,
      gate: this._gate.state,
      configVersion: this._configs.version,
      logCalls: Object.fromEntries(this._platform.logCalls()),
      reads: this._follower.reads,
    });
    this._logPassedOver();
  }

  /** Why a host that is ready gets no calls from here: nothing else tells who holds what against it. */
  private _logPassedOver(): void {
    const ready = [...this._directory.values()].filter(({ state }) => state === 'ready');
    const targets = this._placement.unchosenTargets(ready);
    if (targets.length > 0) {
      this._events.notable('calls', 'Targets are ready and get no calls from here.', {
        count: targets.length,
        targets: targets.slice(0, kNamedTargets),
      });
    }
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
      configVersion: this._configs.version,
      configAge: this._configs.ageSeconds,
      inFlight: this._calls.inFlight,
      omittedLines: this._events.omitted,
      logCalls: this._platform.logCalls(),
      reads: this._follower.reads,
      proofAge: this._workspaces.proofs.ageSeconds,
      suspensions: this._suspensions.count,
      suspects: this._suspects.counts,
      quotas: { ...this._workspaces.quotas.counts, buckets: this._workspaces.quotas.buckets },
    };
  }

  /** Readers tell their whole zone, others a few: those may be in reach of daemons that no reader reaches. */
  private _spreadVersion(version: number): void {
    if (this._follower.reads) {
      this._network.sendZone(this._settings.zone, { type: 'version', version });
    }
    this._network.sendSome(kSpread, { type: 'version', version });
  }

  private _hearReach(host: string, reached: boolean): void {
    this._follower.reached(host, reached);
    this._workspaces.quotas.reached(host, reached);
    if (reached) {
      this._placement.markReachable(host);
    } else {
      this._placement.markUnreachable(host);
    }
  }
}

/** Waits until a condition holds, from `earliest` on and not beyond `latest`, on the monotonic clock. */
async function waitUntil(earliest: number, latest: number, holds: () => boolean): Promise<void> {
  while (monotonicMs() < latest && (monotonicMs() < earliest || !holds())) {
    await pause(kStopCheckMs);
  }
}
