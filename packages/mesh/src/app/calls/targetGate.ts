/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Gate of the target on this host: tracks its announcements, and passes the calls of all daemons to it. */

import {
  type Announcement,
  type GateRefusal,
  type MemoryAccount,
  monotonicMs,
  type CallResult,
  type ReachabilityEvidence,
  SlotGate,
  TargetLifecycle,
  TargetReachability,
  isSameIncarnation,
  isCapacityRefusal,
  SuspectGate,
  type Suspects,
  type TargetRecord,
} from '@gentiandrum/core';
import type { CallWorkspace, PeerCall } from '../../client/callCodec.js';
import type { RunResult } from '../../client/runResult.js';
import { TargetClient, type TargetEvents } from '../../client/targetClient.js';
import type { UnsolicitedData } from '../../client/targetExchange.js';
import type { HeaderNames } from '../../ports.js';
import type { EventLog } from '../eventLog.js';
import { TargetLoadTracker } from '../load/targetLoadTracker.js';
import { ConditionTracker } from './conditionTracker.js';
import { CrashRecorder } from './crashRecorder.js';
import { GateLoad, type GateLoadDeps } from './gateLoad.js';
import { GateRepeats, type GateRepeatsDeps } from './gateRepeats.js';
import { createOfferedCall, type OfferDone, type OfferedCall, type OfferHandle } from './offeredCall.js';
import { logSuspectRun } from './logSuspectEvent.js';
import { identityOf } from './requestIdentity.js';
import { statementEvents } from './statementEvents.js';
import type { ChainControl } from '../load/chainControl.js';
import type { MeshMetrics, MetricsView } from '../meshMetrics.js';

/** Interval between checks for calls that have waited too long, in milliseconds. */
const kExpiryIntervalMs = 10;

/** Daemon services that the gate depends on. */
export interface TargetGateDeps extends GateLoadDeps, GateRepeatsDeps {
  metrics: MeshMetrics;
  names: HeaderNames;
  /** Id of this host. */
  host: string;
  /** Address of the target in the settings. */
  address: string;
  maxConnections(service: string): number;
  /** Whether this host's target runs the probes of a fingerprint for a service. */
  isProbeTarget(fingerprint: string, service: string): boolean;
  /** Whether the target of a host is ready to run calls of a service. */
  isReady(host: string, service: string): boolean;
  /** Whether a key still belongs to its workspace in the configuration of this daemon. */
  isKeyValid(workspace: CallWorkspace): boolean;
  /** Called after each change of the advertised state. */
  onChange(): void;
  chainControl: ChainControl;
  suspects: Suspects;
  memory: MemoryAccount;
  /** There was no memory for the body of the target's response. */
  onResponseRefused(call: PeerCall, bytes: number): void;
  events: EventLog;
}

/** Gate of the target on this host. */
export class TargetGate {
  private readonly _gate: SlotGate<OfferedCall>;
  private readonly _repeats: GateRepeats;
  private readonly _suspects: SuspectGate<OfferedCall>;
  private readonly _crashes: CrashRecorder;
  private readonly _running = new Map<PeerCall, OfferedCall>();
  private _client: TargetClient | undefined;
  private readonly _lifecycle: TargetLifecycle;
  private _reachability = new TargetReachability();
  /** Current connection limit of the target. */
  private readonly _connections = (): number => this._deps.maxConnections(this._lifecycle.known.service);
  /** Time at which the target is warm after its start, from its latest announcement, on the monotonic clock. */
  private _warmAt = 0;
  /** Whether the state of the target that other daemons know is still being fetched. */
  private _recovering = true;
  private _stopping = false;
  private _nextId = 1;
  private readonly _load: GateLoad;
  private readonly _condition: ConditionTracker;
  /** Undefined if the load that the target states is not used. */
  private readonly _targetLoad: TargetLoadTracker | undefined;
  /** Set only while calls wait, so that an idle daemon does not wake up. */
  private _expiryTimer: NodeJS.Timeout | undefined;

  constructor(private readonly _deps: TargetGateDeps) {
    this._lifecycle = new TargetLifecycle(_deps.address);
    this._repeats = new GateRepeats(_deps);
    this._crashes = new CrashRecorder(_deps.metrics, _deps.events);
    this._suspects = new SuspectGate<OfferedCall>(() => _deps.host, _deps.suspects, {
      onPass: (offered) => {
        this._offerToSlotGate(offered);
      },
      onRefuse: (offered, reason) => {
        this._refuse(offered, reason);
      },
      isProbeTarget: (fingerprint) => _deps.isProbeTarget(fingerprint, this._lifecycle.known.service),
      isReady: (host) => _deps.isReady(host, this._lifecycle.known.service),
      onRun: ({ call }, run) => {
        logSuspectRun(_deps.events, call.requestId, run);
      },
    });
    this._targetLoad = _deps.load.statedLoad ? new TargetLoadTracker(() => this._lifecycle.known.instance, _deps.events) : undefined;
    this._gate = new SlotGate<OfferedCall>(
      {
        onStart: (offered) => {
          this._start(offered);
        },
        onRefuse: (offered, reason) => {
          this._load.recordRefusal(reason);
          this._refuse(offered, reason);
        },
      },
      this._connections,
      () => this._targetLoad?.slowness,
    );
    this._load = new GateLoad(this._gate, _deps, this._targetLoad);
    this._condition = new ConditionTracker({
      limiter: this._gate.rateLimiter,
      incarnation: () => this._lifecycle.known,
      onPublish: () => {
        _deps.onChange();
      },
      onLeaving: (requestId) => {
        this._drain(requestId);
      },
      events: _deps.events,
    });
  }

  /** State of the target as published to other daemons. */
  get advertisedState(): Pick<TargetRecord, 'instance' | 'born' | 'service' | 'state' | 'slots' | 'rateLimit'> {
    const { instance, born, service, state, slots } = this._lifecycle.known;
    const rateLimit = this._condition.published;
    const fields = { instance, born, service, slots, ...(rateLimit === undefined ? {} : { rateLimit }) };
    if (state !== 'ready') {
      return { ...fields, state };
    }
    const usable = this._reachability.reachable ? 'ready' : 'unreachable';
    return { ...fields, state: this._recovering || this._stopping ? 'unknown' : usable };
  }

  /** Load and admission level, for metrics. */
  get state(): MetricsView['gate'] {
    return { ...this._load.state, repeats: this._repeats.counts };
  }

  /** Number of running and waiting calls. */
  get pending(): number {
    return this._gate.inFlight + this._gate.queued + this._suspects.waiting;
  }

  /** Applies an announcement of the target; returns whether the advertised state changed. */
  announce(announcement: Announcement): boolean {
    const before = this._lifecycle.known;
    const changed = this._lifecycle.announce(announcement);
    const { instance, born, state, slots, address, coldMs } = this._lifecycle.known;
    const updated = before !== this._lifecycle.known;
    if (!isSameIncarnation(before, { instance, born }) || address !== before.address) {
      this._client?.close();
      this._client = undefined;
      this._reachability = new TargetReachability();
      this._condition.reset();
      this._targetLoad?.reset();
    }
    if (announcement.instance === instance && announcement.state === 'ready') {
      this._reachability.record('heartbeat', monotonicMs());
    }
    if (updated) {
      // Applies to announcements without a state change too: one of them may be the first to report the warm-up time.
      this._warmAt = monotonicMs() + coldMs;
      this._condition.applyRestored();
      this._updateGate();
    }
    if (changed) {
      this._deps.events.info('target', `The target is ${state}.`, { instance, born, state, slots });
      this._deps.onChange();
    }
    return changed;
  }

  /** Applies the state of the target that other daemons or the platform's log know. */
  restore(record: TargetRecord): void {
    this._condition.restore(record);
    if (this._lifecycle.applyRecord(record)) {
      const { instance, state } = this._lifecycle.known;
      this._deps.events.info('target', `Restored the last known state of the target: ${state}.`, { instance });
      this._condition.applyRestored();
      this._applyState();
    }
  }

  /** Accepts calls from now on: the last known state of the target has been fetched, or the fetch has timed out. */
  endRecovery(): void {
    if (this._recovering) {
      this._recovering = false;
      this._applyState();
    }
  }

  /** Refuses new calls, because the daemon is shutting down. Running calls continue. */
  stop(): void {
    this._stopping = true;
    this._applyState();
  }

  /** Updates the admission level for the elapsed time, and checks connections; called several times per second. */
  check(elapsedMs: number): void {
    this._load.step(elapsedMs);
    this._condition.publish();
    this._deps.chains.step();
    this._client?.check();
    if (this._reachability.takeProbe(monotonicMs())) {
      this._client?.tryConnect();
    }
  }

  /** Stops timers and closes connections. */
  close(): void {
    clearTimeout(this._expiryTimer);
    this._client?.close();
  }

  /** Offers a call of this or another daemon to the target. */
  offer(call: PeerCall, done: OfferDone): OfferHandle {
    const now = monotonicMs();
    const offered = createOfferedCall(this._nextId++, call, now, done);
    this._deps.chains.recordArrival(call.route, call.callerService, call.workspace !== undefined);
    const refusal = this._immediateRefusal(offered) ?? this._limitWait(offered, now) ?? this._offerToSuspectGate(offered);
    if (refusal) {
      this._refuse(offered, refusal);
      return { cancel: () => undefined };
    }
    return {
      cancel: () => {
        this._cancel(offered);
      },
    };
  }

  /** Passes a call to the slot gate unless it has to wait for other suspects; returns the reason if it is refused. */
  private _offerToSuspectGate(offered: OfferedCall): GateRefusal | undefined {
    const decision = this._suspects.offer(offered);
    switch (decision.kind) {
      case 'pass':
        this._offerToSlotGate(offered);
        return undefined;
      case 'wait':
        this._scheduleExpiry();
        return undefined;
      case 'refused':
        return decision.reason;
    }
  }

  /** Limits the wait of a call to what its chain can bear; refuses it if the chain cannot end in time. */
  private _limitWait(offered: OfferedCall, now: number): GateRefusal | undefined {
    const time = this._deps.chainControl.timeOf(offered.call);
    if (time.kind === 'too_late') {
      return time.kind;
    }
    offered.waitMs = time.waitMs;
    offered.waitUntil = now + Math.min(time.waitMs, offered.call.remainingMs);
    offered.chainUntil = time.slackMs === undefined ? undefined : now + time.slackMs;
    return undefined;
  }

  /** Starts a call, queues it for a slot, or refuses it. */
  private _offerToSlotGate(offered: OfferedCall): void {
    this._load.level.recordArrival(offered.waitMs);
    const decision = this._gate.offer(offered);
    switch (decision.kind) {
      case 'started':
        this._start(offered);
        break;
      case 'refused':
        this._load.recordRefusal(decision.reason);
        this._refuse(offered, decision.reason);
        break;
      case 'queued':
        this._scheduleExpiry();
        break;
    }
  }

  private _refuse(offered: OfferedCall, reason: GateRefusal): void {
    const { call, done } = offered;
    this._repeats.refund(offered);
    done(this._load.refusal(reason), this._load.report(call.route));
    this._suspects.leave(offered);
  }

  private _closeGate(reason?: GateRefusal): void {
    this._gate.close(reason);
    for (const offered of this._suspects.drain()) {
      this._refuse(offered, reason ?? 'not_accepting');
    }
  }

  private _scheduleExpiry(): void {
    this._expiryTimer ??= setTimeout(() => {
      this._expiryTimer = undefined;
      this._gate.startWaiting();
      this._suspects.expire(monotonicMs());
      if (this._gate.queued + this._suspects.waiting > 0) {
        this._scheduleExpiry();
      }
    }, kExpiryIntervalMs);
  }

  private _immediateRefusal(offered: OfferedCall): GateRefusal | undefined {
    const { call } = offered;
    const { service, instance } = this._lifecycle.known;
    if (call.service !== service || call.instance !== instance) {
      return 'not_accepting';
    }
    if (call.workspace && !this._deps.isKeyValid(call.workspace)) {
      return 'key_not_valid';
    }
    return this._repeats.admit(offered) ? undefined : 'repeat_budget';
  }

  private _applyState(): void {
    this._updateGate();
    this._deps.onChange();
  }

  private _updateGate(): void {
    const { state, instance, address, slots } = this._lifecycle.known;
    if (state !== 'ready' || this._recovering || this._stopping) {
      this._closeGate();
      return;
    }
    const reachability = this._reachability;
    const reportedKinds = new Set<UnsolicitedData>();
    const events: TargetEvents = {
      ...statementEvents(() => reachability === this._reachability, this._condition, this._targetLoad),
      onReachability: (evidence) => {
        this._handleReachability(reachability, evidence);
      },
      onUnsolicited: (kind, requestId) => {
        this._deps.metrics.unsolicited(kind);
        const text = 'The target sent data that is not a response to the request.';
        const fields = { instance, kind, req: requestId };
        if (reportedKinds.has(kind)) {
          this._deps.events.infoLowPriority('target', text, () => fields);
        } else {
          reportedKinds.add(kind);
          this._deps.events.warn('target', text, fields);
        }
      },
      onCrash: (calls) => {
        this._handleCrash(calls);
      },
      onResponseRefused: (call, bytes) => {
        this._deps.onResponseRefused(call, bytes);
      },
    };
    this._client ??= new TargetClient(address, instance, this._connections, this._deps.names, events, this._deps.memory);
    if (this._reachability.reachable) {
      this._gate.open(slots, this._warmAt);
    } else {
      this._closeGate('unreachable');
    }
  }

  /** Publishes when the target becomes unreachable or reachable again; ignores late reports about an earlier target. */
  private _handleReachability(reachability: TargetReachability, evidence: ReachabilityEvidence): void {
    if (reachability !== this._reachability || !reachability.record(evidence, monotonicMs())) {
      return;
    }
    const { reachable } = reachability;
    this._deps.events.info('target', reachable ? 'The target accepts connections again.' : 'The target accepts no connections.', {
      instance: this._lifecycle.known.instance,
      evidence,
    });
    this._applyState();
  }

  /** Stops sending calls to the target, because it stated in a response that it is leaving. */
  private _drain(requestId: string): void {
    if (this._lifecycle.drain()) {
      const { instance, born } = this._lifecycle.known;
      this._deps.events.info('target', 'The target states that it is leaving.', { instance, born, req: requestId });
      this._applyState();
    }
  }

  /** Handles a report that the target process has ended, which counts as a crash only if the target was ready. */
  private _handleCrash(calls: readonly PeerCall[]): void {
    if (this._lifecycle.known.state === 'ready') {
      const crash = this._crashes.record(this._lifecycle.known, calls);
      this._suspects.crashed(
        crash,
        calls.map((call) => ({ identity: identityOf(call), route: call.route, call: this._running.get(call) })),
      );
    }
  }

  private _start(offered: OfferedCall): void {
    const now = monotonicMs();
    offered.startedAt = now;
    const remaining = offered.expiresAt - now;
    const client = this._client;
    const { workspace } = offered.call;
    if (now > offered.validUntil || (workspace && !this._deps.isKeyValid(workspace))) {
      this._gate.callNotSent(offered.id);
      this._refuse(offered, 'key_not_valid');
      return;
    }
    if (!client || remaining <= 0) {
      this._gate.callNotSent(offered.id);
      this._load.recordRefusal('wait_too_long');
      this._refuse(offered, 'wait_too_long');
      return;
    }
    this._deps.chains.recordRun(offered.call.route);
    this._running.set(offered.call, offered);
    offered.parent = this._deps.chainControl.runStarted(offered, remaining);
    offered.run = client.run(offered.call, remaining, (result) => {
      this._handleResult(offered, result);
    });
  }

  private _handleResult(offered: OfferedCall, { result, responded }: RunResult): void {
    this._running.delete(offered.call);
    // A failed call may not have reached the work that crashes the target, so it does not clear the suspicion.
    if (responded && result.kind === 'answered' && result.answer.status < 500) {
      this._suspects.completed(offered);
    }
    const ran = responded && result.kind === 'answered' && result.answer.status < 400;
    const tookMs = monotonicMs() - offered.startedAt;
    this._deps.chainControl.runEnded(offered.parent, ran);
    if (result.kind === 'not_run' && isCapacityRefusal(result.reason)) {
      this._load.recordRefusal(result.reason);
    } else {
      this._load.level.recordWork(this._gate.workMs(tookMs));
    }
    if (wasNotSent(result)) {
      this._gate.callNotSent(offered.id);
      this._repeats.refund(offered);
    } else {
      this._gate.callEnded(offered.id, ran ? tookMs : undefined);
    }
    offered.done(result, this._load.report(offered.call.route));
    this._suspects.leave(offered, result.kind === 'lost');
  }

  private _cancel(offered: OfferedCall): void {
    if (this._gate.withdraw(offered) || this._suspects.withdraw(offered)) {
      this._repeats.refund(offered);
      offered.done({ kind: 'not_run', reason: 'cancelled', retryAfterMs: 0 }, this._load.report(offered.call.route));
      this._suspects.leave(offered);
    } else if (offered.call.idempotent) {
      offered.run?.abort();
    }
  }
}

/** Whether a started call ended before it was written to a connection. */
function wasNotSent(result: CallResult): boolean {
  return result.kind === 'not_run' && (result.reason === 'no_connection' || result.reason === 'unreachable');
}
