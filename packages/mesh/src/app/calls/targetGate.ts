/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * The target on this host: follows what it announces, and is the only way to it for all daemons.
 */

import {
  type Announcement,
  type GatedCall,
  GateLevel,
  type GateRefusal,
  type GateReport,
  type ChainModel,
  monotonicMs,
  hashText,
  fingerprintOf,
  wallMs,
  type CallResult,
  type ReachabilityEvidence,
  type RepeatBound,
  RepeatBudget,
  SlotGate,
  TargetLifecycle,
  TargetReachability,
  isSameIncarnation,
  isCapacityRefusal,
  type NotRunReason,
  SuspectGate,
  type SuspectCall,
  type Suspects,
  type TargetRecord,
} from '@gentiandrum/core';
import type { CallWorkspace, PeerCall } from '../../client/callCodec.js';
import { type Run, type RunResult, TargetClient } from '../../client/targetClient.js';
import type { HeaderNames } from '../../ports.js';
import type { EventLog } from '../eventLog.js';
import { identityOf } from './requestIdentity.js';
import type { MeshMetrics, MetricsView } from '../meshMetrics.js';

/** How often calls that waited too long are looked for, in milliseconds: a tenth of the tightest latency targets seen. */
const kExpireMs = 10;
/** Longest time after which a refused caller may come back, in milliseconds. */
const kMaxRetryAfterMs = 2_000;

/** Requests that one line about the end of a target names at most. */
const kNamedRequests = 60;

/** Called once with the end of an offered call. */
export type OfferDone = (end: CallResult, report: GateReport) => void;

/** An offered call that has not ended. */
export interface OfferHandle {
  /** Nobody waits for the call any more. It is withdrawn when it has not started, and broken off when it may run again. */
  cancel(): void;
}

/** What the gate uses of its daemon. */
export interface TargetGateDeps {
  names: HeaderNames;
  bound: RepeatBound;
  /** Address of the target, as the settings tell it. */
  address: string;
  maxConnections(service: string): number;
  /** Targets of the service, this one included. */
  targets(service: string): number;
  /** Whether a kind of request to a service is tried on this host. */
  isTrialTarget(fingerprint: string, service: string): boolean;
  /** Mean charge of calls on a route that begin on this host, in milliseconds. */
  chargeMs(route: string): number;
  /** Whether a key is still its workspace's, as far as this daemon knows. */
  keyHolds(workspace: CallWorkspace): boolean;
  /** Called after each change of the target's state. */
  onChange(): void;
  chains: ChainModel;
  suspects: Suspects;
  metrics: MeshMetrics;
  events: EventLog;
}

interface Waiting extends GatedCall, SuspectCall {
  readonly call: PeerCall;
  expiresAt: number;
  /** Until when the key of its workspace may be relied on. */
  validUntil: number;
  run: Run | undefined;
  startedAt: number;
  done: OfferDone;
}

/** Gate of the target on this host. */
export class TargetGate {
  private readonly _gate: SlotGate<Waiting>;
  private readonly _budget: RepeatBudget;
  private readonly _suspects: SuspectGate<Waiting>;
  /** End that was counted last. */
  private _lastCrash: number | undefined;
  private readonly _running = new Map<PeerCall, Waiting>();
  private _client: TargetClient | undefined;
  private readonly _life: TargetLifecycle;
  private _reach = new TargetReachability();
  /** Connections that the target accepts, as known now. */
  private readonly _connections = (): number => this._deps.maxConnections(this._life.known.service);
  /** When the target is warm after its start, as it last announced, on the monotonic clock. */
  private _warmFrom = 0;
  private _held = true;
  private _stopping = false;
  private _nextId = 1;
  private readonly _level = new GateLevel();
  /** Runs only while calls wait: an idle daemon should not wake up for nothing. */
  private _expiryTimer: NodeJS.Timeout | undefined;

  constructor(private readonly _deps: TargetGateDeps) {
    this._life = new TargetLifecycle(_deps.address);
    this._budget = new RepeatBudget(_deps.bound);
    this._suspects = new SuspectGate<Waiting>(_deps.suspects, {
      onPass: (waiting) => {
        this._letIn(waiting);
      },
      onRefuse: (waiting, reason) => {
        this._refuse(waiting, reason);
      },
      isProbeTarget: (fingerprint) => _deps.isTrialTarget(fingerprint, this._life.known.service),
    });
    this._gate = new SlotGate<Waiting>(
      {
        onStart: (waiting) => {
          this._start(waiting);
        },
        onRefuse: (waiting, reason) => {
          this._noteRefused(reason);
          this._refuse(waiting, reason);
        },
      },
      this._connections,
    );
  }

  /** State of the target as other daemons should see it. */
  get view(): Pick<TargetRecord, 'instance' | 'born' | 'service' | 'state' | 'slots'> {
    const { instance, born, service, state, slots } = this._life.known;
    if (state !== 'ready') {
      return { instance, born, service, state, slots };
    }
    const usable = this._reach.reachable ? 'ready' : 'unreachable';
    return { instance, born, service, state: this._held || this._stopping ? 'unknown' : usable, slots };
  }

  /** Load and level, for the metrics. */
  get state(): MetricsView['gate'] {
    const { inFlight, queued, limit, meanMs } = this._gate;
    return { inFlight, queued, limit, meanMs, level: this._level.current };
  }

  /** What callers of a route should know as of now. */
  report(route: string): GateReport {
    const { inFlight, queued, limit, meanMs } = this._gate;
    const { level, inner, height } = this._deps.chains.report(route, this._level.current);
    const chargeMs = Math.round(this._deps.chains.sumDownstream(route, (call) => this._deps.chargeMs(call)));
    return { inFlight, queued, limit, meanMs, level, inner, height, chargeMs };
  }

  /** Calls that run or wait. */
  get pending(): number {
    return this._gate.inFlight + this._gate.queued + this._suspects.waiting;
  }

  /** Takes an announcement of the target; true when it changed anything. */
  announce(word: Announcement): boolean {
    const before = this._life.known;
    const changed = this._life.announce(word);
    const { instance, born, state, slots, address, coldMs } = this._life.known;
    const taken = before !== this._life.known;
    if (!isSameIncarnation(before, { instance, born }) || address !== before.address) {
      this._client?.close();
      this._client = undefined;
      this._reach = new TargetReachability();
    }
    if (word.instance === instance && word.state === 'ready') {
      this._reach.record('heartbeat', monotonicMs());
    }
    if (taken) {
      // Also when nothing changed that others should know: how long the target stays slow may be told for the first time.
      this._warmFrom = monotonicMs() + coldMs;
      this._openOrClose();
    }
    if (changed) {
      this._deps.events.notable('target', `The target is ${state}.`, { instance, born, state, slots });
      this._deps.onChange();
    }
    return changed;
  }

  /** Takes what others remember of this host's target. */
  remember(record: TargetRecord): void {
    if (this._life.applyRecord(record)) {
      const { instance, state } = this._life.known;
      this._deps.events.notable('target', `Others remember that the target is ${state}.`, { instance });
      this._apply();
    }
  }

  /** Lets calls in once this daemon has heard what others remember of its target. */
  release(): void {
    if (this._held) {
      this._held = false;
      this._apply();
    }
  }

  /** The daemon stops: takes no new calls. What runs is left to end. */
  stop(): void {
    this._stopping = true;
    this._apply();
  }

  /** Steers the level over the time since the last call, and looks after connections; called a few times a second. */
  check(elapsedMs: number): void {
    const { queued, meanMs, limit } = this._gate;
    this._level.step((queued * meanMs) / limit, elapsedMs);
    this._deps.chains.step();
    this._client?.check();
    if (this._reach.takeProbe(monotonicMs())) {
      this._client?.tryConnect();
    }
  }

  /** Ends timers and connections. */
  close(): void {
    clearTimeout(this._expiryTimer);
    this._client?.close();
  }

  /** Takes a call of this or another daemon. */
  offer(call: PeerCall, done: OfferDone): OfferHandle {
    const now = monotonicMs();
    const waiting: Waiting = {
      id: this._nextId++,
      waitUntil: now + Math.min(call.waitMs, call.remainingMs),
      rank: call.rank,
      call,
      identity: () => identityOf(call),
      route: call.route,
      suspicion: call.suspicion,
      expiresAt: now + call.remainingMs,
      validUntil: now + (call.workspace?.validMs ?? Infinity),
      run: undefined,
      startedAt: 0,
      done,
    };
    this._deps.chains.recordArrival(call.route, call.callerService, call.workspace !== undefined);
    const refusal = this._refusalAtOnce(call) ?? this._takeSuspect(waiting);
    if (refusal) {
      this._refuse(waiting, refusal);
      return { cancel: () => undefined };
    }
    return {
      cancel: () => {
        this._cancel(waiting);
      },
    };
  }

  /** Lets a call through unless it has to wait for other suspects; returns why it is refused. */
  private _takeSuspect(waiting: Waiting): GateRefusal | undefined {
    const decision = this._suspects.offer(waiting);
    switch (decision.kind) {
      case 'pass':
        this._letIn(waiting);
        return undefined;
      case 'wait':
        this._expireLater();
        return undefined;
      case 'refused':
        return decision.reason;
    }
  }

  /** Hands a call to the gate, which starts it, lets it wait for a slot, or refuses it. */
  private _letIn(waiting: Waiting): void {
    this._level.recordArrival(waiting.call.waitMs);
    const decision = this._gate.offer(waiting);
    switch (decision.kind) {
      case 'started':
        this._start(waiting);
        break;
      case 'refused':
        this._noteRefused(decision.reason);
        this._refuse(waiting, decision.reason);
        break;
      case 'queued':
        this._expireLater();
        break;
    }
  }

  private _refuse(waiting: Waiting, reason: GateRefusal): void {
    const { call, done } = waiting;
    done(this._refusal(reason), this.report(call.route));
    this._suspects.leave(waiting);
  }

  private _closeGate(reason?: GateRefusal): void {
    this._gate.close(reason);
    for (const waiting of this._suspects.drain()) {
      this._refuse(waiting, reason ?? 'not_accepting');
    }
  }

  /** A call that could not be started for want of room is work beyond what the target can do. */
  private _noteRefused(reason: NotRunReason): void {
    if (isCapacityRefusal(reason)) {
      this._level.recordRefusal(this._gate.meanMs / this._gate.limit);
    }
  }

  private _expireLater(): void {
    this._expiryTimer ??= setTimeout(() => {
      this._expiryTimer = undefined;
      this._gate.expire();
      this._suspects.expire(monotonicMs());
      if (this._gate.queued + this._suspects.waiting > 0) {
        this._expireLater();
      }
    }, kExpireMs);
  }

  private _heightOf(route: string): number | undefined {
    const { chains } = this._deps;
    return chains.isEstimated(route) ? chains.report(route, 0).height : undefined;
  }

  private _refusalAtOnce(call: PeerCall): GateRefusal | undefined {
    const { service, instance } = this._life.known;
    if (call.service !== service || call.instance !== instance) {
      return 'not_accepting';
    }
    if (call.workspace && !this._deps.keyHolds(call.workspace)) {
      return 'key_not_valid';
    }
    if (!call.repeat) {
      this._budget.earn(this._heightOf(call.route));
      return undefined;
    }
    if (!this._budget.spend(this._deps.targets(service), call.inner)) {
      return 'repeat_budget';
    }
    this._deps.metrics.repeated();
    return undefined;
  }

  private _apply(): void {
    this._openOrClose();
    this._deps.onChange();
  }

  private _openOrClose(): void {
    const { state, instance, address, slots } = this._life.known;
    if (state !== 'ready' || this._held || this._stopping) {
      this._closeGate();
      return;
    }
    const reach = this._reach;
    this._client ??= new TargetClient(address, instance, this._connections, this._deps.names, {
      onReachability: (evidence) => {
        this._takeReach(reach, evidence);
      },
      onCrash: (calls) => {
        this._takeCrash(calls);
      },
    });
    if (this._reach.reachable) {
      this._gate.open(slots, this._warmFrom);
    } else {
      this._closeGate('unreachable');
    }
  }

  /** Others should know at once when the target takes no connections, or does again; a late report of an earlier target is none. */
  private _takeReach(reach: TargetReachability, evidence: ReachabilityEvidence): void {
    if (reach !== this._reach || !reach.record(evidence, monotonicMs())) {
      return;
    }
    const { reachable } = reach;
    this._deps.events.notable('target', reachable ? 'The target takes connections again.' : 'The target takes no connections.', {
      instance: this._life.known.instance,
      evidence,
    });
    this._apply();
  }

  /** A target that was to leave has ended as it said; one that was ready has crashed, with all that ran on it. */
  private _takeCrash(calls: readonly PeerCall[]): void {
    const { address, instance, born, state } = this._life.known;
    if (state !== 'ready') {
      return;
    }
    const crash = { id: hashText(`${address} ${instance} ${born}`), at: wallMs() };
    if (crash.id !== this._lastCrash) {
      this._lastCrash = crash.id;
      this._deps.metrics.targetCrashed();
    }
    this._deps.events.warn('target', 'The target ended while requests ran on it.', {
      instance,
      born,
      running: calls.length,
      requests: calls
        .slice(0, kNamedRequests)
        .map((call) => ({ req: call.requestId, route: call.route, kind: fingerprintOf(identityOf(call)) })),
    });
    this._suspects.crashed(
      crash,
      calls.map((call) => ({ identity: identityOf(call), route: call.route, call: this._running.get(call) })),
    );
  }

  private _start(waiting: Waiting): void {
    const now = monotonicMs();
    waiting.startedAt = now;
    const remaining = waiting.expiresAt - now;
    const client = this._client;
    const { workspace } = waiting.call;
    if (now > waiting.validUntil || (workspace && !this._deps.keyHolds(workspace))) {
      this._gate.callEnded(waiting.id);
      this._refuse(waiting, 'key_not_valid');
      return;
    }
    if (!client || remaining <= 0) {
      this._gate.callEnded(waiting.id);
      this._noteRefused('wait_too_long');
      this._refuse(waiting, 'wait_too_long');
      return;
    }
    this._deps.chains.recordRun(waiting.call.route);
    this._running.set(waiting.call, waiting);
    waiting.run = client.run(waiting.call, remaining, (end) => {
      this._ended(waiting, end);
    });
  }

  private _ended(waiting: Waiting, { result: end, responded: answered }: RunResult): void {
    this._running.delete(waiting.call);
    // A failure may have come before the work that ends the target.
    if (answered && end.kind === 'answered' && end.answer.status < 500) {
      this._suspects.completed(waiting);
    }
    const ran = answered && end.kind === 'answered' && end.answer.status < 400;
    const tookMs = monotonicMs() - waiting.startedAt;
    if (end.kind === 'not_run' && isCapacityRefusal(end.reason)) {
      this._noteRefused(end.reason);
    } else {
      this._level.recordWork(tookMs / this._gate.limit);
    }
    this._gate.callEnded(waiting.id, ran ? tookMs : undefined);
    waiting.done(end, this.report(waiting.call.route));
    this._suspects.leave(waiting);
  }

  private _cancel(waiting: Waiting): void {
    if (this._gate.withdraw(waiting) || this._suspects.withdraw(waiting)) {
      waiting.done({ kind: 'not_run', reason: 'cancelled', retryAfterMs: 0 }, this.report(waiting.call.route));
      this._suspects.leave(waiting);
    } else if (waiting.call.idempotent) {
      waiting.run?.abort();
    }
  }

  /** Refused callers come back when what waits and runs now will have ended. */
  private _refusal(reason: GateRefusal): CallResult {
    this._deps.metrics.refused(reason);
    const { inFlight, queued, limit, meanMs } = this._gate;
    const drainMs = reason === 'not_accepting' ? 0 : ((inFlight + queued) / limit) * meanMs;
    return { kind: 'not_run', reason, retryAfterMs: Math.min(kMaxRetryAfterMs, drainMs) };
  }
}
