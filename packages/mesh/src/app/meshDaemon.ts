/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Routing daemon: creates, connects, starts and stops its components. */

import { setTimeout as pause } from 'node:timers/promises';
import {
  type Announcement,
  ChainModel,
  monotonicMs,
  Placement,
  type Suspects,
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
import { BodyMemory } from './bodyMemory.js';
import { ConfigHolder } from './log/configHolder.js';
import { Deadlines } from './calls/deadlines.js';
import type { EventLog } from './eventLog.js';
import { HostRecords, type HostRecordsDeps } from './records/hostRecords.js';
import { LogFollower, type LogFollowerDeps } from './log/logFollower.js';
import { ChainControl } from './load/chainControl.js';
import { type TargetLocality, MeshMetrics, type MetricsView } from './meshMetrics.js';
import { RoomFollower } from './load/roomFollower.js';
import { PeriodicWork } from './periodicWork.js';
import { RecordSync } from './records/recordSync.js';
import { RequestEntry } from './calls/requestEntry.js';
import { createSuspects } from './calls/createSuspects.js';
import { logExcludedTargets } from './logExcludedTargets.js';
import type { OfferDone, OfferHandle } from './calls/offeredCall.js';
import { TargetGate, type TargetGateDeps } from './calls/targetGate.js';
import { waitUntil } from './waitUntil.js';
import { Workspaces, type WorkspacesDeps } from './workspaces/workspaces.js';

/** Maximum time that the response to a draining target waits for the state to become durable, in milliseconds. */
const kAckWaitMs = 500;
/** Time for callers to stop sending requests to a daemon that shuts down, in milliseconds: two readiness checks and a margin. */
const kDrainNoticeMs = 2_300;
/** Minimum time for which requests that arrive during the close are served, in milliseconds. */
const kLingerMs = 100;
/** Time at the end of the shutdown that is reserved for closing the links, in milliseconds. */
const kStopMarginMs = 400;
/** Interval between checks for running calls during a shutdown, in milliseconds. */
const kStopPollMs = 20;
/**
 * Interval between the periodic checks of levels, links, deadlines and connections, in milliseconds; a few times within the time that a
 * change of a level takes to show. They share one timer, as a wake-up costs more than a check.
 */
const kTickMs = 100;
/** Interval between the periodic checks while no call is in flight, in milliseconds; longer, to save CPU time. */
const kIdleTickMs = 200;
/** Interval between comparisons of the learned call chains with the record of this host, in milliseconds. */
const kLearnedCheckMs = 10_000;
/** Interval between log lines with totals, in milliseconds. */
const kTotalsIntervalMs = 10_000;
/** Number of daemons that each daemon notifies of a new version. */
const kVersionFanout = 4;
/** Connection limit of a target until the configuration provides one. */
const kDefaultMaxConnections = 100;

const kNoHosts: ReadonlySet<string> = new Set();

/** Routing daemon of one host. */
export class MeshDaemon {
  private readonly _directory = new TargetDirectory();
  private readonly _sync = new RecordSync(this._directory);
  private readonly _placement: Placement;
  private readonly _chains = new ChainModel();
  private readonly _chainControl: ChainControl;
  private readonly _configs: ConfigHolder;
  private readonly _records: HostRecords;
  private readonly _follower: LogFollower;
  private readonly _gate: TargetGate;
  private readonly _suspects: Suspects;
  private readonly _suspensions = new SuspensionDetector();
  private readonly _workspaces: Workspaces;
  private readonly _network: PeerNetwork;
  private readonly _room: RoomFollower | undefined;
  private readonly _calls: CallServer;
  private readonly _metrics: MeshMetrics;
  private readonly _memory: BodyMemory;
  private readonly _metricsServer: HostServer;
  private readonly _ready: HostServer;
  private readonly _announcements: HostServer;
  /** The shutdown in progress. */
  private _shutdown: Promise<void> | undefined;
  private readonly _deadlines = new Deadlines();
  private readonly _periodicWork: PeriodicWork;
  private _tickTimer: NodeJS.Timeout | undefined;
  private _totalsTimer: NodeJS.Timeout | undefined;
  private _learnedTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly _settings: MeshSettings,
    private readonly _platform: Platform,
    private readonly _events: EventLog,
  ) {
    this._placement = new Placement(_settings.id, _settings.zone, Math.random, _settings.load.speedChoice ? 'speed' : 'mean');
    this._chainControl = new ChainControl({ load: _settings.load, chains: this._chains });
    this._metrics = new MeshMetrics(_settings.zone, () => this._view());
    this._memory = new BodyMemory(_settings.memoryMb, this._metrics, _events);
    this._metricsServer = new HostServer(async (req) => serveSuspects(req, this._suspects) ?? (await this._serveMetrics()), _events);
    this._configs = new ConfigHolder((cfg) => {
      this._calls.configure(cfg);
      this._workspaces.configApplied(cfg);
      this._announceVersion(cfg.version);
    }, _events);
    this._follower = new LogFollower(this._followerDeps());
    this._workspaces = new Workspaces(this._workspacesDeps());
    this._suspects = createSuspects({
      network: () => this._network,
      onChange: () => {
        this._records.updateSuspects();
      },
      events: _events,
    });
    this._records = new HostRecords(this._recordsDeps());
    this._room = this._createRoom();
    this._gate = new TargetGate(this._gateDeps());
    this._network = new PeerNetwork(_settings.id, this._directory, this._networkEvents(), _events, this._memory.account);
    this._calls = new CallServer(this._callDeps());
    this._ready = new HostServer((req) => this._serveReady(req), _events);
    this._announcements = new HostServer((req) => this._serveAnnouncement(req), _events);
    const { _gate: gate, _follower: follower, _network: network, _deadlines: deadlines, _workspaces: workspaces, _calls: calls } = this;
    this._periodicWork = new PeriodicWork({ gate, follower, network, deadlines, workspaces, calls }, _events);
  }

  /** Whether this daemon reports itself ready to callers. */
  get ready(): boolean {
    return this._configs.config !== undefined && this._records.recovered && !this._shutdown;
  }

  /** Record of this host as published to other daemons. */
  get record(): TargetRecord {
    return this._records.own;
  }

  /** Number of other daemons with an open link. */
  get reachable(): number {
    return this._network.reachable;
  }

  /** Whether this daemon has a record of a host. */
  knows(host: string): boolean {
    return this._directory.get(host) !== undefined;
  }

  /** Opens all listeners, and starts to read the log and to connect to other daemons. */
  async start(): Promise<void> {
    const { listen } = this._settings;
    try {
      await this._listen();
    } catch (err) {
      // Listeners that are already open would keep the process alive, and would leave callers waiting.
      this.close();
      throw err;
    }
    this._platform.configs.onConfig((cfg) => {
      this._configs.apply(cfg, 'log');
    });
    this._records.start();
    this._follower.start();
    this._scheduleTick(kTickMs);
    this._learnedTimer = setInterval(() => {
      this._records.updateLearned();
      this._suspects.prune();
    }, kLearnedCheckMs);
    this._totalsTimer = setInterval(() => {
      void this._logTotals();
    }, kTotalsIntervalMs);
    this._events.info('start', 'Listening.', { ...listen, zone: this._settings.zone, service: this._settings.target.service });
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
    const failed = started.find((result) => result.status === 'rejected');
    if (failed) {
      throw failed.reason;
    }
  }

  /** Shuts down gracefully; resolves once no call is in flight, or the shutdown time is over. Later calls wait for the same shutdown. */
  async stop(): Promise<void> {
    if (this._shutdown) {
      this._events.info('stop', 'Signal received again; the shutdown continues.', { calls: this._calls.inFlight });
    }
    this._shutdown ??= this._shutDown();
    await this._shutdown;
  }

  private async _shutDown(): Promise<void> {
    this._calls.drain();
    const startedAt = monotonicMs();
    this._events.info('stop', 'Graceful shutdown started.', { calls: this._calls.inFlight, atGate: this._gate.pending });
    const latest = startedAt + this._settings.stopSeconds * 1_000 - kStopMarginMs;
    // The gate stays open meanwhile, because closing it at once would leave the target idle until callers switch to other daemons.
    await pause(kDrainNoticeMs);
    // Callers that never wait for their responses would otherwise use their connections until the process exits.
    this._calls.endConnections(latest);
    const erased = this._gate.advertisedState.state === 'gone' ? this._platform.records.erase(this._settings.id) : undefined;
    this._gate.stop();
    // Calls that run on the local target may still send requests through this daemon, on new connections too.
    await waitUntil(monotonicMs(), startedAt + kDrainNoticeMs * 2, () => this._gate.pending === 0);
    this._calls.close();
    const idle = (): boolean => this._calls.inFlight + this._gate.pending + this._network.unsentAnswers === 0;
    await waitUntil(monotonicMs() + kLingerMs, latest, idle);
    await Promise.race([erased, pause(kStopPollMs)]);
    await this._network.shutDown();
    this._events.info('stop', 'Stopped.', { calls: this._calls.inFlight, atGate: this._gate.pending });
  }

  /** Stops timers and closes connections. */
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

  private _scheduleTick(ms: number): void {
    const startedAt = monotonicMs();
    this._tickTimer = setTimeout(() => {
      this._periodicWork.run(monotonicMs() - startedAt);
      this._scheduleTick(this._calls.inFlight + this._gate.pending > 0 ? kTickMs : kIdleTickMs);
    }, ms);
  }

  private _gateDeps(): TargetGateDeps {
    return {
      room: this._room,
      names: this._platform.dialect.headers,
      bound: this._settings.retries,
      load: this._settings.load,
      host: this._settings.id,
      address: this._settings.target.address,
      maxConnections: (service) => this._configs.maxConnections(service) ?? kDefaultMaxConnections,
      targets: (service) => this._directory.ready(service).length,
      isProbeTarget: (fingerprint, service) =>
        chooseProbeTarget(fingerprint, this._directory.ready(service), kNoHosts)?.host === this._settings.id,
      isReady: (host, service) => this._directory.ready(service).some((record) => record.host === host),
      chargeMs: (route) => this._placement.chargeMs(route),
      isKeyValid: (workspace) => this._workspaces.isKeyValid(workspace),
      onChange: () => {
        this._records.updateOwn();
      },
      chains: this._chains,
      chainControl: this._chainControl,
      suspects: this._suspects,
      memory: this._memory.account,
      onResponseRefused: ({ requestId }, bytes) => {
        this._memory.refused('target_responses', requestId, bytes);
      },
      metrics: this._metrics,
      events: this._events,
    };
  }

  private _createRoom(): RoomFollower | undefined {
    return RoomFollower.create({
      settings: this._settings,
      directory: this._directory,
      chains: this._chains,
      allHostsKnown: () => this._sync.complete,
      events: this._events,
    });
  }

  private _workspacesDeps(): WorkspacesDeps {
    return {
      settings: this._settings,
      directory: this._directory,
      tables: () => this._configs.tables,
      suspensions: this._suspensions,
      ownProof: () => this._platform.configs.proof,
      readsLog: () => this._follower.readsLog,
      readers: () => this._follower.readers,
      allHostsKnown: () => this._sync.complete,
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
      onFullRead: () => {
        this._sync.markComplete();
      },
      onRecovered: () => {
        this._workspaces.quotas.recordPredecessor(this._records.sincePredecessorMs);
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
      onMemoryRefused: (place, requestId, bytes) => {
        this._memory.refused(place, requestId, bytes);
      },
      onRecords: (records) => {
        this._records.receive(records);
      },
      onVersion: (version, link) => {
        this._configs.versionAvailable(version, this._follower.readsLog, () => {
          link.send({ type: 'config_wanted' });
        });
      },
      onErased: (hosts) => {
        this._records.remove(hosts);
      },
      onLogged: (epoch, revision) => {
        this._follower.ownRecordLogged(epoch, revision);
      },
      onDigests: (digests, link) => {
        this._sync.compare(digests, link);
      },
      onReading: (host, logResponds) => {
        this._follower.recordReport(host, logResponds);
      },
      onConfig: (cfg) => {
        this._configs.apply(cfg, 'peer');
      },
      onSuspects: (suspects) => {
        this._suspects.mergeFromPeer(suspects);
        this._records.suspectsReceived();
      },
      suspects: () => this._suspects.snapshot,
      onAddressReused: (host) => {
        this._directory.presumeGone(host);
      },
      onReachabilityChange: (host, reached) => {
        this._setReachable(host, reached);
      },
      hello: () => ({
        type: 'hello',
        host: this._settings.id,
        version: this._configs.version,
        record: this._records.own,
        digests: this._directory.digests,
      }),
      wantsLink: (record) => this._follower.wantsLink(record) || this._room?.wantsLink(record) === true,
      config: () => this._configs.config,
      onWorkspaceMessage: (message, link) => {
        this._workspaces.receive(message, link);
      },
    };
  }

  private _callDeps(): CallServerDeps {
    return {
      names: this._platform.dialect.headers,
      service: this._settings.target.service,
      memory: this._memory.account,
      onMemoryRefused: (requestId, bytes) => {
        this._memory.refused('requests', requestId, bytes);
      },
      entry: new RequestEntry({
        tables: () => this._configs.tables,
        validUntil: () => this._workspaces.proofs.validUntil(),
        quotas: this._workspaces.quotas,
        chains: this._chains,
        chainControl: this._chainControl,
        load: this._settings.load,
        metrics: this._metrics,
      }),
      chainControl: this._chainControl,
      keysRequired: () => this._workspaces.required,
      chains: this._chains,
      suspects: this._suspects,
      deadlines: this._deadlines,
      metrics: this._metrics,
      events: this._events,
      candidates: (service) => this._directory.ready(service),
      unreachable: (service) => this._directory.unreachableCount(service),
      choose: (candidates, excluded, route) => this._placement.choose(candidates, excluded, route),
      offer: (target, call, done) => this._offer(target, call, done),
      onOfferSent: (target, first) => {
        this._placement.recordSent(target.host, target.rateLimit);
        this._metrics.placed(target.service, this._localityOf(target), !first);
      },
      onOfferResult: (host, route, result) => {
        this._placement.recordResult(host, route, result);
      },
      deprioritize: (host) => {
        this._placement.markUnreachable(host);
      },
    };
  }

  private _offer(target: TargetRecord, call: PeerCall, done: OfferDone): OfferHandle {
    return target.host === this._settings.id ? this._gate.offer(call, done) : this._network.offer(target, call, done);
  }

  private _localityOf({ host, zone }: TargetRecord): TargetLocality {
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

  /** Responds to a draining target once its state is durable, or after a timeout, so that the acknowledged state survives a crash. */
  private async _serveAnnouncement({ method, path, body }: HostRequest): Promise<HostResponse> {
    const announcement = this._platform.dialect.readAnnouncement(method, path, body);
    if (!announcement) {
      this._events.warn('target', 'Rejected a request: expected an announcement.', { method, path });
      return { status: 400 };
    }
    if (!this._isLocalTarget(announcement)) {
      const { service, address } = announcement.details ?? {};
      this._events.warn('target', 'Rejected an announcement: expected the target of this host.', {
        instance: announcement.instance,
        service,
        address,
      });
      return { status: 400 };
    }
    this._gate.announce(announcement);
    if (announcement.state !== 'ready') {
      await Promise.race([this._records.published, pause(kAckWaitMs)]);
    }
    return { status: 200, body: '{}' };
  }

  /** Whether an announcement may be from this host's target: its service is configured, and its address is on this host. */
  private _isLocalTarget({ details }: Announcement): boolean {
    if (!details) {
      return true;
    }
    const named = this._configs.config === undefined || this._configs.maxConnections(details.service) !== undefined;
    return named && splitAddress(details.address).host === splitAddress(this._settings.target.address).host;
  }

  private async _logTotals(): Promise<void> {
    const totals = await this._metrics.totals();
    this._events.info('calls', 'Totals since the start.', {
      ...totals,
      gate: this._gate.state,
      configVersion: this._configs.version,
      logCalls: Object.fromEntries(this._platform.logCalls()),
      reads: this._follower.readsLog,
    });
    logExcludedTargets(this._directory, this._placement, this._events);
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
      readsLog: this._follower.readsLog,
      proofAge: this._workspaces.proofs.ageSeconds,
      suspensions: this._suspensions.count,
      memory: this._memory.account,
      suspects: this._suspects.counts,
      chainCounts: this._chainControl.counts,
      quotas: { ...this._workspaces.quotas.counts, buckets: this._workspaces.quotas.buckets },
    };
  }

  /** Readers notify their whole zone. Every daemon notifies a few others, which may reach daemons that no reader reaches. */
  private _announceVersion(version: number): void {
    if (this._follower.readsLog) {
      this._network.sendZone(this._settings.zone, { type: 'version', version });
    }
    this._network.sendSome(kVersionFanout, { type: 'version', version });
  }

  private _setReachable(host: string, reached: boolean): void {
    this._follower.setReachable(host, reached);
    this._workspaces.quotas.setReachable(host, reached);
    this._room?.setReachable(host, reached);
    if (reached) {
      this._placement.markReachable(host);
    } else {
      this._placement.markUnreachable(host);
    }
  }
}
