/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Model of one ingress and the gates of one service, of which some hosts lose power. Calls are not repeated. */

import { ChainModel, type GatedCall, GateLevel, seededRandom, ServiceRoom, SlotGate, type TargetRecord } from '@gentiandrum/core';
import { VirtualTime } from '../support/virtualTime.js';

const kSlots = 8;
const kLimit = 7; // slots of 8 that a gate uses
const kRunMs = 100;
const kAllowedWaitMs = 300;
const kTickMs = 100;

export const kHosts = 23;
export const kLostHosts = 3;
/** Time of the loss, time after which the ingress notices it, and end of the run. */
export const kLostAtMs = 8_000;
const kIngressNoticesMs = 200;
const kEndMs = 14_000;
export const kBinMs = 250;
/** Requests that the remaining hosts can run in one interval. */
export const kRemainingPerBin = ((kHosts - kLostHosts) * kLimit * kBinMs) / kRunMs;

/** Outcomes of the requests that entered in one interval of {@link kBinMs}. */
export interface Bin {
  offered: number;
  shed: number;
  failed: number;
  served: number;
}

interface ModelCall extends GatedCall {
  bin: Bin;
}

class ModelHost {
  readonly level = new GateLevel();
  readonly gate: SlotGate<ModelCall>;
  alive = true;

  constructor(
    readonly name: string,
    private readonly _time: VirtualTime,
    private readonly _runMs: () => number,
    private readonly _report: (host: ModelHost) => void,
  ) {
    this.gate = new SlotGate<ModelCall>({ onStart: this._start.bind(this), onRefuse: this._refuse.bind(this) });
    this.gate.open(kSlots, 0);
  }

  get pending(): number {
    return this.gate.inFlight + this.gate.queued;
  }

  offer(call: ModelCall): void {
    if (!this.alive) {
      call.bin.failed++;
      return;
    }
    this.level.recordArrival(kAllowedWaitMs);
    const decision = this.gate.offer(call);
    if (decision.kind === 'started') {
      this._start(call);
    } else if (decision.kind === 'refused') {
      this._refuse(call);
    }
  }

  private _start(call: ModelCall): void {
    const ms = this._runMs();
    this._time.after(ms, () => {
      call.bin[this.alive ? 'served' : 'failed']++;
      if (this.alive) {
        this.level.recordWork(this.gate.workMs(ms));
        this.gate.callEnded(call.id, ms);
        this._report(this);
      }
    });
  }

  private _refuse(call: ModelCall): void {
    call.bin.failed++;
    if (this.alive) {
      this.level.recordRefusal(this.gate.workMs(this.gate.meanMs));
      this._report(this);
    }
  }
}

/** Runs the model at `load`, a share of the capacity of all hosts; gates notice the loss after `gatesNoticeMs`. */
export function runRoomModel(load: number, gatesNoticeMs: number, follow = true): Bin[] {
  const time = new VirtualTime();
  const random = seededRandom(23);
  const chains = new ChainModel();
  const all = Array.from({ length: kHosts }, (_, i) => {
    const runMs = (): number => kRunMs * (0.7 + 0.6 * random());
    return new ModelHost(`h${i}`, time, runMs, ({ name, level }) => {
      chains.recordReport('route', name, { level: level.current, inner: false, height: 0 });
    });
  });
  const isLost = (host: string): boolean => all.findIndex(({ name }) => name === host) < kLostHosts;
  const noticed = (host: string, afterMs: number): boolean => isLost(host) && time.now >= kLostAtMs + afterMs;
  const ready = all.map(({ name }) => ({ host: name, instance: name, born: 1, slots: kSlots }) as TargetRecord);
  const rooms = all.map((_, i) => {
    // Gates notice the loss up to 100 ms apart, by the phase of their ticks.
    const isReachable = (host: string): boolean => !noticed(host, gatesNoticeMs + (i * kTickMs) / kHosts);
    return new ServiceRoom({ isReachable, startedAt: 0, allHostsKnown: () => true });
  });
  const bins: Bin[] = Array.from({ length: kEndMs / kBinMs }, () => ({ offered: 0, shed: 0, failed: 0, served: 0 }));
  const perMs = (load * kHosts * kLimit) / kRunMs;
  let id = 0;
  for (let ms = 0; ms < kEndMs; ms++) {
    time.runUntil(ms);
    all.forEach((host, i) => {
      const { name, level, gate } = host;
      if (ms === kLostAtMs && isLost(name)) {
        host.alive = false;
        gate.close();
      }
      if (host.alive && (ms + (i * kTickMs) / kHosts) % kTickMs < 1) {
        level.step(gate.queueWaitMs, kTickMs);
        const change = rooms[i]?.look(ready);
        if (change && follow) {
          level.followRoom(change.factor);
        }
      }
      gate.startWaiting();
      if (follow && ms === kLostAtMs + kIngressNoticesMs && isLost(name)) {
        chains.forgetHost(name);
      }
    });
    const known = all.filter(({ name }) => !noticed(name, kIngressNoticesMs));
    for (const bin = bins[Math.floor(ms / kBinMs)]; bin && id < perMs * ms; id++) {
      bin.offered++;
      if (random() < chains.level('route')) {
        bin.shed++;
      } else {
        const [a, b] = [known[Math.floor(random() * known.length)], known[Math.floor(random() * known.length)]];
        (a && b && b.pending < a.pending ? b : a)?.offer({ id, waitUntil: ms + kAllowedWaitMs, bin });
      }
    }
  }
  time.runUntil(kEndMs + 2_000);
  time.restore();
  return bins;
}
