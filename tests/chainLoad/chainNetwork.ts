/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Virtual network of a chain-load model: clock, random numbers, delays, and the targets of each service. */

import { type Random, seededRandom, type TargetRecord } from '@gentiandrum/core';
import type { Route } from '@gentiandrum/protocol';
import { VirtualTime } from '../support/virtualTime.js';
import type { ModelGate } from './modelGate.js';

/** Switches of the load control, of a daemon's settings. */
export interface ChainSwitches {
  chainTime: boolean;
  callParents: boolean;
}

export class ChainNetwork {
  readonly time = new VirtualTime();
  readonly random: Random;
  private readonly _gates = new Map<string, ModelGate>();
  private readonly _records = new Map<string, TargetRecord[]>();

  constructor(
    seed: number,
    readonly switches: ChainSwitches,
    readonly routes: ReadonlyMap<string, Route>,
  ) {
    this.random = seededRandom(seed);
  }

  /** Adds a target with its gate. */
  add(record: TargetRecord, gate: ModelGate): void {
    this._gates.set(record.host, gate);
    this._records.set(record.service, [...this.targetsOf(record.service), record]);
  }

  targetsOf(service: string): readonly TargetRecord[] {
    return this._records.get(service) ?? [];
  }

  gateOf({ host }: TargetRecord): ModelGate {
    const gate = this._gates.get(host);
    if (!gate) {
      throw new Error(`expected a gate of ${host}, got none`);
    }
    return gate;
  }

  /** Schedules an event. The clock counts whole milliseconds; the delay is rounded at random, so that its mean is kept. */
  after(ms: number, run: () => void): void {
    this.time.after(Math.floor(ms + this.random()), run);
  }

  /** Log-normal duration with this mean; `spread` is the standard deviation of its logarithm. */
  lognormal(meanMs: number, spread: number): number {
    const gauss = Math.sqrt(-2 * Math.log(1 - this.random())) * Math.cos(2 * Math.PI * this.random());
    return meanMs * Math.exp(spread * gauss - spread ** 2 / 2);
  }
}
