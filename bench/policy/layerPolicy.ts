/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** The overload control layer as a policy: runs the procedures of the core and performs their effects in virtual time. */

import {
  ResponseStore,
  type Call,
  type CallEvent,
  type Candidate,
  ClaimIndex,
  type Effect,
  type ErrorKind,
  Gate,
  type GateCall,
  gateCall,
  type GateContext,
  importanceIndex,
  KeySettler,
  kGateReopenPolicy,
  type OfferResult,
  type Procedure,
  type Reply,
  RetryLedger,
  RetryTokenBucket,
  RootFilter,
  type ServeContext,
  serveCall,
  type AdmissionResult,
  TargetPicker,
  type NamedClass,
  Suspects,
} from '@gentiandrum/core';
import type { OfferTerms } from '@gentiandrum/protocol';
import { kRetryAllowance, kDeadlineMs } from './deployment.js';
import type { Cancel } from './fakeTarget.js';
import type { CallResult, Policy } from './policy.js';
import type { ChainCall, Host, World } from './world.js';
import type { Scheduled } from './virtualTime.js';

const kRetryRatio = 0.1;
/** Time after which daemons exclude a crashed or unreachable host. */
const kFailureDetectionMs = 3_000;
const kResetDelayMs = 1;
/** Interval of the pings to an unreachable daemon. */
const kPingIntervalMs = 1_000;
const kPayload = { method: 'GET', path: '/', headers: {}, body: new Uint8Array() };
const kOkResponse = { status: 200, headers: {}, body: new Uint8Array() };
const kErrorResponse = { status: 500, headers: {}, body: new Uint8Array() };

interface Daemon {
  host: Host;
  gate: Gate<GateCall>;
  ledger: RetryLedger;
  serveContext: ServeContext;
  gateContext: GateContext;
  queuedCalls: Map<string, (result: AdmissionResult) => void>;
  /** Functions that cancel calls running at the target, by attempt. */
  running: Map<string, Cancel>;
  unreachable: Set<string>;
}

/** Queues the events of one call until its procedure awaits them. */
class EventQueue {
  private readonly _events: CallEvent[] = [];
  private _resume: ((event: CallEvent) => void) | undefined;
  private _timer: Scheduled | undefined;

  constructor(private readonly _world: World) {}

  push(event: CallEvent): void {
    const resume = this._resume;
    if (!resume) {
      this._events.push(event);
      return;
    }
    this._resume = undefined;
    if (this._timer) {
      this._world.time.cancel(this._timer);
    }
    resume(event);
  }

  await(until: number, resume: (event: CallEvent) => void): void {
    const event = this._events.shift();
    if (event) {
      resume(event);
      return;
    }
    this._resume = resume;
    this._timer = this._world.time.schedule(until - this._world.time.now, () => {
      this._resume = undefined;
      resume({ kind: 'timeout' });
    });
  }
}

/** Simulates one daemon of the layer per host. */
export class LayerPolicy implements Policy {
  readonly name: string;
  private readonly _daemons: Daemon[];
  private readonly _chainCalls = new Map<string, ChainCall>();
  private readonly _attempts = new Map<string, ChainCall>();
  private readonly _classes = new Map<string, NamedClass>();
  private _ids = 0;

  constructor(
    private readonly _world: World,
    private readonly _favour: 'goodput' | 'recovery',
  ) {
    this.name = `gentiandrum-${_favour}`;
    this._daemons = _world.hosts.map((host) => this._makeDaemon(host));
  }

  call(from: Host, chainCall: ChainCall, parent: string | undefined, done: (result: CallResult) => void): Cancel {
    const eventQueue = new EventQueue(this._world);
    const call = this._makeCall(chainCall, parent);
    this._chainCalls.set(call.id, chainCall);
    const daemon = this._daemon(from);
    let pending = true;
    this._world.counters.firstOffers++;
    this._runProcedure(serveCall(call, daemon.serveContext), daemon, eventQueue, (served) => {
      this._chainCalls.delete(call.id);
      if (pending) {
        pending = false;
        done({ ok: served.kind === 'answer' && served.answer.status < 500, retryAfter: served.kind === 'error' });
      }
    });
    return () => {
      pending = false;
      eventQueue.push({ kind: 'caller_gone' });
    };
  }

  onHostChanged(host: Host): void {
    const crashed = host.crashed;
    this._world.time.schedule(crashed ? kFailureDetectionMs : 0, () => {
      for (const daemon of this._daemons) {
        this._setUnreachable(daemon, host, crashed && host.crashed);
      }
    });
    if (!crashed) {
      this._daemons[host.index] = this._makeDaemon(host);
    }
  }

  onZonesChanged(): void {
    this._world.time.schedule(kFailureDetectionMs, () => {
      for (const daemon of this._daemons) {
        for (const host of this._world.hosts) {
          this._setUnreachable(daemon, host, host.crashed || this._world.delayMs(daemon.host, host) === undefined);
        }
      }
    });
  }

  /** Excludes a daemon that refuses connections until a ping succeeds. */
  private _markUnreachable(unreachable: Set<string>, from: Host, target: string): void {
    unreachable.add(target);
    const ping = (): void => {
      const host = this._world.hostNamed(target);
      if (host && !host.crashed && this._world.delayMs(from, host) !== undefined) {
        unreachable.delete(target);
      } else {
        this._world.time.schedule(kPingIntervalMs, ping);
      }
    };
    this._world.time.schedule(kPingIntervalMs, ping);
  }

  private _setUnreachable(daemon: Daemon, host: Host, unreachable: boolean): void {
    if (unreachable) {
      daemon.unreachable.add(host.name);
    } else {
      daemon.unreachable.delete(host.name);
    }
  }

  private _runProcedure<T>(procedure: Procedure<T>, daemon: Daemon, eventQueue: EventQueue | undefined, onDone: (value: T) => void): void {
    const resume = (reply: Reply): void => {
      const step = procedure.next(reply);
      if (step.done === true) {
        onDone(step.value);
      } else {
        this._performEffect(step.value, daemon, eventQueue, resume);
      }
    };
    resume(undefined);
  }

  private _performEffect(effect: Effect, daemon: Daemon, eventQueue: EventQueue | undefined, resume: (reply: Reply) => void): void {
    switch (effect.type) {
      case 'offer':
        this._offer(daemon, effect.attempt, effect.to, effect.terms, eventQueue);
        resume(undefined);
        return;
      case 'awaitEvent':
        eventQueue?.await(effect.until, resume);
        return;
      case 'cancel':
        this._cancel(daemon, effect.attempt, effect.to, resume);
        return;
      case 'awaitAdmission':
        daemon.queuedCalls.set(effect.attempt, resume);
        return;
      case 'forward':
        this._forward(daemon, effect.attempt, effect.deadline, resume);
        return;
      default:
        throw new Error(`expected an effect of a call without an idempotency key, got "${effect.type}"`);
    }
  }

  private _offer(from: Daemon, attempt: string, to: Candidate, terms: OfferTerms, eventQueue: EventQueue | undefined): void {
    const call = this._chainCalls.get(terms.request);
    const host = this._world.hostNamed(to.target);
    const delayMs = host && this._world.delayMs(from.host, host);
    const sendResult = (offerResult: OfferResult, ms: number): void => {
      this._world.time.schedule(ms, () => {
        eventQueue?.push({ kind: 'ended', attempt, result: offerResult });
      });
    };
    if (!host || !call || delayMs === undefined) {
      return;
    }
    this._world.time.schedule(delayMs, () => {
      if (host.crashed) {
        sendResult({ kind: 'lost', written: false }, kResetDelayMs);
        return;
      }
      const daemon = this._daemon(host);
      this._attempts.set(attempt, call);
      this._runProcedure(gateCall(terms, kPayload, daemon.gateContext), daemon, undefined, (result) => {
        this._attempts.delete(attempt);
        const returnDelayMs = this._world.delayMs(host, from.host);
        if (returnDelayMs !== undefined) {
          sendResult(result, returnDelayMs);
        }
      });
    });
  }

  private _cancel(from: Daemon, attempt: string, to: Candidate, resume: (reply: Reply) => void): void {
    const host = this._world.hostNamed(to.target);
    const delayMs = host && this._world.delayMs(from.host, host);
    if (!host || host.crashed || delayMs === undefined) {
      resume({ kind: 'unknown' });
      return;
    }
    this._world.time.schedule(delayMs, () => {
      const daemon = this._daemon(host);
      const beforeStart = daemon.gate.cancel(attempt);
      if (beforeStart) {
        const waiting = daemon.queuedCalls.get(attempt);
        daemon.queuedCalls.delete(attempt);
        waiting?.({ kind: 'cancelled' });
      }
      daemon.running.get(attempt)?.();
      this._world.time.schedule(delayMs, () => {
        resume({ kind: beforeStart ? 'before_start' : 'started' });
      });
    });
  }

  private _forward(daemon: Daemon, attempt: string, deadline: number, resume: (reply: Reply) => void): void {
    const call = this._attempts.get(attempt);
    if (!call) {
      throw new Error(`expected a known attempt, got ${attempt}`);
    }
    const next: ChainCall = { ...call, step: call.step + 1, deadline };
    const finish = (reply: Reply): void => {
      this._world.time.cancel(timer);
      daemon.running.delete(attempt);
      resume(reply);
    };
    const cancel = daemon.host.target.serve({
      callDownstream:
        next.step < call.load.chain.length
          ? (done) =>
              this.call(daemon.host, next, attempt, ({ ok }) => {
                done(ok);
              })
          : undefined,
      onStarted: () => {
        this._world.recordStart(call.root);
      },
      onDone: (result) => {
        finish(
          result === 'dead'
            ? { kind: 'lost', written: true }
            : { kind: 'answered', answer: result === 'ok' ? kOkResponse : kErrorResponse },
        );
      },
    });
    const stop = (kind: 'timeout' | 'cancelled'): void => {
      cancel();
      finish({ kind });
    };
    const timer = this._world.time.schedule(deadline - this._world.time.now, () => {
      stop('timeout');
    });
    daemon.running.set(attempt, () => {
      stop('cancelled');
    });
  }

  private _makeDaemon(host: Host): Daemon {
    const queuedCalls = new Map<string, (result: AdmissionResult) => void>();
    const admit = (id: string, result: AdmissionResult): void => {
      const resume = queuedCalls.get(id);
      queuedCalls.delete(id);
      resume?.(result);
    };
    const events = {
      onStart: (call: GateCall) => {
        admit(call.id, { kind: 'started' });
      },
      onShed: (call: GateCall, reason: ErrorKind) => {
        admit(call.id, { kind: 'shed', reason });
      },
    };
    const favour = (): 'goodput' | 'recovery' => this._favour;
    const restarted = this._world.time.now > 0;
    const gate = new Gate<GateCall>(host.slots, favour, events, restarted ? this._world.time.now : -Infinity);
    const ledger = new RetryLedger();
    const unreachable = new Set<string>();
    const gateContext: GateContext = {
      gate,
      target: host.name,
      ledger,
      downstream: new RootFilter(favour, kGateReopenPolicy),
      seenAttempts: { add: () => true },
      logDecision: () => undefined,
    };
    return {
      host,
      gate,
      ledger,
      queuedCalls,
      running: new Map(),
      unreachable,
      gateContext,
      serveContext: this._makeServeContext(host, ledger, unreachable),
    };
  }

  private _makeServeContext(host: Host, ledger: RetryLedger, unreachable: Set<string>): ServeContext {
    const buckets = new Map<string, RetryTokenBucket>();
    const candidates = new Map<string, Candidate[]>();
    for (const plan of this._world.deployment.services) {
      candidates.set(
        plan.name,
        this._world.hostsOf(plan.name).map((to) => ({
          target: to.name,
          daemon: to.name,
          incarnation: 1,
          address: '',
          service: to.service,
          zone: to.zone,
          region: 'one',
          slots: to.slots,
        })),
      );
    }
    return {
      daemon: { id: host.name, incarnation: 1, address: '' },
      stopping: () => false,
      exitAt: () => Infinity,
      candidates: (service) => (candidates.get(service) ?? []).filter((candidate) => !unreachable.has(candidate.target)),
      onUnreachable: ({ target }) => {
        this._markUnreachable(unreachable, host, target);
      },
      unavailableTargets: () => 0,
      suspects: new Suspects({ broadcast: () => undefined, sendSome: () => undefined, onEvent: () => undefined }),
      picker: new TargetPicker(host.zone, 'one', this._world.random),
      rootFilter: new RootFilter(() => this._favour),
      ledger,
      retryBucket: (service) => {
        const bucket = buckets.get(service) ?? new RetryTokenBucket(() => kRetryRatio);
        buckets.set(service, bucket);
        return bucket;
      },
      responses: new ResponseStore(1),
      settler: new KeySettler(),
      claimShard: () => ({ shard: 0, index: new ClaimIndex(1) }),
      newId: () => String(this._ids++),
      logDecision: ({ step }) => {
        if (step === 'retry' || step === 'compete') {
          this._world.counters.repeats++;
        }
      },
    };
  }

  private _makeCall(chainCall: ChainCall, parent: string | undefined): Call {
    const { load, step, root, cohort, deadline } = chainCall;
    const id = String(this._ids++);
    return {
      id,
      cls: this._classOf(load.name, load.chain[step] ?? '', load.idempotent),
      chain: {
        root,
        parent,
        importance: importanceIndex(load.importance),
        cohort,
        depth: step,
        rootDaemon: '',
        rootAddress: '',
        rootIncarnation: 1,
        repeatable: false,
        path: '',
      },
      key: { kind: 'none' },
      bodyDigest: '',
      payload: kPayload,
      deadline,
    };
  }

  private _classOf(name: string, service: string, idempotent: boolean): NamedClass {
    const key = `${name}/${service}`;
    let cls = this._classes.get(key);
    if (!cls) {
      const retries = idempotent ? kRetryAllowance : 0;
      cls = { name, service, methods: [], path: '/**', importance: 'normal', idempotent, deadlineMs: kDeadlineMs, retries };
      this._classes.set(key, cls);
    }
    return cls;
  }

  private _daemon(host: Host): Daemon {
    const daemon = this._daemons[host.index];
    if (!daemon) {
      throw new Error(`expected a daemon on ${host.name}, got none`);
    }
    return daemon;
  }
}
