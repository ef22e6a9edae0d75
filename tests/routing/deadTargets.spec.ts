/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against sending calls to dead targets whose daemons still run: their gates report no load and would win each comparison. */

import {
  type CallResult,
  foundNoTarget,
  Placement,
  routeRequest,
  seededRandom,
  SlotGate,
  TargetDirectory,
  TargetReachability,
  type TargetRecord,
} from '@gentiandrum/core';
import { describe, itSerial } from '../support/describe.js';
import { VirtualTime } from '../support/virtualTime.js';

const kHosts = 70;
const kSlots = 8;
const kRunMs = 40;
const kHopMs = 1;
/** Time until other daemons know a changed record, in milliseconds. */
const kPropagationMs = 5;
const kTickMs = 100;
const kRoute = { name: 'read', latencyTargetMs: 400, idempotent: true, maxAttempts: 2 };

interface FleetCounts {
  offers: number;
  unsuccessful: number;
  requests: number;
  served: number;
}

/** Hosts with a gate and an ingress each, in virtual time. */
class FleetWithDeadTargets {
  readonly counts: FleetCounts = { offers: 0, unsuccessful: 0, requests: 0, served: 0 };
  private readonly _directory = new TargetDirectory();
  private readonly _placements: Placement[] = [];
  private readonly _gates: SlotGate<{
    id: number;
    waitUntil: number;
    run: () => void;
    refuse: (reason: 'overloaded' | 'unreachable') => void;
  }>[] = [];
  private readonly _reach: TargetReachability[] = [];
  private readonly _revisions: number[] = [];
  private _nextId = 1;

  constructor(
    private readonly _time: VirtualTime,
    private readonly _random: () => number,
    readonly dead: Set<number>,
  ) {
    for (let i = 0; i < kHosts; i++) {
      this._placements.push(new Placement(`h${i}`, 'z', _random));
      this._reach.push(new TargetReachability());
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
      this.publishRecord(i);
    }
    this._tick();
  }

  /** Sends one request from a random ingress. */
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
      maySendSuspect: () => true,
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
      placement.recordSent(host);
      this._offer(Number(host.slice(1)), (result) => {
        const unsuccessful = foundNoTarget(result);
        this.counts.unsuccessful += unsuccessful ? 1 : 0;
        const gate = this._gates[Number(host.slice(1))];
        const load =
          gate && !unsuccessful ? { inFlight: gate.inFlight, queued: gate.queued, limit: gate.limit, meanMs: gate.meanMs } : undefined;
        if (unsuccessful) {
          placement.markUnreachable(host);
        }
        placement.recordResult(host, kRoute.name, {
          load,
          tookMs: result.kind === 'answered' ? this._time.now - sentAt : undefined,
          failed: result.kind === 'lost',
        });
        advance(procedure.next(result));
      });
    };
    advance(procedure.next());
  }

  /** Publishes the record of a host to all daemons. */
  publishRecord(at: number): void {
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
    this._time.after(kPropagationMs, () => {
      this._directory.merge(record);
      if (state === 'ready') {
        this._placements.forEach((placement) => {
          placement.markReachable(record.host);
        });
      }
    });
  }

  private _offer(at: number, done: (result: CallResult) => void): void {
    const gate = this._gates[at];
    if (!gate) {
      return;
    }
    const id = this._nextId++;
    const reply = (result: CallResult): void => {
      this._time.after(kHopMs, () => {
        done(result);
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

  private _run(at: number, id: number, reply: (result: CallResult) => void): void {
    const gate = this._gates[at];
    if (this.dead.has(at)) {
      this._recordEvidence(at, 'refused');
      gate?.callEnded(id);
      reply({ kind: 'not_run', reason: 'unreachable', retryAfterMs: 0 });
      return;
    }
    this._time.after(kRunMs, () => {
      gate?.callEnded(id, kRunMs);
      reply({ kind: 'answered', answer: { status: 200, headers: [], body: Buffer.alloc(0) } });
    });
  }

  private _recordEvidence(at: number, evidence: 'refused' | 'connected'): void {
    if (this._reach[at]?.record(evidence, this._time.now) !== true) {
      return;
    }
    if (evidence === 'refused') {
      this._gates[at]?.close('unreachable');
    } else {
      this._gates[at]?.open(kSlots, 0);
    }
    this.publishRecord(at);
  }

  private _tick(): void {
    for (let at = 0; at < kHosts; at++) {
      if (this._reach[at]?.takeProbe(this._time.now) === true) {
        this._recordEvidence(at, this.dead.has(at) ? 'refused' : 'connected');
      }
    }
    this._time.after(kTickMs, () => {
      this._tick();
    });
  }
}

/** Sends requests at a share of the capacity of the live targets; counts from `fromMs` on. */
function simulate(
  share: number,
  untilMs: number,
  fromMs: number,
  change?: (fleet: FleetWithDeadTargets, now: number) => void,
): FleetCounts {
  const time = new VirtualTime();
  try {
    const random = seededRandom(11);
    const fleet = new FleetWithDeadTargets(time, random, new Set(Array.from({ length: kHosts / 10 }, (_, i) => i * 10)));
    const perMs = (share * (kHosts - kHosts / 10) * kSlots) / kRunMs;
    time.runUntil(kPropagationMs + 1);
    let before: FleetCounts = { ...fleet.counts };
    for (let now = kPropagationMs + 2; now < untilMs; now++) {
      change?.(fleet, now);
      for (let pending = perMs + random() - 0.5; pending > 0; pending--) {
        if (pending >= 1 || random() < pending) {
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
      unsuccessful: after.unsuccessful - before.unsuccessful,
      requests: after.requests - before.requests,
      served: after.served - before.served,
    };
  } finally {
    time.restore();
  }
}

describe('dead targets, a tenth of all, with running daemons', () => {
  itSerial('should receive almost no offers after a second, at 0.7 of the remaining capacity', (t) => {
    const { offers, unsuccessful, requests, served } = simulate(0.7, 3_000, 1_000);
    t.true(unsuccessful <= 0.005 * offers, `${unsuccessful} of ${offers} offers unsuccessful`);
    t.true(served >= 0.99 * requests, `${served} of ${requests} served`);
  });

  itSerial('should receive almost no offers at 1.2 of the remaining capacity, while the other targets are overloaded', (t) => {
    const { offers, unsuccessful, requests, served } = simulate(1.2, 3_000, 1_000);
    t.true(unsuccessful <= 0.005 * offers, `${unsuccessful} of ${offers} offers unsuccessful`);
    t.true(served >= 0.7 * requests, `${served} of ${requests} served`);
  });

  itSerial('should fail few requests in the first second, as an unsuccessful offer consumes no attempt', (t) => {
    const { requests, served } = simulate(0.7, 1_000, 10);
    t.true(served >= 0.99 * requests, `${served} of ${requests} served`);
  });

  itSerial('should be used again within 1.5 seconds of their recovery', (t) => {
    const { requests, served, unsuccessful, offers } = simulate(0.95, 6_000, 3_500, (fleet, now) => {
      if (now === 2_000) {
        fleet.dead.clear();
      }
    });
    t.true(served >= 0.99 * requests, `${served} of ${requests} served`);
    t.true(unsuccessful <= 0.005 * offers, `${unsuccessful} of ${offers} offers unsuccessful`);
  });

  itSerial('should cause few unsuccessful offers while another target flaps', (t) => {
    const { offers, unsuccessful, requests, served } = simulate(0.7, 6_000, 1_000, (fleet, now) => {
      if (now % 1_000 === 0) {
        if (fleet.dead.has(3)) {
          fleet.dead.delete(3);
        } else {
          fleet.dead.add(3);
        }
      }
    });
    t.true(unsuccessful <= 0.005 * offers, `${unsuccessful} of ${offers} offers unsuccessful`);
    t.true(served >= 0.99 * requests, `${served} of ${requests} served`);
  });
});
