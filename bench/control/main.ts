/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Measures the control overhead of a daemon (CPU time, memory, control bytes, log appends and reads) by the number of members, and
 * by the rates of configuration changes, claims and calls. Runs real daemon processes on the loopback interface, in seven zones and
 * two regions.
 */

import { readFileSync } from 'node:fs';
import { Pool } from 'undici';
import { Fleet, type HostPlan } from '../../tests/support/fleet.js';
import { kSampleConfig } from '../../tests/support/sampleConfig.js';
import { SimulatedMembers } from './simulatedMembers.js';
import { fitLine, type LinearFit } from './fit.js';

const kFleetSizes = [4, 8, 16, 32, 64];
const kSmallFleetSize = 8;
const kZones = 7;
const kSettleMs = 8_000;
const kMeasureMs = 10_000;
const kConfigChangesPerSecond = [0, 1, 2];
const kClaimsPerSecond = [0, 20, 40, 80];
const kCallsPerSecond = [0, 50, 100, 200];
const kStartConcurrency = 8;
const kFullMemberCount = 490;
const kRecordChangesPerSecond = [0, 2, 10];

interface Status {
  memoryBytes: number;
  heapBytes: number;
  cpuMs: number;
  control: { bytes: number; appends: number; reads: number; uptimeMs: number };
}

/** One measurement, as means over the daemons. */
interface Measurement {
  cpuShare: number;
  bytesPerSecond: number;
  appendsPerSecond: number;
  readsPerSecond: number;
  rssMb: number;
  heapMb: number;
  /** Anonymous resident memory, which excludes mapped files such as the program. */
  ownMb: number;
}

const kLogSettings = { logLevel: 'warn' as const };

function hostPlan(i: number, service?: string): HostPlan {
  const zone = i % kZones;
  return { id: `d${i}`, zone: `zone-${zone}`, region: zone < 4 ? 'one' : 'two', service, behaviour: { workMs: 1, slots: 200 } };
}

async function startFleet(size: number, service?: string, seeds?: string[]): Promise<Fleet> {
  const settings = seeds ? { ...kLogSettings, seeds } : kLogSettings;
  const fleet = await Fleet.start([hostPlan(0, service)], settings);
  for (let i = 1; i < size; i += kStartConcurrency) {
    const group = Array.from({ length: Math.min(kStartConcurrency, size - i) }, (_, j) =>
      fleet.startHost(hostPlan(i + j, service), settings),
    );
    await Promise.all(group);
  }
  const applied = await fleet.runCli(['apply', 'FILE', '--base', '0'], kSampleConfig);
  if (applied.code !== 0) {
    throw new Error(applied.err);
  }
  await fleet.untilVersion(1);
  await sleep(kSettleMs);
  return fleet;
}

async function fetchStatuses(fleet: Fleet): Promise<Status[]> {
  return Promise.all(
    [...fleet.hosts.values()].map(async ({ address }) => (await (await fetch(`http://${address}/-/status`)).json()) as Status),
  );
}

/** Measures all daemons while `load` runs. */
async function measure(fleet: Fleet, load: () => Promise<unknown> = () => sleep(kMeasureMs)): Promise<Measurement> {
  const before = await fetchStatuses(fleet);
  await load();
  const after = await fetchStatuses(fleet);
  const mean = (of: (b: Status, a: Status) => number): number => after.reduce((sum, a, i) => sum + of(before[i] ?? a, a), 0) / after.length;
  const rate = (of: (s: Status) => number): number => mean((b, a) => ((of(a) - of(b)) * 1_000) / (a.control.uptimeMs - b.control.uptimeMs));
  return {
    cpuShare: rate((s) => s.cpuMs) / 1_000,
    bytesPerSecond: rate((s) => s.control.bytes),
    appendsPerSecond: rate((s) => s.control.appends),
    readsPerSecond: rate((s) => s.control.reads),
    rssMb: mean((_, a) => a.memoryBytes) / 1_048_576,
    heapMb: mean((_, a) => a.heapBytes) / 1_048_576,
    ownMb: meanAnonymousMb(fleet),
  };
}

/** Mean anonymous resident memory of the daemons, in MB, as the kernel reports it. */
function meanAnonymousMb(fleet: Fleet): number {
  const sizes = [...fleet.hosts.values()].map(({ daemon }) => {
    const text = readFileSync(`/proc/${daemon.pid ?? 0}/status`, 'utf8');
    return Number(/^RssAnon:\s+(\d+) kB/m.exec(text)?.[1] ?? 0) / 1_024;
  });
  return sizes.reduce((a, b) => a + b, 0) / sizes.length;
}

async function measureByMembers(): Promise<[number, Measurement][]> {
  const points: [number, Measurement][] = [];
  for (const size of kFleetSizes) {
    const fleet = await startFleet(size);
    try {
      points.push([size, await measure(fleet)]);
      printMeasurement(`${size} members, idle`, points.at(-1)?.[1]);
    } finally {
      fleet.stop();
    }
  }
  return points;
}

/** Measures a few real daemons among simulated members, at several rates of record changes. */
async function measureAtFullSize(): Promise<[number, Measurement][]> {
  const points: [number, Measurement][] = [];
  const simulatedMembers = new SimulatedMembers(kFullMemberCount - kSmallFleetSize);
  const fleet = await startFleet(kSmallFleetSize, 'beta', [await simulatedMembers.listen()]);
  const addresses = [...fleet.hosts.values()].map(({ address }) => address);
  for (const changes of kRecordChangesPerSecond) {
    simulatedMembers.startPinging(addresses, changes);
    await sleep(kSettleMs);
    points.push([changes, await measure(fleet)]);
    printMeasurement(
      `${kFullMemberCount} members of which ${kSmallFleetSize} are real, ${changes} records changed a second`,
      points.at(-1)?.[1],
    );
    simulatedMembers.stopPinging();
  }
  await simulatedMembers.close();
  fleet.stop();
  return points;
}

async function measureByConfigChanges(fleet: Fleet): Promise<{ points: [number, Measurement][]; inForceMs: number[] }> {
  const points: [number, Measurement][] = [];
  const inForceMs: number[] = [];
  let version = (await fleet.status('d0')).version;
  for (const perSecond of kConfigChangesPerSecond) {
    const load = async (): Promise<void> => {
      const end = performance.now() + kMeasureMs;
      while (performance.now() < end) {
        if (perSecond === 0) {
          await sleep(kMeasureMs);
        } else {
          const startedAt = performance.now();
          version = await applyConfigChange(fleet, version);
          await fleet.untilVersion(version);
          inForceMs.push(performance.now() - startedAt);
          await sleep(1_000 / perSecond - (performance.now() - startedAt));
        }
      }
    };
    points.push([perSecond, await measure(fleet, load)]);
    printMeasurement(`${perSecond} changes/s, ${kSmallFleetSize} members`, points.at(-1)?.[1]);
  }
  return { points, inForceMs };
}

async function applyConfigChange(fleet: Fleet, base: number): Promise<number> {
  const body = JSON.stringify({ patchId: `bench-${base}-${Date.now()}`, base, author: 'bench', patch: { retryRatio: (base % 50) / 100 } });
  const res = await fetch(`http://${fleet.host('d0').address}/-/patches`, { method: 'POST', body });
  return ((await res.json()) as { version: number }).version;
}

async function measureByCalls(
  fleet: Fleet,
  rates: number[],
  headers: (i: number) => Record<string, string>,
  what: string,
): Promise<[number, Measurement][]> {
  const points: [number, Measurement][] = [];
  const pools = [...fleet.hosts.values()].map(({ address }) => new Pool(`http://${address}`, { connections: 16 }));
  let calls = 0;
  for (const perSecond of rates) {
    const load = async (): Promise<void> => {
      const pending: Promise<unknown>[] = [];
      const startedAt = performance.now();
      for (let i = 0; i < (perSecond * kMeasureMs) / 1_000; i++) {
        await sleep(startedAt + (i * 1_000) / perSecond - performance.now());
        const pool = pools[calls % pools.length];
        const req = pool?.request({ method: 'POST', path: '/beta/holds', headers: headers(calls++) });
        pending.push(req?.then((res) => res.body.dump()).catch(() => undefined) ?? Promise.resolve());
      }
      await Promise.all(pending);
      await sleep(kMeasureMs - (performance.now() - startedAt));
    };
    points.push([perSecond, await measure(fleet, load)]);
    printMeasurement(`${perSecond} ${what}/s over ${kSmallFleetSize} members`, points.at(-1)?.[1]);
  }
  await Promise.all(pools.map((pool) => pool.destroy()));
  return points;
}

function fitSlope(points: [number, Measurement][], of: (point: Measurement) => number): LinearFit {
  return fitLine(points.map(([x, point]) => [x, of(point)]));
}

function printMeasurement(what: string, point: Measurement | undefined): void {
  if (point) {
    const { cpuShare, bytesPerSecond, appendsPerSecond, readsPerSecond, rssMb, heapMb, ownMb } = point;
    const text = [`cpu ${(cpuShare * 100).toFixed(2)} %`, `${bytesPerSecond.toFixed(0)} B/s`, `${appendsPerSecond.toFixed(2)} appends/s`];
    const more = [
      `${readsPerSecond.toFixed(2)} reads/s`,
      `rss ${rssMb.toFixed(1)} MB`,
      `own ${ownMb.toFixed(1)} MB`,
      `heap ${heapMb.toFixed(1)} MB`,
    ];
    console.log(`${what}: a daemon uses ${[...text, ...more].join(', ')}`);
  }
}

function sleep(ms: number): Promise<void> {
  return ms > 0 ? new Promise((resolve) => setTimeout(resolve, ms)) : Promise.resolve();
}

function fitAll(points: [number, Measurement][]): Record<string, LinearFit> {
  return {
    cpuShare: fitSlope(points, (p) => p.cpuShare),
    bytesPerSecond: fitSlope(points, (p) => p.bytesPerSecond),
    appendsPerSecond: fitSlope(points, (p) => p.appendsPerSecond),
    readsPerSecond: fitSlope(points, (p) => p.readsPerSecond),
    ownMb: fitSlope(points, (p) => p.ownMb),
    rssMb: fitSlope(points, (p) => p.rssMb),
    heapMb: fitSlope(points, (p) => p.heapMb),
  };
}

/** Parts that the command line selects; all when it names none. */
const kParts = ['members', 'load', 'crowd'] as const;
const selectedParts = kParts.filter((part) => process.argv.length < 3 || process.argv.includes(part));
const result: Record<string, unknown> = {};
if (selectedParts.includes('members')) {
  result.members = fitAll(await measureByMembers());
}
if (selectedParts.includes('load')) {
  const fleet = await startFleet(kSmallFleetSize, 'beta');
  const { points, inForceMs } = await measureByConfigChanges(fleet);
  const sorted = [...inForceMs].sort((a, b) => a - b);
  result.changes = fitAll(points);
  result.inForceMs = { changes: sorted.length, median: sorted[Math.floor(sorted.length / 2)], worst: sorted.at(-1) };
  result.calls = fitAll(await measureByCalls(fleet, kCallsPerSecond, () => ({}), 'calls'));
  result.claims = fitAll(await measureByCalls(fleet, kClaimsPerSecond, (i) => ({ 'idempotency-key': `bench-${i}` }), 'claimed calls'));
  fleet.stop();
}
if (selectedParts.includes('crowd')) {
  result.crowd = fitAll(await measureAtFullSize());
}
console.log(JSON.stringify(result));
process.exit(0);
