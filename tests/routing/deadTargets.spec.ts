/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * The load of a fleet in which a tenth of the targets of a service is gone while their daemons live: what those say of themselves is
 * "empty and quick", so each choice by load would go there.
 */

import {
  type CallResult,
  foundNoTarget,
  Placement,
  routeRequest,
  seededRandom,
  SlotGate,
  TargetDirectory,
  TargetReach,
  type TargetRecord,
} from '@gentiandrum/core';
import { describe, itAlone } from '../support/describe.js';
import { VirtualTime } from '../support/virtualTime.js';

const kHosts = 70;
const kSlots = 8;
const kRunMs = 40;
const kHopMs = 1;
/** Time until a change of a record is known to other daemons, in milliseconds. */
const kToldMs = 5;
const kTickMs = 100;
const kRoute = { name: 'read', latencyTargetMs: 400, idempotent: true, maxAttempts: 2 };

interface FleetCounts {
  offers: number;
  vain: number;
  requests: number;
  served: number;
}

/** Hosts with a gate and an ingress each, over virtual time. */
class GoneTargets {
  readonly counts: FleetCounts = { offers: 0, vain: 0, requests: 0, served: 0 };
  private readonly _directory = new TargetDirectory();
  private readonly _placements: Placement[] = [];
  private readonly _gates: SlotGate<{
    id: number;
    waitUntil: number;
    run: () => void;
    refuse: (reason: 'overloaded' | 'unreachable') => void;
  }>[] = [];
  private readonly _reach: TargetReach[] = [];
  private readonly _revisions: number[] = [];
  private _nextId = 1;

  constructor(
    private readonly _time: VirtualTime,
    private readonly _random: () => number,
    readonly gone: Set<number>,
  ) {
    for (let i = 0; i < kHosts; i++) {
      this._placements.push(new Placement(`h${i}`, 'z', _random));
      this._reach.push(new TargetReach());
      this._revisions.push(0);
      const gate: (typeof this._gates)[number] = new SlotGate({
        onStart: (call) => {
          call.run();
        },
        onRefuse: (call, reason) => {
          call.refuse(reason === 'unreachable' ? reason : 'overloaded');
        },
      });
      gate.open(kSlots, 0);
      this._gates.push(gate);
      this.tell(i);
    }
    this._tick();
  }

  /** Sends one request from an ingress drawn at random. */
  request(): void {
    const ingress = Math.floor(this._random() * kHosts);
    const placement = this._placements[ingress];
    if (!placement) {
      return;
    }
    this.counts.requests++;
    const procedure = routeRequest(kRoute, {
      choose: (excluded) => placement.choose(this._directory.ready('s'), excluded, kRoute),
      remainingMs: () => 1_000,
      verdict: () => 'clear',
      mayProbe: () => true,
      minUsefulMs: () => 5,
    });
    const advance = (step: ReturnType<typeof procedure.next>): void => {
      if (step.done === true) {
        this.counts.served += step.value.kind === 'answered' ? 1 : 0;
        return;
      }
      const { host } = step.value.target;
      const sentAt = this._time.now;
      this.counts.offers++;
      placement.sent(host);
      this._offer(Number(host.slice(1)), (end) => {
        const vain = foundNoTarget(end);
        this.counts.vain += vain ? 1 : 0;
        const gate = this._gates[Number(host.slice(1))];
        const load = gate && !vain ? { inFlight: gate.inFlight, queued: gate.queued, limit: gate.limit, meanMs: gate.meanMs } : undefined;
        if (vain) {
          placement.avoid(host);
        }
        placement.ended(host, kRoute.name, {
          load,
          tookMs: end.kind === 'answered' ? this._time.now - sentAt : undefined,
          failed: end.kind === 'lost',
        });
        advance(procedure.next(end));
      });
    };
    advance(procedure.next());
  }

  /** Makes the record of a host known. */
  tell(at: number): void {
    const revision = (this._revisions[at] ?? 0) + 1;
    this._revisions[at] = revision;
    const state = this._reach[at]?.reachable === true ? 'ready' : 'unreachable';
    const record: TargetRecord = {
      host: `h${at}`,
      zone: 'z',
      peers: '10.0.0.1:1',
      service: 's',
      instance: `i${at}`,
      state,
      slots: kSlots,
      epoch: 1,
      revision,
    };
    this._time.after(kToldMs, () => {
      this._directory.learn(record);
      if (state === 'ready') {
        this._placements.forEach((placement) => {
          placement.reached(record.host);
        });
      }
    });
  }

  private _offer(at: number, done: (end: CallResult) => void): void {
    const gate = this._gates[at];
    if (!gate) {
      return;
    }
    const id = this._nextId++;
    const reply = (end: CallResult): void => {
      this._time.after(kHopMs, () => {
        done(end);
      });
    };
    const refuse = (reason: 'overloaded' | 'unreachable'): void => {
      reply({ kind: 'not_run', reason, retryAfterMs: 0 });
    };
    const run = (): void => {
      this._run(at, id, reply);
    };
    this._time.after(kHopMs, () => {
      const decision = gate.offer({ id, waitUntil: this._time.now + 80, run, refuse });
      if (decision.kind === 'started') {
        run();
      } else if (decision.kind === 'refused') {
        refuse(decision.reason === 'unreachable' ? 'unreachable' : 'overloaded');
      }
    });
  }

  private _run(at: number, id: number, reply: (end: CallResult) => void): void {
    const gate = this._gates[at];
    if (this.gone.has(at)) {
      this._note(at, 'refused');
      gate?.ended(id);
      reply({ kind: 'not_run', reason: 'unreachable', retryAfterMs: 0 });
      return;
    }
    this._time.after(kRunMs, () => {
      gate?.ended(id, kRunMs);
      reply({ kind: 'answered', answer: { status: 200, headers: [], body: Buffer.alloc(0) } });
    });
  }

  private _note(at: number, evidence: 'refused' | 'connected'): void {
    if (this._reach[at]?.note(evidence, this._time.now) !== true) {
      return;
    }
    if (evidence === 'refused') {
      this._gates[at]?.close('unreachable');
    } else {
      this._gates[at]?.open(kSlots, 0);
    }
    this.tell(at);
  }

  private _tick(): void {
    for (let at = 0; at < kHosts; at++) {
      if (this._reach[at]?.takeProbe(this._time.now) === true) {
        this._note(at, this.gone.has(at) ? 'refused' : 'connected');
      }
    }
    this._time.after(kTickMs, () => {
      this._tick();
    });
  }
}

/** Poisson arrivals at a share of what the living targets can do; counts from `from` on, in milliseconds. */
function play(share: number, untilMs: number, fromMs: number, change?: (fleet: GoneTargets, now: number) => void): FleetCounts {
  const time = new VirtualTime();
  try {
    const random = seededRandom(11);
    const fleet = new GoneTargets(time, random, new Set(Array.from({ length: kHosts / 10 }, (_, i) => i * 10)));
    const perMs = (share * (kHosts - kHosts / 10) * kSlots) / kRunMs;
    time.runUntil(kToldMs + 1);
    let before: FleetCounts = { ...fleet.counts };
    for (let now = kToldMs + 2; now < untilMs; now++) {
      change?.(fleet, now);
      for (let due = perMs + random() - 0.5; due > 0; due--) {
        if (due >= 1 || random() < due) {
          fleet.request();
        }
      }
      time.runUntil(now);
      if (now === fromMs) {
        before = { ...fleet.counts };
      }
    }
    time.runUntil(untilMs + 1_000);
    const after = fleet.counts;
    return {
      offers: after.offers - before.offers,
      vain: after.vain - before.vain,
      requests: after.requests - before.requests,
      served: after.served - before.served,
    };
  } finally {
    time.restore();
  }
}

describe('a tenth of the targets gone, their daemons alive', () => {
  itAlone('should offer next to nothing to the dead after a second, at 0.7 of what the others can do', (t) => {
    const { offers, vain, requests, served } = play(0.7, 3_000, 1_000);
    t.true(vain <= 0.005 * offers, `${vain} of ${offers} offers in vain`);
    t.true(served >= 0.99 * requests, `${served} of ${requests} served`);
  });

  itAlone('should do so at 1.2, and keep the others busy', (t) => {
    const { offers, vain, requests, served } = play(1.2, 3_000, 1_000);
    t.true(vain <= 0.005 * offers, `${vain} of ${offers} offers in vain`);
    t.true(served >= 0.7 * requests, `${served} of ${requests} served`);
  });

  itAlone('should serve in the first second too, as an offer in vain takes no attempt', (t) => {
    const { requests, served } = play(0.7, 1_000, 10);
    t.true(served >= 0.99 * requests, `${served} of ${requests} served`);
  });

  itAlone('should use targets again within a second and a half of their return', (t) => {
    const { requests, served, vain, offers } = play(0.95, 6_000, 3_500, (fleet, now) => {
      if (now === 2_000) {
        fleet.gone.clear();
      }
    });
    t.true(served >= 0.99 * requests, `${served} of ${requests} served`);
    t.true(vain <= 0.005 * offers, `${vain} of ${offers} offers in vain`);
  });

  itAlone('should bound what a flapping target costs', (t) => {
    const { offers, vain, requests, served } = play(0.7, 6_000, 1_000, (fleet, now) => {
      if (now % 1_000 === 0) {
        if (fleet.gone.has(3)) {
          fleet.gone.delete(3);
        } else {
          fleet.gone.add(3);
        }
      }
    });
    t.true(vain <= 0.005 * offers, `${vain} of ${offers} offers in vain`);
    t.true(served >= 0.99 * requests, `${served} of ${requests} served`);
  });
});
