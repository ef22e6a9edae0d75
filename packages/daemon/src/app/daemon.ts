/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Creates the parts of a daemon, and starts and stops them in order. */

import type { Socket } from 'node:net';
import {
  type Candidate,
  coldStart,
  type Member,
  MemberView,
  MemoryAccount,
  monotonicMs,
  gracefulShutdown,
  RetryLedger,
  runProcedure,
  AcceptedOffers,
  TargetPicker,
  type TargetState,
  isResponsive,
} from '@gentiandrum/core';
import { type Config, kMembersStream, memberRecordSchema, type Settings } from '@gentiandrum/protocol';
import { LogClient } from '../client/logClient.js';
import { PeerClient } from '../client/peerClient.js';
import { Pools } from '../client/pools.js';
import { type CallDeps, CallService } from './callService.js';
import { ChainTokens } from './chainToken.js';
import { ClaimService } from './claimService.js';
import { ConfigService } from './configService.js';
import { DecisionLog } from './decisionLog.js';
import { LocalTarget } from './localTarget.js';
import { Logger } from './logger.js';
import { type MemberEvents, MemberService } from './memberService.js';
import { Metrics } from './metrics.js';
import { OfferService } from './offerService.js';
import { OpenOffers } from './openOffers.js';
import { SuspectOffers } from './suspectOffers.js';
import type { BodyAccounts } from './requestMemory.js';
import { SuspectService } from './suspectService.js';
import { ControlMeter } from './controlMeter.js';

const kPeerConnections = 128;
const kTickPeriodMs = 500;
const kColdStartRounds = 3;
const kQueriedPeers = 3;
const kMemberRefreshPeriodMs = 600_000;
/** Period with which a graceful shutdown checks its conditions, in milliseconds. */
const kStopPollMs = 20;

/** The daemon of one host. */
export class Daemon {
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly decisions: DecisionLog;
  readonly tokens: ChainTokens;
  readonly target: LocalTarget;
  readonly offers: OfferService;
  readonly calls: CallService;
  readonly members: MemberService;
  readonly config: ConfigService;
  readonly claims: ClaimService;
  readonly meter: ControlMeter;
  readonly suspects: SuspectService;
  /** Offers received from other daemons, by connection. */
  readonly bodies: BodyAccounts;
  readonly acceptedOffers = new AcceptedOffers<Socket>();
  readonly incarnation: number;
  private readonly _pools = new Pools(kPeerConnections);
  private readonly _logPools = new Pools(4);
  private readonly _log: LogClient;
  private readonly _peers = new PeerClient();
  private readonly _openOffers = new OpenOffers();
  private readonly _ledger = new RetryLedger();
  private readonly _picker: TargetPicker;
  private _candidates = new Map<string, Candidate[]>();
  private _stopping = false;
  /** Time at which the graceful shutdown interrupts the calls in flight, on the monotonic clock. */
  private _exitAt = Infinity;
  private _timers: NodeJS.Timeout[] = [];

  constructor(readonly settings: Settings) {
    const address = settings.advertise ?? settings.listen;
    this.incarnation = Date.now();
    this.logger = new Logger(settings.logLevel, settings.id);
    this.metrics = new Metrics(settings.statsd, { daemon: settings.id, zone: settings.zone });
    this.decisions = new DecisionLog(this.logger, this.metrics);
    this.tokens = new ChainTokens(settings.chainSecret);
    this._log = new LogClient(settings.log, this._logPools);
    this.meter = new ControlMeter(this._log.traffic);
    this._picker = new TargetPicker(settings.zone, settings.region, Math.random);
    const view = new MemberView(this._initialRecord(address), Math.random, monotonicMs());
    this.members = new MemberService(view, this._peers, this._memberEvents(), this.logger, this._openOffers);
    this.config = new ConfigService(this._log, this._peers, view, this.logger, (cfg) => {
      this._configure(cfg);
    });
    this.claims = new ClaimService(this._log, view, settings.limits);
    this.suspects = new SuspectService(view, this._peers, this.logger);
    this.bodies = { requests: this._openAccount('requests'), responses: this._openAccount('responses') };
    this.offers = new OfferService({
      incarnation: this.incarnation,
      maxBodyBytes: settings.limits.bodyBytes,
      ledger: this._ledger,
      pools: this._pools,
      tokens: this.tokens,
      decisions: this.decisions,
      target: () => this.target,
      suspects: new SuspectOffers({
        suspects: this.suspects.suspects,
        logger: this.logger,
        target: () => {
          const announced = this.target.announcement;
          return announced && { name: announced.target, url: announced.url };
        },
        targets: (service) => this._responsiveTargets(service),
      }),
      favour: () => this.config.fold.config.overload.favour,
    });
    this.target = new LocalTarget(
      () => this.config.fold.config.overload.favour,
      this.offers,
      () => {
        this._announceTarget();
      },
      this.logger,
      settings.limits.announceTimeoutMs,
    );
    this.calls = new CallService(this._callDeps(address), this.config.fold.config);
  }

  private _openAccount(of: keyof BodyAccounts): MemoryAccount {
    const account = new MemoryAccount(this.settings.limits.inFlightBytes);
    account.events = {
      onExhausted: () => {
        this.logger.warn('memory', `Bodies of ${of} have used up inFlightBytes; further ones wait or are refused.`, account.held);
      },
      onRelieved: () => {
        this.logger.info('memory', `Bodies of ${of} have memory again.`, account.held);
      },
    };
    return account;
  }

  private _callDeps(address: string): CallDeps {
    const { settings } = this;
    return {
      selfId: settings.id,
      pools: this._pools,
      offers: this.offers,
      openOffers: this._openOffers,
      neverAccepted: (to, attempt) => this.members.neverAccepted(to.daemon, to.incarnation, attempt),
      daemon: { id: settings.id, incarnation: this.incarnation, address },
      stopping: () => this._stopping,
      exitAt: () => this._exitAt,
      candidates: (service) => this._candidates.get(service) ?? [],
      onUnreachable: ({ daemon }) => {
        this.members.suspectUnreachable(daemon);
      },
      unavailableTargets: (service) => this._unavailableTargets(service),
      suspects: this.suspects.suspects,
      addressOf: (id) => this.members.view.get(id)?.address,
      picker: this._picker,
      ledger: this._ledger,
      claims: this.claims,
      peers: this._peers,
      decisions: this.decisions,
      metrics: this.metrics,
      answerBytes: settings.limits.answerBytes,
    };
  }

  private _responsiveTargets(service: string): string[] {
    const candidates = this._candidates.get(service) ?? [];
    return candidates.filter(isResponsive).map(({ target }) => target);
  }

  private _unavailableTargets(service: string): number {
    return this.members.view.all().filter((member) => member.service === service && member.targetState === 'absent').length;
  }

  private _memberEvents(): MemberEvents {
    return {
      onNewerConfig: (from) => {
        this._fetchConfig(from);
      },
      onChange: () => {
        this._refreshCandidates();
      },
      suspectsDigest: () => this.suspects.digest,
      onOtherSuspects: ({ address }) => {
        void this.suspects.exchangeWith(address);
      },
      onPause: (ms) => {
        this._onResume(ms);
      },
    };
  }

  /** Whether a graceful shutdown is in progress. */
  get stopping(): boolean {
    return this._stopping;
  }

  /** Number of requests and offers in flight. */
  get inFlight(): number {
    return this.calls.inFlight + this.offers.inFlight;
  }

  /** Loads configuration and members, and starts the periodic work. The server must listen already. */
  async start(): Promise<void> {
    this.members.start();
    const { source, version } = await runProcedure(coldStart(this.config.fold, kColdStartRounds), {
      readSnapshots: () => this.config.readSnapshots(),
      readConfig: ({ upTo }) => this.config.read(upTo),
      appendMember: () => this._appendMember(false),
      queryPeers: () => this._queryPeers(),
      sleep: ({ ms }) => pause(ms),
    });
    this.logger.info('start', `Started with configuration version ${version} from source "${source}".`, { version, source });
    this.config.start();
    await this.suspects.fetchFromPeers();
    this.target.start();
    this._timers = [
      setInterval(() => {
        this._tick();
      }, kTickPeriodMs),
      setInterval(
        () => {
          void this._appendMember(false);
        },
        kMemberRefreshPeriodMs * (0.8 + Math.random() * 0.4),
      ),
    ];
  }

  /** Shuts down gracefully. Resolves when nothing is in flight, or after the time limit `stopMs`; `cut` calls were then still in flight. */
  async stop(): Promise<{ cut: number }> {
    if (this._stopping) {
      return { cut: 0 };
    }
    const { stopMs } = this.settings.limits;
    const { cut } = await runProcedure(
      gracefulShutdown({
        announceLeaving: () => {
          this._stopping = true;
          this._exitAt = stopMs > 0 ? monotonicMs() + stopMs : Infinity;
          this.target.stop();
        },
        closeGate: () => this.target.gate?.close('stopping'),
        announceLeft: () => {
          const now = monotonicMs();
          this.members.view.update({ state: 'left', leaveProof: this.acceptedOffers.leaveProof(now) }, now);
        },
        limitMs: stopMs,
      }),
      {
        notifyPeers: async () => {
          await this.members.sendLeave();
          return undefined;
        },
        sleep: ({ ms }) => pause(ms),
        awaitIdle: ({ until }) => this._awaitIdle(until),
        awaitSenders: ({ until }) => this._awaitSenders(until),
        appendMember: () => this._appendMember(true),
      },
    );
    this.logger.info('stop', cut === 0 ? 'All calls completed before the stop.' : `Interrupted ${cut} calls after the time limit stopMs.`, {
      cut,
    });
    return { cut };
  }

  /** Clears timers and closes connections. */
  async close(): Promise<void> {
    this._timers.forEach((timer) => {
      clearInterval(timer);
    });
    this.members.stop();
    this.config.stop();
    this.metrics.close();
    this._peers.close();
    await Promise.all([this._pools.destroy(), this._logPools.destroy()]);
  }

  private _initialRecord(address: string): Member {
    const { id, zone, region } = this.settings;
    return {
      id,
      incarnation: this.incarnation,
      revision: 1,
      address,
      zone,
      region,
      state: 'alive',
      target: '',
      service: '',
      targetState: 'absent',
      slots: 0,
      configVersion: 0,
    };
  }

  private _configure(cfg: Config): void {
    this.calls.configure(cfg);
    const name = this.target.announcement?.target;
    this.target.setIntake((name !== undefined ? cfg.targets[name] : undefined) ?? 'serving');
    this._refreshCandidates();
    this.members.view.setConfigVersion(this.settings.id, this.config.fold.version);
    void this.members.sendUpdate();
  }

  private _announceTarget(): void {
    const { announcement } = this.target;
    if (!announcement) {
      return;
    }
    const intake = this.config.fold.config.targets[announcement.target];
    if (intake !== undefined) {
      this.target.setIntake(intake);
    }
    const { target, service, slots } = announcement;
    this._updateSelf({ target, service, slots, targetState: this.target.state });
  }

  /** Changes the local daemon's record, and sends it to some daemons at once if it differs. */
  private _updateSelf(change: Partial<Member>): void {
    const before = this.members.view.self.revision;
    this.members.view.update(change, monotonicMs());
    if (this.members.view.self.revision !== before) {
      this._refreshCandidates();
      void this.members.sendUpdate();
    }
  }

  private _refreshCandidates(): void {
    const { targets } = this.config.fold.config;
    const candidates = new Map<string, Candidate[]>();
    for (const member of this.members.view.all()) {
      const present = member.state === 'alive' || member.state === 'suspect';
      if (present && acceptsRequests(member.targetState) && targets[member.target] !== 'leaving') {
        const { target, id: daemon, incarnation, address, service, zone, region, slots } = member;
        const list = candidates.get(service) ?? [];
        list.push({ target, daemon, incarnation, address, service, zone, region, slots, suspected: member.state === 'suspect' });
        candidates.set(service, list);
      }
    }
    this._candidates = candidates;
  }

  private _tick(): void {
    this.target.tick();
    this.suspects.suspects.prune();
    const candidates = [...this._candidates.values()].flat();
    this._picker.retain(candidates);
    const inUse = candidates.map(({ address }) => `http://${address}`);
    this._pools.retain(new Set([...inUse, this.target.announcement?.url ?? '']));
    this._reportGauges();
  }

  private _reportGauges(): void {
    const { gate } = this.target;
    const { metrics } = this;
    metrics.gauge('config.version', this.config.fold.version);
    metrics.gauge('requests.in_flight', this.calls.inFlight);
    metrics.gauge('claims.remembered', this.claims.size);
    metrics.gauge('answers.bytes', this.calls.responses.bytes);
    metrics.gauge('bodies.bytes', this.bodies.requests.heldBytes, { of: 'requests' });
    metrics.gauge('bodies.bytes', this.bodies.responses.heldBytes, { of: 'responses' });
    metrics.gauge('control.bytes', this.meter.bytes);
    if (gate) {
      metrics.gauge('gate.limit', gate.limit);
      metrics.gauge('gate.in_flight', gate.inFlight);
      metrics.gauge('gate.queued', gate.queued);
      metrics.gauge('gate.level', gate.level);
    }
  }

  private _fetchConfig(from: string): void {
    const address = this.members.view.get(from)?.address;
    if (address !== undefined) {
      void this.config.fetchOnce(address);
    }
  }

  /** After a pause, reads the log and sends the local record, as other daemons may consider this one dead. */
  private _onResume(ms: number): void {
    this.logger.warn('members', `The process was paused for about ${Math.round(ms)} ms.`, { ms });
    void this.config.read();
    void this.members.sendUpdate();
  }

  private async _queryPeers(): Promise<{ answered: number }> {
    await this._readMembers();
    const known = this.members.view.sampleAlive(kQueriedPeers).map((member) => member.address);
    const queried = [...new Set([...known, ...this.settings.seeds])].filter((address) => address !== this.members.view.self.address);
    const responses = await Promise.all(
      queried.map(async (address) => {
        const members = await this._peers.fetchMembers(address);
        this.members.mergeRecords(members ?? []);
        return members !== undefined && (await this.config.fetchFrom(address));
      }),
    );
    await this.members.sendUpdate();
    return { answered: responses.filter(Boolean).length };
  }

  private async _readMembers(): Promise<void> {
    let from = 0;
    for (;;) {
      const page = await this._log.read(kMembersStream, from);
      if (!page) {
        return;
      }
      this.members.mergeRecords(page.records.flatMap(({ value }) => this._memberFrom(value)));
      if (page.records.length === 0) {
        return;
      }
      from = page.next;
    }
  }

  private _memberFrom(value: unknown): Member[] {
    const parsed = memberRecordSchema.safeParse(value);
    if (!parsed.success || parsed.data.id === this.settings.id) {
      return [];
    }
    const { goodbye, ...record } = parsed.data;
    return [{ ...this._initialRecord(record.address), ...record, revision: 0, state: goodbye === true ? 'left' : 'alive' }];
  }

  private _appendMember(goodbye: boolean): ReturnType<LogClient['append']> {
    const { id, incarnation, address, zone, region } = this.members.view.self;
    return this._log.append(kMembersStream, { id, incarnation, address, zone, region, goodbye });
  }

  private async _awaitIdle(until: number): Promise<{ inFlight: number }> {
    while (this.inFlight > 0 && monotonicMs() < until) {
      await pause(kStopPollMs);
    }
    return { inFlight: this.inFlight };
  }

  private async _awaitSenders(until: number): Promise<{ senders: number }> {
    while (this.acceptedOffers.senders.length > 0 && monotonicMs() < until) {
      const released = await this.members.requestRelease(this.acceptedOffers.senders);
      released.forEach((id) => {
        this.acceptedOffers.released(id);
      });
      await pause(kStopPollMs);
    }
    const { senders } = this.acceptedOffers;
    if (senders.length > 0) {
      this.logger.warn('stop', `${senders.length} daemons did not confirm that they have no open offers at this daemon.`, { senders });
    }
    return { senders: senders.length };
  }
}

function acceptsRequests(state: TargetState): boolean {
  return state === 'serving';
}

function pause(ms: number): Promise<undefined> {
  return new Promise((resolve) => setTimeout(resolve, ms, undefined));
}
