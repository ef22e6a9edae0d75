/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Counters, gauges and latency histograms of a routing daemon, served as text. Labels have few values, whatever callers send. */

import type { GateRefusal } from '@gentiandrum/core';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Bounds of the latency histogram, in seconds: from a call on the same host to the longest limits of routes. */
const kLatencyBounds = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/** How a request ended at the ingress. */
export type RequestOutcome = 'answered' | 'target_failed' | 'not_run' | 'lost' | 'timed_out' | 'shed' | 'no_route' | 'no_configuration';

/** Values that are read when metrics are asked for. */
export interface MetricsView {
  gate: { inFlight: number; queued: number; limit: number; level: number; meanMs: number };
  /** Hosts by the state of their target. */
  hosts: ReadonlyMap<string, number>;
  links: number;
  configVersion: number;
  /** Age of the configuration in force since it was taken, in seconds. */
  configAge: number;
  /** Requests without an answer at this ingress. */
  inFlight: number;
  /** Log lines left out since the start. */
  omittedLines: number;
}

/** Metrics of one daemon. */
export class MeshMetrics {
  private readonly _registry = new Registry();
  private readonly _requests = this._counter('requests_total', 'Requests that ended at this ingress', ['service', 'outcome', 'reason']);
  private readonly _seconds = new Histogram({
    name: 'gentiandrum_request_seconds',
    help: 'Time from the last byte of a request to its final answer',
    labelNames: ['service', 'outcome'],
    buckets: kLatencyBounds,
    registers: [this._registry],
  });
  private readonly _refusals = this._counter('gate_refusals_total', 'Calls that the gate of this host refused', ['reason']);
  private readonly _placements = this._counter('placements_total', 'Offers of calls by where the target stands', [
    'service',
    'place',
    'after_refusal',
  ]);
  private readonly _repeats = this._counter('gate_repeats_total', 'Repeats that the gate of this host let in', []);
  /** Children of metrics by their labels: hashing labels with each request costs a twentieth of the daemon's own time. */
  private readonly _ends = new Map<string, { requests: Counter.Internal; seconds: Histogram.Internal<string> }>();
  private readonly _placed = new Map<string, Counter.Internal>();
  private readonly _gauge = new Gauge({
    name: 'gentiandrum_state',
    help: 'State of the daemon, by name: see docs/OPERATIONS.md',
    labelNames: ['name'],
    registers: [this._registry],
  });

  constructor(
    zone: string,
    private readonly _view: () => MetricsView,
  ) {
    this._registry.setDefaultLabels({ zone });
  }

  /** Notes the end of a request; `reason` is one of a closed list. */
  requestEnded(service: string, outcome: RequestOutcome, reason: string, seconds: number): void {
    const key = `${service} ${outcome} ${reason}`;
    let end = this._ends.get(key);
    if (!end) {
      end = { requests: this._requests.labels({ service, outcome, reason }), seconds: this._seconds.labels({ service, outcome }) };
      this._ends.set(key, end);
    }
    end.requests.inc();
    end.seconds.observe(seconds);
  }

  /** Notes a call that the gate refused. */
  refused(reason: GateRefusal): void {
    this._refusals.inc({ reason });
  }

  /** Notes an offer of a call to a target; `afterRefusal` when an earlier one of the same request was refused or lost. */
  placed(service: string, place: 'own_host' | 'own_zone' | 'other_zone', afterRefusal: boolean): void {
    const key = `${service} ${place} ${afterRefusal}`;
    let placements = this._placed.get(key);
    if (!placements) {
      placements = this._placements.labels({ service, place, after_refusal: String(afterRefusal) });
      this._placed.set(key, placements);
    }
    placements.inc();
  }

  /** Notes a repeat that the gate let in. */
  repeated(): void {
    this._repeats.inc();
  }

  /** Totals since the start, for the regular line of the log. */
  async totals(): Promise<{ requests: Record<string, number>; placements: Record<string, number>; refusals: Record<string, number> }> {
    const [requests, placements, refusals] = await Promise.all([this._requests.get(), this._placements.get(), this._refusals.get()]);
    return {
      requests: sumBy(requests.values, ({ outcome }) => String(outcome)),
      placements: sumBy(placements.values, ({ place, after_refusal }) => `${place}${after_refusal === 'true' ? ' after a refusal' : ''}`),
      refusals: sumBy(refusals.values, ({ reason }) => String(reason)),
    };
  }

  /** Everything as text. */
  async text(): Promise<string> {
    const { gate, hosts, links, configVersion, configAge, inFlight, omittedLines } = this._view();
    const values: [string, number][] = [
      ['gate_in_flight', gate.inFlight],
      ['gate_queued', gate.queued],
      ['gate_limit', gate.limit],
      ['gate_level', gate.level],
      ['gate_mean_ms', gate.meanMs],
      ['links', links],
      ['config_version', configVersion],
      ['config_age_seconds', configAge],
      ['requests_in_flight', inFlight],
      ['log_lines_omitted', omittedLines],
      ...[...hosts].map(([state, count]): [string, number] => [`hosts_${state}`, count]),
    ];
    this._gauge.reset();
    values.forEach(([name, value]) => {
      this._gauge.set({ name }, value);
    });
    return this._registry.metrics();
  }

  private _counter<T extends string>(name: string, help: string, labelNames: T[]): Counter<T> {
    return new Counter({ name: `gentiandrum_${name}`, help, labelNames, registers: [this._registry] });
  }
}

interface LabelledValue {
  labels: Partial<Record<string, string | number>>;
  value: number;
}

function sumBy(values: readonly LabelledValue[], keyOf: (labels: LabelledValue['labels']) => string): Record<string, number> {
  const sums: Record<string, number> = {};
  for (const { labels, value } of values) {
    const key = keyOf(labels);
    sums[key] = (sums[key] ?? 0) + value;
  }
  return sums;
}
