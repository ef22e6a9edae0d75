/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Latency histogram of requests, in the form that the metrics library serves. */

import type { EntryEnd } from '@gentiandrum/core';

/** Bounds of the latency histogram, in seconds: from a call on the same host to the longest limits of routes. */
export const kLatencyBounds = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/** How a request ended at the ingress. */
export type RequestOutcome = 'answered' | 'target_failed' | 'not_run' | 'lost' | 'timed_out' | Exclude<EntryEnd['kind'], 'admitted'>;

/** Requests that ended alike. */
export interface RequestTotals {
  service: string;
  outcome: RequestOutcome;
  reason: string;
  count: number;
  /** Sum of the times. */
  seconds: number;
  /** Requests by the least bound of the histogram that holds their time. */
  buckets: number[];
}

interface HistogramValue {
  metricName: string;
  labels: Record<string, string | number>;
  value: number;
}

/** Latency histogram in the library's form, from the ends that were noted. */
export class LatencyMetric {
  readonly name = 'gentiandrum_request_seconds';
  readonly help = 'Time from the last byte of a request to its final answer';
  readonly type = 'histogram';
  readonly aggregator = 'sum';

  constructor(private readonly _totals: ReadonlyMap<string, RequestTotals>) {}

  /** The values as of now. */
  get(): Promise<object> {
    const { name, help, type, aggregator } = this;
    return Promise.resolve({
      name,
      help,
      type,
      aggregator,
      values: [...this._totals.values()].flatMap((totals) => this._toValues(totals)),
    });
  }

  /** The ends are never forgotten. */
  reset(): void {
    return undefined;
  }

  private _toValues({ service, outcome, reason, count, seconds, buckets }: RequestTotals): HistogramValue[] {
    const labels = { service, outcome, reason };
    let cumulative = 0;
    const bounded = kLatencyBounds.map((bound, i) => {
      cumulative += buckets[i] ?? 0;
      return { metricName: `${this.name}_bucket`, labels: { ...labels, le: bound }, value: cumulative };
    });
    return [
      ...bounded,
      { metricName: `${this.name}_bucket`, labels: { ...labels, le: '+Inf' }, value: count },
      { metricName: `${this.name}_sum`, labels, value: seconds },
      { metricName: `${this.name}_count`, labels, value: count },
    ];
  }
}
