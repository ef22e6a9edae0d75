/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** A fleet on virtual time: the real suspect logic with simulated target crashes, and messages that are delayed, duplicated or lost. */

import {
  type Assessment,
  type CallResult,
  hashText,
  monotonicMs,
  type Offer,
  type RequestIdentity,
  type RouteResult,
  routeRequest,
  targetsForSuspect,
  type SuspectCall,
  SuspectGate,
  Suspects,
  type Suspicion,
  type TargetRecord,
  chooseProbeTarget,
  type Verdict,
} from '@gentiandrum/core';
import { VirtualTime } from '../support/virtualTime.js';

/** Time for which a lethal request runs before its target crashes, and the delay of the target's restart, in milliseconds. */
const kDefaultTiming: FleetTiming = { lethalMs: 30, restartMs: 1_500, restartSpreadMs: 1_500 };
/** Time after which a gate detects that its target crashed, in milliseconds. */
const kDetectionMs = 6;
const kLinkTimeoutMs = 300;
const kDeadlineMs = 2_000;
const kMaxAttempts = 3;
/** Probability that a message stalls like a lost packet that is retransmitted; later messages on the link wait for it. */
const kStallProbability = 0.05;
const kStallMs = 300;
const kDuplicateProbability = 0.05;
const kMaxDelayMs = 4;

/** Durations in the simulated fleet, in milliseconds. */
export interface FleetTiming {
  /** Run of a lethal request until its target crashes. */
  lethalMs: number;
  /** Minimum time between the crash of a target and its return, and the range of the random time on top. */
  restartMs: number;
  restartSpreadMs: number;
}

/** A type of request: its requests share one fingerprint. */
export interface RequestType {
  identity: RequestIdentity;
  lethal: boolean;
  idempotent: boolean;
  runMs: number;
}

/** The result of one request. */
export interface Outcome {
  type: RequestType;
  result: RouteResult | 'unfinished';
}

interface ModelCall extends SuspectCall {
  type: RequestType;
  reply: (result: CallResult) => void;
}

/** A host with its daemon and its target. */
class ModelHost {
  suspects: Suspects;
  gate: SuspectGate<ModelCall>;
  /** Hosts whose targets the daemon considers ready. */
  readonly ready = new Set<string>();
  /** Incremented on each daemon restart; replies to an earlier generation are lost. */
  generation = 0;
  /** False from a restart of the daemon until another one has sent the suspects that it knows: its gate accepts no calls. */
  accepting = true;
  targetUp = true;
  incarnation = 1;
  running = new Set<ModelCall>();

  constructor(
    private readonly _fleet: QuarantineFleet,
    readonly name: string,
    readonly zone: string,
  ) {
    this.suspects = this._newSuspects();
    this.gate = this._newGate();
  }

  /** Restarts the daemon without any state. */
  restart(): void {
    this.generation++;
    this.suspects = this._newSuspects();
    this.gate = this._newGate();
    this.running = new Set();
    this.accepting = false;
    this._fleet.relink(this);
  }

  private _newSuspects(): Suspects {
    return new Suspects({
      broadcast: (suspects) => {
        this._fleet.broadcast(this, suspects);
      },
      sendSome: (count, suspects) => {
        this._fleet.sendToSome(this, count, suspects);
      },
      onEvent: (event) => {
        if (event.kind === 'quarantined') {
          this._fleet.quarantined.add(event.suspicion.fingerprint);
        }
      },
    });
  }

  private _newGate(): SuspectGate<ModelCall> {
    return new SuspectGate<ModelCall>(() => this.name, this.suspects, {
      onPass: (call) => {
        this._fleet.run(this, call);
      },
      onRefuse: (call, reason) => {
        call.reply({ kind: 'not_run', reason, retryAfterMs: 0 });
      },
      isProbeTarget: (fingerprint) => chooseProbeTarget(fingerprint, this._fleet.readyAt(this), new Set())?.host === this.name,
      isReady: (host) => this.ready.has(host),
      onRun: () => undefined,
    });
  }
}

export class QuarantineFleet {
  readonly time = new VirtualTime();
  readonly outcomes: Outcome[] = [];
  /** Fingerprints that any daemon has quarantined. */
  readonly quarantined = new Set<string>();
  /** Crashes with the request type that caused each; undefined for spontaneous ones. */
  readonly crashes: { at: number; type: RequestType | undefined }[] = [];
  /** Start times of lethal requests. */
  readonly lethalStarts: { at: number; type: RequestType }[] = [];
  readonly hosts: ModelHost[];
  private readonly _arrivals = new Map<string, number>();
  /** While set, messages between the zones are lost. */
  partitioned = false;

  constructor(
    count: number,
    private readonly _random: () => number,
    private readonly _timing = kDefaultTiming,
  ) {
    this.hosts = Array.from({ length: count }, (_, i) => new ModelHost(this, `h${i}`, `z${i % 2}`));
    for (const host of this.hosts) {
      this.hosts.forEach(({ name }) => host.ready.add(name));
    }
  }

  anyHost(): ModelHost {
    return this._hostAt(Math.floor(this._random() * this.hosts.length));
  }

  /** Targets that the daemon of a host considers ready. */
  readyAt(host: ModelHost): TargetRecord[] {
    return this.hosts.filter(({ name }) => host.ready.has(name)).map(recordOf);
  }

  /** Sends an external request to a host. */
  request(host: ModelHost, type: RequestType): void {
    const outcome: Outcome = { type, result: 'unfinished' };
    this.outcomes.push(outcome);
    const deadline = monotonicMs() + kDeadlineMs;
    const { generation } = host;
    const assess = (): Assessment | undefined => host.suspects.assess(() => type.identity);
    const suspicion = (): Suspicion | undefined => assess()?.suspicion;
    const fingerprint = (): string => suspicion()?.fingerprint ?? '';
    const verdict = (): Verdict => assess()?.verdict ?? 'clear';
    const candidates = (): TargetRecord[] => this.readyAt(host);
    const targets = (): readonly TargetRecord[] => {
      const assessment = assess();
      return assessment ? targetsForSuspect(assessment, candidates(), this.hosts.length - candidates().length) : candidates();
    };
    const procedure = routeRequest(
      { idempotent: type.idempotent, maxAttempts: kMaxAttempts },
      {
        choose: (excluded) => {
          if (verdict() !== 'clear') {
            return chooseProbeTarget(fingerprint(), targets(), excluded);
          }
          const open = candidates().filter((record) => !excluded.has(record.host));
          return open[Math.floor(this._random() * open.length)];
        },
        verdict,
        maySendSuspect: () => targets().length > 0,
        remainingMs: () => deadline - monotonicMs(),
        minUsefulMs: () => 5,
      },
    );
    const advance = (step: IteratorResult<Offer, RouteResult>): void => {
      if (host.generation !== generation || outcome.result !== 'unfinished') {
        return;
      }
      if (step.done === true) {
        outcome.result = step.value;
        return;
      }
      this._offer(host, step.value, { type, suspicion: step.value.suspect ? suspicion() : undefined, deadline }, (result) => {
        advance(procedure.next(result));
      });
    };
    advance(procedure.next());
  }

  /** Runs a call on the target of a host. */
  run(host: ModelHost, call: ModelCall): void {
    if (!host.targetUp) {
      this._finish(host, call, { kind: 'not_run', reason: 'unreachable', retryAfterMs: 0 });
      return;
    }
    const { incarnation } = host;
    host.running.add(call);
    if (call.type.lethal) {
      this.lethalStarts.push({ at: this.time.now, type: call.type });
    }
    this.time.after(call.type.lethal ? this._timing.lethalMs : call.type.runMs, () => {
      if (host.incarnation !== incarnation || !host.targetUp || !host.running.has(call)) {
        return;
      }
      if (call.type.lethal) {
        this.crash(host, call.type);
        return;
      }
      host.running.delete(call);
      host.gate.completed(call);
      this._finish(host, call, { kind: 'answered', answer: { status: 200, headers: [], body: Buffer.alloc(0) } });
    });
  }

  /** Crashes the target of a host, and restarts it after a random delay. */
  crash(host: ModelHost, type: RequestType | undefined): void {
    if (!host.targetUp) {
      return;
    }
    host.targetUp = false;
    this.crashes.push({ at: this.time.now, type });
    const inFlight = [...host.running];
    host.running = new Set();
    const { generation } = host;
    this.time.after(kDetectionMs, () => {
      if (host.generation !== generation) {
        return;
      }
      host.gate.crashed(
        { id: hashText(`${host.name} ${host.incarnation}`), at: this.time.now },
        inFlight.map((call) => ({ identity: call.identity(), route: call.route, call })),
      );
      this._sendState(host, false);
      for (const waiting of host.gate.drain()) {
        waiting.reply({ kind: 'not_run', reason: 'unreachable', retryAfterMs: 0 });
      }
      for (const call of inFlight) {
        this._finish(host, call, { kind: 'lost', reason: 'target ended' });
      }
    });
    this.time.after(this._timing.restartMs + this._random() * this._timing.restartSpreadMs, () => {
      host.targetUp = true;
      host.incarnation++;
      this._sendState(host, true);
    });
  }

  /** Sends suspicions to all other daemons. */
  broadcast(from: ModelHost, suspects: Suspicion[]): void {
    for (const to of this.hosts) {
      this._sendSuspects(from, to, suspects);
    }
  }

  /** Sends suspicions to `count` random daemons. */
  sendToSome(from: ModelHost, count: number, suspects: Suspicion[]): void {
    for (let i = 0; i < count; i++) {
      this._sendSuspects(from, this.anyHost(), suspects);
    }
  }

  /** Links a daemon with all others again; both ends of each link exchange their snapshots. */
  relink(host: ModelHost): void {
    for (const other of this.hosts) {
      this._sendSuspects(other, host, other.suspects.snapshot);
      this._sendSuspects(host, other, host.suspects.snapshot);
    }
  }

  /** Restores the real clock. */
  close(): void {
    this.time.restore();
  }

  private _hostAt(index: number): ModelHost {
    const host = this.hosts[index];
    if (!host) {
      throw new Error(`expected a host below ${this.hosts.length}, got ${index}`);
    }
    return host;
  }

  private _offer(
    from: ModelHost,
    { target }: Offer,
    { type, suspicion, deadline }: { type: RequestType; suspicion: Suspicion | undefined; deadline: number },
    done: (result: CallResult) => void,
  ): void {
    const to = this._hostAt(this.hosts.findIndex(({ name }) => name === target.host));
    const settled = { over: false };
    const settle = (result: CallResult): void => {
      if (!settled.over) {
        settled.over = true;
        done(result);
      }
    };
    const { generation } = to;
    const call: ModelCall = {
      type,
      identity: () => type.identity,
      route: 'r',
      suspicion,
      waitUntil: (monotonicMs() + deadline) / 2,
      expiresAt: deadline,
      reply: (result) => {
        this._send(to, from, () => {
          settle(result);
        });
      },
    };
    this._send(from, to, () => {
      if (to.generation === generation) {
        this._receiveOffer(to, call);
      }
    });
    // The link fails when the receiving daemon restarts or the network is partitioned.
    this.time.after(kLinkTimeoutMs, () => {
      if (to.generation !== generation || this._isPartitioned(from, to)) {
        settle({ kind: 'lost', reason: 'link lost' });
      }
    });
  }

  private _receiveOffer(host: ModelHost, call: ModelCall): void {
    if (!host.accepting) {
      call.reply({ kind: 'not_run', reason: 'not_accepting', retryAfterMs: 0 });
      return;
    }
    const decision = host.gate.offer(call);
    switch (decision.kind) {
      case 'pass':
        this.run(host, call);
        return;
      case 'wait':
        this.time.after(call.waitUntil - monotonicMs(), () => {
          host.gate.expire(monotonicMs());
        });
        return;
      case 'refused':
        call.reply({ kind: 'not_run', reason: decision.reason, retryAfterMs: 0 });
        return;
    }
  }

  private _finish(host: ModelHost, call: ModelCall, result: CallResult): void {
    call.reply(result);
    host.gate.leave(call, result.kind === 'lost');
  }

  private _sendState(host: ModelHost, ready: boolean): void {
    for (const to of this.hosts) {
      this._send(host, to, () => {
        if (ready) {
          to.ready.add(host.name);
        } else {
          to.ready.delete(host.name);
        }
      });
    }
  }

  private _sendSuspects(from: ModelHost, to: ModelHost, suspects: Suspicion[]): void {
    if (to === from) {
      return;
    }
    const times = this._random() < kDuplicateProbability ? 2 : 1;
    for (let i = 0; i < times; i++) {
      this._send(from, to, () => {
        to.suspects.mergeFromPeer(suspects);
        to.accepting = true;
      });
    }
  }

  private _send(from: ModelHost, to: ModelHost, arrive: () => void): void {
    if (this._isPartitioned(from, to)) {
      return;
    }
    // Messages on one link arrive in order.
    const link = `${from.name} ${to.name}`;
    const stallMs = this._random() < kStallProbability ? this._random() * kStallMs : 0;
    const delay = from === to ? 0 : Math.ceil(1 + stallMs + this._random() * (kMaxDelayMs - 1));
    const at = Math.max(this._arrivals.get(link) ?? 0, this.time.now + delay);
    this._arrivals.set(link, at);
    this.time.after(at - this.time.now, arrive);
  }

  private _isPartitioned(from: ModelHost, to: ModelHost): boolean {
    return this.partitioned && from.zone !== to.zone;
  }
}

function recordOf({ name, zone }: ModelHost): TargetRecord {
  return { host: name, zone, peers: '', service: 's', instance: name, state: 'ready', slots: 20, epoch: 1, revision: 1 };
}
