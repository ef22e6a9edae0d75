/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Gate of a chain-load model: the gate of a routing daemon without sockets, with a simulated target. */

import { type CallResult, type ChainModel, type GateRefusal, monotonicMs, SlotGate } from '@gentiandrum/core';
import {
  type ChainControl,
  createOfferedCall,
  GateLoad,
  type OfferDone,
  type OfferedCall,
  type OfferHandle,
  type PeerCall,
} from '@gentiandrum/mesh';
import type { LoadSettings } from '@gentiandrum/protocol';
import type { ChainNetwork } from './chainNetwork.js';

/** Interval of the checks for calls that have waited too long, in milliseconds. */
const kExpiryMs = 10;
const kNotRunning: OfferHandle = { cancel: () => undefined };

/** Runs one call at the target until `deadline`; `done` reports its success. Returns a function that stops the run. */
export type TargetWork = (call: PeerCall, deadline: number, done: (succeeded: boolean) => void) => () => void;

export interface GatePlan {
  slots: number;
  work: TargetWork;
  /** Called with the wait of each call that starts, in milliseconds. */
  onStart?: (waitMs: number) => void;
}

export class ModelGate {
  readonly load: GateLoad;
  private readonly _gate: SlotGate<OfferedCall>;
  private _nextId = 1;

  constructor(
    private readonly _network: ChainNetwork,
    private readonly _plan: GatePlan,
    private readonly _chains: ChainModel,
    private readonly _control: ChainControl,
    load: LoadSettings,
  ) {
    this._gate = new SlotGate<OfferedCall>({
      onStart: (offered) => {
        this._start(offered);
      },
      onRefuse: (offered, reason) => {
        this._refuse(offered, reason);
      },
    });
    this.load = new GateLoad(this._gate, {
      chargeMs: () => 0,
      load,
      chains: _chains,
      metrics: { refused: () => undefined, repeated: () => undefined },
    });
    this._gate.open(_plan.slots, 0);
    this._expire();
  }

  /** Decides on a call that a host offers to the target. */
  offer(call: PeerCall, done: OfferDone): OfferHandle {
    const now = monotonicMs();
    const offered = createOfferedCall(this._nextId++, call, now, done);
    this._chains.recordArrival(call.route, call.callerService);
    const time = this._control.timeOf(call);
    if (time.kind === 'too_late') {
      this._refuse(offered, time.kind);
      return kNotRunning;
    }
    offered.waitMs = time.waitMs;
    offered.waitUntil = now + Math.min(time.waitMs, call.remainingMs);
    offered.chainUntil = time.slackMs === undefined ? undefined : now + time.slackMs;
    this.load.level.recordArrival(offered.waitMs);
    const decision = this._gate.offer(offered);
    if (decision.kind === 'started') {
      this._start(offered);
    } else if (decision.kind === 'refused') {
      this._refuse(offered, decision.reason);
    }
    return {
      cancel: () => {
        this._cancel(offered);
      },
    };
  }

  private _refuse({ call, done }: OfferedCall, reason: GateRefusal): void {
    this.load.recordRefusal(reason);
    done(this.load.refusal(reason), this.load.report(call.route));
  }

  private _cancel(offered: OfferedCall): void {
    if (this._gate.withdraw(offered)) {
      offered.done({ kind: 'not_run', reason: 'cancelled', retryAfterMs: 0 }, this.load.report(offered.call.route));
    } else {
      offered.run?.abort();
    }
  }

  private _start(offered: OfferedCall): void {
    const now = monotonicMs();
    const { call, expiresAt, id } = offered;
    const remaining = Math.floor(expiresAt - now);
    if (remaining <= 0) {
      this._gate.callNotSent(id);
      this._refuse(offered, 'wait_too_long');
      return;
    }
    this._plan.onStart?.(now - (expiresAt - call.remainingMs));
    this._chains.recordRun(call.route);
    offered.startedAt = now;
    offered.parent = this._control.runStarted(offered, remaining);
    let ended = false;
    const end = (result: CallResult): void => {
      if (!ended) {
        ended = true;
        stop();
        this._end(offered, result);
      }
    };
    const stop = this._plan.work(call, now + remaining, (succeeded) => {
      end({ kind: 'answered', answer: { status: succeeded ? 200 : 503, headers: [], body: Buffer.alloc(0) } });
    });
    offered.run = {
      abort: () => {
        end({ kind: 'lost', reason: 'cancelled' });
      },
    };
    this._network.time.after(remaining, () => {
      end({ kind: 'lost', reason: 'timeout' });
    });
  }

  private _end(offered: OfferedCall, result: CallResult): void {
    const ran = result.kind === 'answered' && result.answer.status < 400;
    const tookMs = monotonicMs() - offered.startedAt;
    this._control.runEnded(offered.parent, ran);
    this.load.level.recordWork(this._gate.workMs(tookMs));
    this._gate.callEnded(offered.id, ran ? tookMs : undefined);
    offered.done(result, this.load.report(offered.call.route));
  }

  private _expire(): void {
    this._gate.startWaiting();
    this._network.time.after(kExpiryMs, () => {
      this._expire();
    });
  }
}
