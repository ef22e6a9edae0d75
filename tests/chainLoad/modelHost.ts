/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Host of a chain-load model: a routing daemon without sockets, with or without a simulated target. */

import { ChainModel, monotonicMs, Placement, RootAdmission, type TargetRecord } from '@gentiandrum/core';
import {
  CallExchange,
  ChainControl,
  Deadlines,
  type ExchangeDeps,
  type ExchangeResult,
  type OfferDone,
  type OfferHandle,
  type PeerCall,
} from '@gentiandrum/mesh';
import { meshSettingsSchema, type Route } from '@gentiandrum/protocol';
import type { ChainNetwork } from './chainNetwork.js';
import { type GatePlan, ModelGate } from './modelGate.js';

/** One-way network delay between two hosts, in milliseconds. */
export const kDelayMs = 1;
/** Interval of the periodic checks of a daemon, in milliseconds. */
const kTickMs = 100;
const kNothing = (): void => undefined;

const kNoBody = Buffer.alloc(0);
/** Outcome of a request that is refused where it enters. */
const kRefused: ExchangeResult = { kind: 'not_run', reason: 'cancelled', retryAfterMs: 0 };

export class ModelHost {
  private readonly _gate: ModelGate | undefined;
  private readonly _control: ChainControl;
  private readonly _chains = new ChainModel();
  private readonly _admission = new RootAdmission();
  private readonly _deadlines = new Deadlines();
  private readonly _placement: Placement;

  /** @param plan the target of the host; undefined without one */
  constructor(
    private readonly _network: ChainNetwork,
    name: string,
    private readonly _service: string,
    plan?: GatePlan,
  ) {
    const load = meshSettingsSchema.shape.load.parse(_network.switches);
    this._control = new ChainControl({ load, chains: this._chains });
    this._placement = new Placement(name, 'zone', _network.random);
    if (plan) {
      this._gate = new ModelGate(_network, plan, this._chains, this._control, load);
      const record = { host: name, zone: 'zone', peers: '', service: _service, instance: name, state: 'ready' as const };
      _network.add({ ...record, slots: plan.slots, epoch: 1, revision: 1 }, this._gate);
    }
    // Daemons do not check at the same time.
    _network.after(_network.random() * kTickMs, () => {
      this._tick();
    });
  }

  /** Level of a route, as this host knows it. */
  levelOf(route: string): number {
    return this._chains.level(route);
  }

  /** Admits and routes a request of a caller or of the target on this host. Returns a function that abandons it. */
  enter(routeName: string, remainingMs: number, done: (result: ExchangeResult) => void): () => void {
    const route = this._network.routes.get(routeName);
    if (!route) {
      throw new Error(`expected a route ${routeName}, got none`);
    }
    const external = this._chains.isInternal(routeName) === false;
    const limitMs = Math.min(route.timeoutMs, remainingMs);
    if (external && !this._admits(route, limitMs)) {
      done(kRefused);
      return kNothing;
    }
    this._chains.recordEntry(routeName);
    const chain = this._control.chainOf(routeName, remainingMs);
    if (chain.kind === 'ended') {
      done(kRefused);
      return kNothing;
    }
    const service = route.destinations[0]?.service ?? '';
    const exchange = new CallExchange(
      {
        ...{ route, service, callerService: this._service, rank: route.priority, chain, workspace: undefined },
        ...{ requestId: '', method: 'GET', path: '/', headers: [], body: kNoBody, deadline: monotonicMs() + limitMs },
      },
      this._exchangeDeps(),
      (result) => {
        if (external && result.kind === 'answered' && result.answer.status < 400) {
          this._control.recordSuccess(routeName, exchange.ageMs);
        }
        done(result);
      },
    );
    exchange.start();
    return () => {
      exchange.abandon();
    };
  }

  private _admits({ name, priority }: Route, limitMs: number): boolean {
    const admitted = this._admission.admits(priority, this._chains.level(name), this._network.random(), monotonicMs());
    return admitted && this._control.canEndInTime(name, limitMs);
  }

  private _exchangeDeps(): ExchangeDeps {
    return {
      candidates: (service) => this._network.targetsOf(service),
      unreachable: () => 0,
      choose: (candidates, excluded, placed) => this._placement.choose(candidates, excluded, placed),
      offer: (target, call, offerDone) => this._send(target, call, offerDone),
      chains: this._chains,
      suspects: { assess: () => undefined },
      deadlines: this._deadlines,
      onOfferSent: ({ host }) => {
        this._placement.recordSent(host);
      },
      onOfferResult: (host, name, result) => {
        this._placement.recordResult(host, name, result);
      },
      deprioritize: () => undefined,
    };
  }

  private _send(target: TargetRecord, call: PeerCall, done: OfferDone): OfferHandle {
    let handle: OfferHandle | undefined;
    this._network.time.after(kDelayMs, () => {
      handle = this._network.gateOf(target).offer(call, (result, report) => {
        this._network.time.after(kDelayMs, () => {
          done(result, report);
        });
      });
    });
    return {
      cancel: () => {
        this._network.time.after(kDelayMs, () => {
          handle?.cancel();
        });
      },
    };
  }

  private _tick(): void {
    this._gate?.load.step(kTickMs);
    this._chains.step();
    this._deadlines.check();
    this._network.time.after(kTickMs, () => {
      this._tick();
    });
  }
}
