/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Latency histogram of requests, in the format of the metrics library. */

import type { EntryResult } from '@gentiandrum/core';

/** Bucket bounds of the latency histogram, in seconds. */
export const kLatencyBounds = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/** Outcome of a request at the ingress. */
export type RequestOutcome = 'answered' | 'target_failed' | 'not_run' | 'lost' | 'timed_out' | Exclude<EntryResult['kind'], 'admitted'>;

/** Totals of the requests with the same labels. */
export interface RequestTotals {
  service: string;
  outcome: RequestOutcome;
  reason: string;
  count: number;
  /** Sum of the request durations, in seconds. */
  seconds: number;
  /** Number of requests per bucket, not cumulative; longer ones are only in `count`. */
  buckets: number[];
}

interface HistogramValue {
  metricName: string;
  labels: Record<string, string | number>;
  value: number;
}

/** Histogram in the format of the metrics library, built from request totals. */
export class LatencyMetric {
  readonly name = 'gentiandrum_request_seconds';
  readonly help = 'Time from the last byte of a request to its final answer';
  readonly type = 'histogram';
  readonly aggregator = 'sum';

  constructor(private readonly _totals: ReadonlyMap<string, RequestTotals>) {}

  /** Current values. */
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

  /** Does nothing: totals are kept until the process ends. */
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
