/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Open-loop load generator: calls start on schedule, however long earlier calls take. */

import { build, type Histogram } from 'hdr-histogram-js';

const kMicrosPerMs = 1_000;

/** Latencies of one run, in milliseconds. */
export interface Latencies {
  count: number;
  failed: number;
  p50: number;
  p99: number;
}

/** Runs several loads interleaved, so that all are subject to the same noise. A call fails when it rejects or resolves to false. */
export async function runInterleaved(
  loads: Record<string, () => Promise<boolean>>,
  perSecond: number,
  seconds: number,
): Promise<Record<string, Latencies>> {
  const names = Object.keys(loads);
  const runs = await Promise.all(
    names.map((name, i) => runLoad(loads[name] ?? (() => Promise.resolve(false)), perSecond, seconds, i / names.length)),
  );
  return Object.fromEntries(names.map((name, i) => [name, runs[i] ?? { count: 0, failed: 0, p50: 0, p99: 0 }]));
}

async function runLoad(call: () => Promise<boolean>, perSecond: number, seconds: number, phase: number): Promise<Latencies> {
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });
  const intervalMs = 1_000 / perSecond;
  const total = perSecond * seconds;
  const startedAt = performance.now() + phase * intervalMs;
  const pending: Promise<void>[] = [];
  let failed = 0;
  for (let i = 0; i < total; i++) {
    const scheduledAt = startedAt + i * intervalMs;
    const waitMs = scheduledAt - performance.now();
    if (waitMs > 0.5) {
      await new Promise((resolve) => setTimeout(resolve, waitMs));
    }
    pending.push(
      timeCall(call, histogram).then((ok) => {
        failed += ok ? 0 : 1;
      }),
    );
  }
  await Promise.all(pending);
  return {
    count: total,
    failed,
    p50: histogram.getValueAtPercentile(50) / kMicrosPerMs,
    p99: histogram.getValueAtPercentile(99) / kMicrosPerMs,
  };
}

async function timeCall(call: () => Promise<boolean>, histogram: Histogram): Promise<boolean> {
  const startedAt = performance.now();
  const ok = await call().catch(() => false);
  histogram.recordValue(Math.max(1, Math.round((performance.now() - startedAt) * kMicrosPerMs)));
  return ok;
}
