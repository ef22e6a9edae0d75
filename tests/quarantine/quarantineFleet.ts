/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** A fleet on virtual time: the product's decisions on suspects, with targets that end, and messages that are late, lost, repeated or cut. */

import {
  type CallResult,
  hashText,
  monotonicMs,
  type Offer,
  type RequestIdentity,
  type RouteResult,
  routeRequest,
  sparesTarget,
  type SuspectCall,
  SuspectGate,
  Suspects,
  type Suspicion,
  type TargetRecord,
  trialTarget,
  type Verdict,
} from '@gentiandrum/core';
import { VirtualTime } from '../support/virtualTime.js';

const kLethalMs = 30;
const kDownMs = 1_500;
const kDownSpreadMs = 1_500;
/** Time after which a gate knows that its target ended, in milliseconds. */
const kNoticeMs = 6;
const kLinkLostMs = 300;
const kDeadlineMs = 2_000;
const kMaxAttempts = 3;
/** Packets get lost: what follows on the link waits until they were sent again. */
const kStalledShare = 0.05;
const kStallMs = 300;
const kRepeatedShare = 0.05;
const kMaxDelayMs = 4;

/** One kind of request. */
export interface Kind {
  identity: RequestIdentity;
  lethal: boolean;
  idempotent: boolean;
  runMs: number;
}

/** What became of one request. */
export interface Outcome {
  kind: Kind;
  end: RouteResult | 'unfinished';
}

interface ModelCall extends SuspectCall {
  kind: Kind;
  reply: (end: CallResult) => void;
}

/** One host: its daemon, and the target beside it. */
class ModelHost {
  suspects: Suspects;
  gate: SuspectGate<ModelCall>;
  /** Hosts that it takes for ready. */
  readonly ready = new Set<string>();
  /** Life of the daemon: replies meant for an earlier one are lost. */
  life = 0;
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

  /** The daemon starts again, and knows nothing. */
  restart(): void {
    this.life++;
    this.suspects = this._newSuspects();
    this.gate = this._newGate();
    this.running = new Set();
    this._fleet.relink(this);
  }

  private _newSuspects(): Suspects {
    return new Suspects({
      broadcast: (suspects) => {
        this._fleet.tellAll(this, suspects);
      },
      sendSome: (count, suspects) => {
        this._fleet.tellSome(this, count, suspects);
      },
      note: (event) => {
        if (event.kind === 'quarantined') {
          this._fleet.held.add(event.suspicion.fingerprint);
        }
      },
    });
  }

  private _newGate(): SuspectGate<ModelCall> {
    return new SuspectGate<ModelCall>(this.suspects, {
      onPass: (call) => {
        this._fleet.run(this, call);
      },
      onRefuse: (call, reason) => {
        call.reply({ kind: 'not_run', reason, retryAfterMs: 0 });
      },
      isTrialTarget: (fingerprint) => trialTarget(fingerprint, this._fleet.readyAt(this), new Set())?.host === this.name,
    });
  }
}

/** The fleet. */
export class QuarantineFleet {
  readonly time = new VirtualTime();
  readonly outcomes: Outcome[] = [];
  /** Names of the kinds that any daemon held back. */
  readonly held = new Set<string>();
  /** Ends of targets by the kind that caused them; undefined for those by themselves. */
  readonly ends: { at: number; kind: Kind | undefined }[] = [];
  /** Times at which lethal requests began to run. */
  readonly lethalStarts: { at: number; kind: Kind }[] = [];
  readonly hosts: ModelHost[];
  private readonly _arrivals = new Map<string, number>();
  /** While set, the zones don't reach each other. */
  cut = false;

  constructor(
    count: number,
    private readonly _random: () => number,
  ) {
    this.hosts = Array.from({ length: count }, (_, i) => new ModelHost(this, `h${i}`, `z${i % 2}`));
    for (const host of this.hosts) {
      this.hosts.forEach(({ name }) => host.ready.add(name));
    }
  }

  /** A random host. */
  anyHost(): ModelHost {
    return this._hostAt(Math.floor(this._random() * this.hosts.length));
  }

  /** Targets that a daemon takes for ready. */
  readyAt(host: ModelHost): TargetRecord[] {
    return this.hosts.filter(({ name }) => host.ready.has(name)).map(recordOf);
  }

  /** A caller's request at a host. */
  request(host: ModelHost, kind: Kind): void {
    const outcome: Outcome = { kind, end: 'unfinished' };
    this.outcomes.push(outcome);
    const deadline = monotonicMs() + kDeadlineMs;
    const { life } = host;
    const suspicion = (): Suspicion | undefined => host.suspects.assess(() => kind.identity)?.suspicion;
    const verdict = (): Verdict => host.suspects.verdict(suspicion()?.fingerprint ?? '');
    const candidates = (): TargetRecord[] => this.readyAt(host);
    const procedure = routeRequest(
      { idempotent: kind.idempotent, maxAttempts: kMaxAttempts },
      {
        choose: (excluded) => {
          if (verdict() !== 'clear') {
            return trialTarget(suspicion()?.fingerprint ?? '', candidates(), excluded);
          }
          const open = candidates().filter((record) => !excluded.has(record.host));
          return open[Math.floor(this._random() * open.length)];
        },
        verdict,
        mayProbe: () => {
          const ready = candidates().length;
          return sparesTarget({ ready, unreachable: this.hosts.length - ready }, host.suspects.quietMs(suspicion()?.fingerprint ?? ''));
        },
        remainingMs: () => deadline - monotonicMs(),
        minUsefulMs: () => 5,
      },
    );
    const advance = (step: IteratorResult<Offer, RouteResult>): void => {
      if (host.life !== life || outcome.end !== 'unfinished') {
        return;
      }
      if (step.done === true) {
        outcome.end = step.value;
        return;
      }
      this._offer(host, step.value, { kind, suspicion: step.value.suspect ? suspicion() : undefined, deadline }, (end) => {
        advance(procedure.next(end));
      });
    };
    advance(procedure.next());
  }

  /** Runs a call at the target of a host. */
  run(host: ModelHost, call: ModelCall): void {
    if (!host.targetUp) {
      this._finish(host, call, { kind: 'not_run', reason: 'unreachable', retryAfterMs: 0 });
      return;
    }
    const { incarnation } = host;
    host.running.add(call);
    if (call.kind.lethal) {
      this.lethalStarts.push({ at: this.time.now, kind: call.kind });
    }
    this.time.after(call.kind.lethal ? kLethalMs : call.kind.runMs, () => {
      if (host.incarnation !== incarnation || !host.targetUp || !host.running.has(call)) {
        return;
      }
      if (call.kind.lethal) {
        this.end(host, call.kind);
        return;
      }
      host.running.delete(call);
      host.gate.completed(call);
      this._finish(host, call, { kind: 'answered', answer: { status: 200, headers: [], body: Buffer.alloc(0) } });
    });
  }

  /** The target of a host ends, and is back after a while. */
  end(host: ModelHost, kind: Kind | undefined): void {
    if (!host.targetUp) {
      return;
    }
    host.targetUp = false;
    this.ends.push({ at: this.time.now, kind });
    const ended = [...host.running];
    host.running = new Set();
    const { life } = host;
    this.time.after(kNoticeMs, () => {
      if (host.life !== life) {
        return;
      }
      host.gate.crashed(
        { id: hashText(`${host.name} ${host.incarnation}`), at: this.time.now },
        ended.map((call) => ({ identity: call.identity(), route: call.route, call })),
      );
      this._tellState(host, false);
      for (const waiting of host.gate.drain()) {
        waiting.reply({ kind: 'not_run', reason: 'unreachable', retryAfterMs: 0 });
      }
      for (const call of ended) {
        this._finish(host, call, { kind: 'lost', reason: 'target ended' });
      }
    });
    this.time.after(kDownMs + this._random() * kDownSpreadMs, () => {
      host.targetUp = true;
      host.incarnation++;
      this._tellState(host, true);
    });
  }

  /** Tells every other daemon. */
  tellAll(from: ModelHost, suspects: Suspicion[]): void {
    for (const to of this.hosts) {
      this._tell(from, to, suspects);
    }
  }

  /** Tells some other daemons. */
  tellSome(from: ModelHost, count: number, suspects: Suspicion[]): void {
    for (let i = 0; i < count; i++) {
      this._tell(from, this.anyHost(), suspects);
    }
  }

  /** A daemon is linked with all others anew, and each tells the other what it knows. */
  relink(host: ModelHost): void {
    for (const other of this.hosts) {
      this._tell(other, host, other.suspects.told);
      this._tell(host, other, host.suspects.told);
    }
  }

  /** Gives the runtime its own clock back. */
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
    { kind, suspicion, deadline }: { kind: Kind; suspicion: Suspicion | undefined; deadline: number },
    done: (end: CallResult) => void,
  ): void {
    const to = this._hostAt(this.hosts.findIndex(({ name }) => name === target.host));
    const settled = { over: false };
    const settle = (end: CallResult): void => {
      if (!settled.over) {
        settled.over = true;
        done(end);
      }
    };
    const { life } = to;
    const call: ModelCall = {
      kind,
      identity: () => kind.identity,
      route: 'r',
      suspicion,
      waitUntil: (monotonicMs() + deadline) / 2,
      reply: (end) => {
        this._send(to, from, () => {
          settle(end);
        });
      },
    };
    this._send(from, to, () => {
      if (to.life === life) {
        this._takeOffer(to, call);
      }
    });
    // The link is lost with the daemon at its other end, or by a cut.
    this.time.after(kLinkLostMs, () => {
      if (to.life !== life || this._isCut(from, to)) {
        settle({ kind: 'lost', reason: 'link lost' });
      }
    });
  }

  private _takeOffer(host: ModelHost, call: ModelCall): void {
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

  private _finish(host: ModelHost, call: ModelCall, end: CallResult): void {
    call.reply(end);
    host.gate.leave(call);
  }

  private _tellState(host: ModelHost, ready: boolean): void {
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

  private _tell(from: ModelHost, to: ModelHost, suspects: Suspicion[]): void {
    if (to === from || suspects.length === 0) {
      return;
    }
    const times = this._random() < kRepeatedShare ? 2 : 1;
    for (let i = 0; i < times; i++) {
      this._send(from, to, () => {
        to.suspects.take(suspects);
      });
    }
  }

  private _send(from: ModelHost, to: ModelHost, arrive: () => void): void {
    if (this._isCut(from, to)) {
      return;
    }
    // What travels on one link arrives in its order.
    const link = `${from.name} ${to.name}`;
    const stallMs = this._random() < kStalledShare ? this._random() * kStallMs : 0;
    const delay = from === to ? 0 : Math.ceil(1 + stallMs + this._random() * (kMaxDelayMs - 1));
    const at = Math.max(this._arrivals.get(link) ?? 0, this.time.now + delay);
    this._arrivals.set(link, at);
    this.time.after(at - this.time.now, arrive);
  }

  private _isCut(from: ModelHost, to: ModelHost): boolean {
    return this.cut && from.zone !== to.zone;
  }
}

function recordOf({ name, zone }: ModelHost): TargetRecord {
  return { host: name, zone, peers: '', service: 's', instance: name, state: 'ready', slots: 20, epoch: 1, revision: 1 };
}
