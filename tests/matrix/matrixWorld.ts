/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * A small deployment on virtual time. Every effect is a numbered step; faults are injected at given steps, and events are recorded in a
 * journal.
 */

import {
  type Call,
  type CallKey,
  type Candidate,
  type ConfigFold,
  type Effect,
  gateCall,
  type OfferResult,
  type Procedure,
  rankOf,
  type Reply,
  serveCall,
  type ServeResult,
} from '@gentiandrum/core';
import { kConfigStream, kSnapshotStream, type OfferTerms } from '@gentiandrum/protocol';
import { VirtualTime } from '../support/virtualTime.js';
import { kFaults, type Fault, type Injection } from './faults.js';
import { Journal } from './journal.js';
import { MatrixDaemon } from './matrixDaemon.js';
import { digest, kClaimStream, MatrixLog } from './matrixLog.js';
import { MatrixPeers } from './matrixPeers.js';
import { onwardCall, type Request } from './request.js';
import { type Resume, EventQueue } from './eventQueue.js';

const kHopMs = 1;
const kWorkMs = 5;
const kLostReplyMs = 20;
const kLateMs = 300;
/** Longer than every deadline in the scenarios. */
const kPauseMs = 10_000;

/** Whether the adapter reports that a lost call may have run. A broken variant sets it to false. */
export const kAdapter = { lostMayHaveRun: true };

type EffectOf<K extends Effect['type']> = Extract<Effect, { type: K }>;

/** A performed step. */
export interface Step {
  effect: Effect['type'];
  daemon: string;
}

/** Runs procedures of daemons and performs their effects. */
export class MatrixWorld {
  readonly time = new VirtualTime();
  readonly journal = new Journal();
  readonly steps: Step[] = [];
  /** Injections that were applied. */
  readonly injected: Injection[] = [];
  readonly log = new MatrixLog(this.journal, this.time);
  private readonly _peers = new MatrixPeers(this);
  readonly daemons = new Map<string, MatrixDaemon>();
  private readonly _requests = new Map<string, Request>();
  private readonly _services = new Map<string, string[]>();
  private readonly _roots = new Map<string, string>();
  private _ids = 0;

  constructor(
    private readonly _injections: readonly Injection[],
    services: Record<string, string[]>,
    private readonly _relay?: string,
  ) {
    for (const [service, ids] of Object.entries(services)) {
      this._services.set(service, ids);
      ids.forEach((id) => this._addDaemon(id, service, 1));
    }
  }

  /** Returns the current daemon with this id. */
  daemon(id: string): MatrixDaemon {
    const daemon = this.daemons.get(id);
    if (!daemon) {
      throw new Error(`expected a daemon of the matrix, got "${id}"`);
    }
    return daemon;
  }

  /** Sends a request; `then` receives its result, or undefined when its daemon crashed. */
  send(daemonId: string, req: Request, then: (served: ServeResult | undefined) => void = () => undefined): void {
    const daemon = this.daemon(daemonId);
    const id = `q${this._ids++}`;
    const call = this._rootCall(daemon, id, req);
    const { cls, key, body } = req;
    const entry = {
      request: id,
      key: key ?? undefined,
      body,
      idempotent: cls.idempotent,
      rank: rankOf(call.chain),
      allowance: cls.retries,
      served: undefined as ServeResult | undefined,
    };
    this.journal.tries.push(entry);
    const finish = (served: ServeResult | undefined): void => {
      entry.served = served;
      then(served);
    };
    if (daemon.crashed) {
      finish(undefined);
      return;
    }
    this._requests.set(id, req);
    this._serve(daemon, call, undefined, finish);
  }

  /** Runs a procedure on a daemon. */
  run<T>(daemon: MatrixDaemon, procedure: Procedure<T>, onDone: (value: T) => void, queue?: EventQueue): void {
    const resume: Resume = (reply) => {
      if (daemon.crashed) {
        return;
      }
      if (this.time.now < daemon.pausedUntil) {
        this.time.after(daemon.pausedUntil - this.time.now, () => {
          resume(reply);
        });
        return;
      }
      const step = procedure.next(reply);
      this.journal.recordVersion(daemon.name, daemon.fold.version);
      if (step.done === true) {
        onDone(step.value);
      } else {
        this._takeStep(daemon, step.value, queue, resume);
      }
    };
    resume(undefined);
  }

  /** Restarts a daemon with a new incarnation and empty memory. */
  restart(id: string): MatrixDaemon {
    const previous = this.daemon(id);
    previous.crash();
    return this._addDaemon(id, previous.options.service, previous.incarnation + 1);
  }

  /** Runs until the given time, then folds the whole configuration stream into every live daemon. */
  settle(until: number): Map<string, ConfigFold> {
    this.time.runUntil(until);
    const live = [...this.daemons.values()].filter((daemon) => !daemon.crashed);
    for (const daemon of live) {
      this.log.foldConfig(daemon);
      this.journal.recordVersion(daemon.name, daemon.fold.version);
    }
    this.time.restore();
    return new Map(live.map((daemon) => [daemon.options.id, daemon.fold]));
  }

  private _addDaemon(id: string, service: string, incarnation: number): MatrixDaemon {
    const candidates = (wanted: string): Candidate[] =>
      (this._services.get(wanted) ?? []).map((target) => ({
        target,
        daemon: target,
        incarnation: 1,
        address: target,
        service: wanted,
        zone: target,
        region: 'one',
        slots: 1,
      }));
    const relay = this._relay === id ? undefined : this._relay;
    const options = {
      id,
      service,
      candidates,
      journal: this.journal,
      newId: () => `n${this._ids++}`,
      relay,
      rootOf: (id: string) => this._roots.get(id) ?? id,
    };
    const daemon = new MatrixDaemon(options, incarnation);
    this.daemons.set(id, daemon);
    return daemon;
  }

  private _serve(daemon: MatrixDaemon, call: Call, queue: EventQueue | undefined, finish: (served: ServeResult | undefined) => void): void {
    const lost = (): void => {
      finish(undefined);
    };
    daemon.onCrash.add(lost);
    this._roots.set(call.id, call.chain.root);
    daemon.inFlight++;
    this.run(
      daemon,
      serveCall(call, daemon.serveContext),
      (served) => {
        daemon.onCrash.delete(lost);
        daemon.inFlight--;
        finish(served);
      },
      queue ?? new EventQueue(this.time),
    );
  }

  private _rootCall(daemon: MatrixDaemon, id: string, req: Request): Call {
    return {
      id,
      cls: req.cls,
      chain: {
        root: id,
        importance: req.importance ?? 2,
        cohort: 0,
        depth: 0,
        rootDaemon: daemon.options.id,
        rootAddress: daemon.options.id,
        rootIncarnation: daemon.incarnation,
        repeatable: false,
        path: '',
      },
      key: this._keyOf(req),
      bodyDigest: req.body,
      payload: { method: 'POST', path: '/', headers: {}, body: Buffer.from(req.body) },
      deadline: this.time.now + req.cls.deadlineMs,
    };
  }

  private _keyOf({ key, minted }: Request): CallKey {
    if (key === undefined) {
      return { kind: 'none' };
    }
    return minted ? { kind: 'minted', key, owner: minted.owner, address: minted.owner, incarnation: 1 } : { kind: 'own', key };
  }

  /** Performs the effect of a step, with the fault injected at this step, if any. */
  private _takeStep(daemon: MatrixDaemon, effect: Effect, queue: EventQueue | undefined, resume: Resume): void {
    const number = this.steps.length;
    this.steps.push({ effect: effect.type, daemon: daemon.options.id });
    const injection = this._injections.find(({ step, fault }) => step === number && kFaults[effect.type].includes(fault));
    if (!injection) {
      this._perform(daemon, effect, queue, resume, undefined);
      return;
    }
    this.injected.push(injection);
    switch (injection.fault) {
      case 'crash_before':
        daemon.crash();
        return;
      case 'crash_after':
        this._perform(daemon, effect, queue, () => undefined, undefined);
        this.time.after(kHopMs / 2, () => {
          daemon.crash();
        });
        return;
      case 'pause':
        daemon.pausedUntil = this.time.now + kPauseMs;
        this._perform(daemon, effect, queue, resume, undefined);
        return;
      default:
        this._perform(daemon, effect, queue, resume, injection.fault);
    }
  }

  private _perform(daemon: MatrixDaemon, effect: Effect, queue: EventQueue | undefined, resume: Resume, fault: Fault | undefined): void {
    const reply = (value: Reply, ms = kHopMs): void => {
      this.time.after(fault === 'late' ? ms + kLateMs : ms, () => {
        resume(value);
      });
    };
    switch (effect.type) {
      case 'offer':
        this._offer(effect, queue, fault);
        reply(undefined, 0);
        return;
      case 'awaitEvent':
        this._awaitEvent(effect, queue, resume, fault);
        return;
      case 'cancel':
        this._cancel(effect, reply, fault);
        return;
      case 'appendClaim':
        this.log.append(kClaimStream, [effect.record], reply, fault, () => {
          this.log.appendRivalClaim(effect.record);
        });
        return;
      case 'readClaims':
        this.log.read(reply, fault, () => {
          this.log.stream(kClaimStream).forEach((value, offset) => {
            daemon.index.apply(offset, value);
          });
        });
        return;
      case 'relayClaim':
        this._peers.relayClaim(effect, reply, fault);
        return;
      case 'settleKey':
        this._peers.settleKey(effect, reply, fault);
        return;
      case 'fetchAnswer':
        this._peers.fetchAnswer(effect, reply, fault);
        return;
      case 'joinRunning':
        this._peers.joinRunning(daemon, effect, resume, fault);
        return;
      case 'awaitAdmission':
        daemon.queuedCalls.set(effect.attempt, resume);
        return;
      case 'forward':
        this._forward(daemon, effect, resume, fault);
        return;
      case 'appendPatch':
        this.log.append(kConfigStream, effect.record, reply, fault, () => {
          this.log.appendRivalPatch(effect.record);
        });
        return;
      case 'readConfig':
        this.log.read(reply, fault, () => {
          this.log.foldConfig(daemon);
        });
        return;
      case 'readSnapshots':
        this.log.readSnapshots(daemon, reply, fault);
        return;
      case 'appendSnapshot':
        this.log.append(kSnapshotStream, daemon.fold.snapshot(digest), reply, fault);
        return;
      case 'queryPeers':
        this._queryPeers(daemon, reply, fault);
        return;
      case 'appendMember':
        this.log.append('members', { id: daemon.options.id, goodbye: effect.goodbye }, reply, fault);
        return;
      case 'notifyPeers':
        reply(undefined);
        return;
      case 'sleep':
        reply(undefined, effect.ms);
        return;
      case 'awaitIdle':
        this._awaitIdle(daemon, effect, resume, fault);
        return;
      case 'awaitSenders':
        // In this model, senders learn at once that a daemon shuts down.
        this.time.after(fault === 'timeout' ? effect.until - this.time.now : 0, () => {
          resume({ senders: fault === 'timeout' ? 1 : 0 });
        });
        return;
    }
  }

  private _offer(effect: EffectOf<'offer'>, queue: EventQueue | undefined, fault: Fault | undefined): void {
    const { attempt, to, terms } = effect;
    const sendResult = (value: OfferResult, ms = kHopMs): void => {
      this.time.after(fault === 'late' ? ms + kLateMs : ms, () => {
        queue?.push({ kind: 'ended', attempt, result: value });
      });
    };
    const target = this.daemon(to.daemon);
    if (fault === 'refused' || target.crashed) {
      sendResult({ kind: 'lost', written: false });
      return;
    }
    if (fault === 'lost_before') {
      sendResult({ kind: 'lost', written: kAdapter.lostMayHaveRun }, kLostReplyMs);
      return;
    }
    const lost = (): void => {
      sendResult({ kind: 'lost', written: kAdapter.lostMayHaveRun });
    };
    const arrive = (report: (value: OfferResult) => void): void => {
      target.onCrash.add(lost);
      this.run(target, gateCall(terms, effect.payload, this._gateContext(target, terms)), (value) => {
        target.onCrash.delete(lost);
        report(value);
      });
    };
    this.time.after(kHopMs, () => {
      arrive(fault === 'lost_after' ? lost : sendResult);
      if (fault === 'duplicate') {
        arrive(() => undefined);
      }
      if (fault === 'peer_crash') {
        this.time.after(kHopMs, () => {
          target.crash();
        });
      }
    });
  }

  /** Gate context that records refusals for overload in the journal. */
  private _gateContext(target: MatrixDaemon, terms: OfferTerms): MatrixDaemon['gateContext'] {
    const recordShed = (reason: string): void => {
      if (reason === 'overloaded') {
        this.journal.shed.push({ host: target.options.id, rank: rankOf(terms), at: this.time.now, order: this.journal.nextOrder() });
      }
    };
    return {
      ...target.gateContext,
      logDecision: ({ reason }) => {
        recordShed(reason);
      },
    };
  }

  private _awaitEvent(effect: EffectOf<'awaitEvent'>, queue: EventQueue | undefined, resume: Resume, fault: Fault | undefined): void {
    if (fault === 'caller_gone') {
      queue?.push({ kind: 'caller_gone' });
    }
    if (fault === 'timeout') {
      this.time.after(effect.until - this.time.now, () => {
        resume({ kind: 'timeout' });
      });
      return;
    }
    queue?.await(effect.until, resume);
  }

  private _cancel(effect: EffectOf<'cancel'>, reply: (value: Reply, ms?: number) => void, fault: Fault | undefined): void {
    const target = this.daemon(effect.to.daemon);
    if (fault === 'lost_before' || target.crashed) {
      reply({ kind: 'unknown' }, kLostReplyMs);
      return;
    }
    const waiting = target.gate.cancel(effect.attempt);
    if (waiting) {
      target.admit(effect.attempt, { kind: 'cancelled' });
    }
    const unseen = !waiting && target.gateContext.seenAttempts.add(effect.attempt);
    target.running.get(effect.attempt)?.();
    const kind = waiting || unseen ? 'before_start' : 'started';
    reply({ kind: fault === 'lost_after' ? 'unknown' : kind });
  }

  private _queryPeers(daemon: MatrixDaemon, reply: (value: Reply) => void, fault: Fault | undefined): void {
    const others = fault === 'lost_before' ? [] : [...this.daemons.values()].filter((other) => other !== daemon && !other.crashed);
    const offered = fault === 'stale' ? this.log.stream(kSnapshotStream).slice(0, 1) : others.map(({ fold }) => fold.snapshot(digest));
    offered.forEach((snapshot) => daemon.fold.adopt(snapshot, digest));
    reply({ answered: others.length });
  }

  private _awaitIdle(daemon: MatrixDaemon, effect: EffectOf<'awaitIdle'>, resume: Resume, fault: Fault | undefined): void {
    const busy = (): number => daemon.inFlight + daemon.running.size;
    const poll = (): void => {
      if ((fault !== 'timeout' && busy() === 0) || this.time.now >= effect.until) {
        resume({ inFlight: busy() });
      } else {
        this.time.after(kWorkMs, poll);
      }
    };
    poll();
  }

  private _forward(daemon: MatrixDaemon, effect: EffectOf<'forward'>, resume: Resume, fault: Fault | undefined): void {
    const { attempt, payload, deadline } = effect;
    const call = daemon.gateContext.ledger.has(attempt);
    const terms = daemon.gate.runningCall(attempt)?.terms;
    if (fault === 'lost_before' || !call || !terms) {
      this.time.after(kHopMs, () => {
        resume({ kind: 'lost', written: false });
      });
      return;
    }
    if (fault === 'target_sheds') {
      this.time.after(kHopMs, () => {
        resume({ kind: 'answered', answer: { status: 503, headers: { 'retry-after': '1' }, body: Buffer.alloc(0) } });
      });
      return;
    }
    this._startRun(daemon, terms, payload.body);
    let pending = true;
    const finish = (reply: Reply): void => {
      if (pending) {
        pending = false;
        daemon.running.delete(attempt);
        this.time.after(fault === 'late' ? kLateMs : kHopMs, () => {
          resume(reply);
        });
      }
    };
    daemon.running.set(attempt, () => {
      finish({ kind: 'cancelled' });
    });
    this.time.after(deadline - this.time.now, () => {
      finish({ kind: 'timeout' });
    });
    this._work(daemon, terms, (ok) => {
      this._finishRun(fault, ok, payload.body, finish);
    });
  }

  private _finishRun(fault: Fault | undefined, ok: boolean, body: Uint8Array, finish: (reply: Reply) => void): void {
    switch (fault) {
      case 'lost_after':
        finish({ kind: 'lost', written: true });
        return;
      case 'truncated':
        finish({ kind: 'truncated' });
        return;
      case 'timeout':
        return;
      default: {
        const status = ok && fault !== 'target_fails' ? 200 : 500;
        finish({ kind: 'answered', answer: { status, headers: {}, body: Buffer.from(`answer to ${Buffer.from(body).toString()}`) } });
      }
    }
  }

  private _startRun(daemon: MatrixDaemon, terms: OfferTerms, body: Uint8Array): void {
    const req = this._requests.get(terms.request);
    const onceKey = req?.key ?? `${terms.root}/${terms.depth}/${Buffer.from(body).toString()}`;
    const run = { host: daemon.options.id, request: terms.request, root: terms.root, onceKey, idempotent: terms.idempotent };
    this.journal.recordRun({ ...run, rank: rankOf(terms), at: this.time.now, cut: false });
  }

  /** Simulates the target's work and its onward calls through the local daemon. */
  private _work(daemon: MatrixDaemon, terms: OfferTerms, done: (ok: boolean) => void): void {
    const req = this._requests.get(terms.request);
    const onward = req?.onward ?? [];
    let pendingCalls = onward.length;
    let ok = req?.fails !== true;
    this.time.after(kWorkMs, () => {
      if (pendingCalls === 0 || daemon.crashed) {
        done(ok && !daemon.crashed);
        return;
      }
      for (const next of onward) {
        const id = `q${this._ids++}`;
        this._requests.set(id, next);
        this._serve(daemon, onwardCall(id, next, terms, this.time.now), undefined, (served) => {
          ok &&= served?.kind === 'answer' && served.answer.status === 200;
          pendingCalls--;
          if (pendingCalls === 0) {
            done(ok);
          }
        });
      }
    });
  }
}
