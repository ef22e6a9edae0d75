/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * What control costs a daemon: processor time, memory, bytes and appends, against members, configuration changes, claims
 * and calls. Real daemon processes on the loopback; their host names spread over seven zones in two regions.
 */

import { readFileSync } from 'node:fs';
import { Pool } from 'undici';
import { Fleet, type HostPlan } from '../../tests/support/fleet.js';
import { kSampleConfig } from '../../tests/support/sampleConfig.js';
import { Crowd } from './crowd.js';
import { fitLine, type Line } from './fit.js';

const kMembers = [4, 8, 16, 32, 64];
const kSmall = 8;
const kZones = 7;
const kSettleMs = 8_000;
const kMeasureMs = 10_000;
const kChangesPerSecond = [0, 1, 2];
const kClaimsPerSecond = [0, 20, 40, 80];
const kCallsPerSecond = [0, 50, 100, 200];
const kStartAtOnce = 8;
const kFullSize = 490;
const kCrowdChanges = [0, 2, 10];

interface Status {
  memoryBytes: number;
  heapBytes: number;
  cpuMs: number;
  control: { bytes: number; appends: number; reads: number; uptimeMs: number };
}

/** Means over the daemons of one measurement. */
interface Point {
  cpuShare: number;
  bytesPerSecond: number;
  appendsPerSecond: number;
  readsPerSecond: number;
  rssMb: number;
  heapMb: number;
  /** Memory that the process does not share with others, such as its program. */
  ownMb: number;
}

const kQuiet = { logLevel: 'warn' as const };

function plan(i: number, service?: string): HostPlan {
  const zone = i % kZones;
  return { id: `d${i}`, zone: `zone-${zone}`, region: zone < 4 ? 'one' : 'two', service, behaviour: { workMs: 1, slots: 200 } };
}

async function startFleet(size: number, service?: string, seeds?: string[]): Promise<Fleet> {
  const settings = seeds ? { ...kQuiet, seeds } : kQuiet;
  const fleet = await Fleet.start([plan(0, service)], settings);
  for (let i = 1; i < size; i += kStartAtOnce) {
    const group = Array.from({ length: Math.min(kStartAtOnce, size - i) }, (_, j) => fleet.startHost(plan(i + j, service), settings));
    await Promise.all(group);
  }
  const applied = await fleet.runCli(['apply', 'FILE', '--base', '0'], kSampleConfig);
  if (applied.code !== 0) {
    throw new Error(applied.err);
  }
  await fleet.untilVersion(1);
  await pause(kSettleMs);
  return fleet;
}

async function statuses(fleet: Fleet): Promise<Status[]> {
  return Promise.all(
    [...fleet.hosts.values()].map(async ({ address }) => (await (await fetch(`http://${address}/-/status`)).json()) as Status),
  );
}

/** Measures all daemons while `load` runs. */
async function measure(fleet: Fleet, load: () => Promise<unknown> = () => pause(kMeasureMs)): Promise<Point> {
  const before = await statuses(fleet);
  await load();
  const after = await statuses(fleet);
  const mean = (of: (b: Status, a: Status) => number): number => after.reduce((sum, a, i) => sum + of(before[i] ?? a, a), 0) / after.length;
  const rate = (of: (s: Status) => number): number => mean((b, a) => ((of(a) - of(b)) * 1_000) / (a.control.uptimeMs - b.control.uptimeMs));
  return {
    cpuShare: rate((s) => s.cpuMs) / 1_000,
    bytesPerSecond: rate((s) => s.control.bytes),
    appendsPerSecond: rate((s) => s.control.appends),
    readsPerSecond: rate((s) => s.control.reads),
    rssMb: mean((_, a) => a.memoryBytes) / 1_048_576,
    heapMb: mean((_, a) => a.heapBytes) / 1_048_576,
    ownMb: meanOwnMb(fleet),
  };
}

/** Anonymous memory of the daemons, from the kernel's own count. */
function meanOwnMb(fleet: Fleet): number {
  const sizes = [...fleet.hosts.values()].map(({ daemon }) => {
    const text = readFileSync(`/proc/${daemon.pid ?? 0}/status`, 'utf8');
    return Number(/^RssAnon:\s+(\d+) kB/m.exec(text)?.[1] ?? 0) / 1_024;
  });
  return sizes.reduce((a, b) => a + b, 0) / sizes.length;
}

async function byMembers(): Promise<[number, Point][]> {
  const points: [number, Point][] = [];
  for (const size of kMembers) {
    const fleet = await startFleet(size);
    try {
      points.push([size, await measure(fleet)]);
      show(`${size} members, at rest`, points.at(-1)?.[1]);
    } finally {
      fleet.stop();
    }
  }
  return points;
}

/** A few real daemons in a crowd of 490 members, at rest and with records changing. */
async function inCrowd(): Promise<[number, Point][]> {
  const points: [number, Point][] = [];
  const crowd = new Crowd(kFullSize - kSmall);
  const fleet = await startFleet(kSmall, 'beta', [await crowd.listen()]);
  const addresses = [...fleet.hosts.values()].map(({ address }) => address);
  for (const changes of kCrowdChanges) {
    crowd.start(addresses, changes);
    await pause(kSettleMs);
    points.push([changes, await measure(fleet)]);
    show(`${kFullSize} members of which ${kSmall} are real, ${changes} records changed a second`, points.at(-1)?.[1]);
    crowd.pause();
  }
  await crowd.close();
  fleet.stop();
  return points;
}

async function byChanges(fleet: Fleet): Promise<{ points: [number, Point][]; inForceMs: number[] }> {
  const points: [number, Point][] = [];
  const inForceMs: number[] = [];
  let version = (await fleet.status('d0')).version;
  for (const perSecond of kChangesPerSecond) {
    const load = async (): Promise<void> => {
      const end = performance.now() + kMeasureMs;
      while (performance.now() < end) {
        if (perSecond === 0) {
          await pause(kMeasureMs);
        } else {
          const startedAt = performance.now();
          version = await change(fleet, version);
          await fleet.untilVersion(version);
          inForceMs.push(performance.now() - startedAt);
          await pause(1_000 / perSecond - (performance.now() - startedAt));
        }
      }
    };
    points.push([perSecond, await measure(fleet, load)]);
    show(`${perSecond} changes/s, ${kSmall} members`, points.at(-1)?.[1]);
  }
  return { points, inForceMs };
}

async function change(fleet: Fleet, base: number): Promise<number> {
  const body = JSON.stringify({ patchId: `bench-${base}-${Date.now()}`, base, author: 'bench', patch: { retryRatio: (base % 50) / 100 } });
  const res = await fetch(`http://${fleet.host('d0').address}/-/patches`, { method: 'POST', body });
  return ((await res.json()) as { version: number }).version;
}

async function byCalls(
  fleet: Fleet,
  rates: number[],
  headers: (i: number) => Record<string, string>,
  what: string,
): Promise<[number, Point][]> {
  const points: [number, Point][] = [];
  const pools = [...fleet.hosts.values()].map(({ address }) => new Pool(`http://${address}`, { connections: 16 }));
  let calls = 0;
  for (const perSecond of rates) {
    const load = async (): Promise<void> => {
      const pending: Promise<unknown>[] = [];
      const startedAt = performance.now();
      for (let i = 0; i < (perSecond * kMeasureMs) / 1_000; i++) {
        await pause(startedAt + (i * 1_000) / perSecond - performance.now());
        const pool = pools[calls % pools.length];
        const req = pool?.request({ method: 'POST', path: '/beta/holds', headers: headers(calls++) });
        pending.push(req?.then((res) => res.body.dump()).catch(() => undefined) ?? Promise.resolve());
      }
      await Promise.all(pending);
      await pause(kMeasureMs - (performance.now() - startedAt));
    };
    points.push([perSecond, await measure(fleet, load)]);
    show(`${perSecond} ${what}/s over ${kSmall} members`, points.at(-1)?.[1]);
  }
  await Promise.all(pools.map((pool) => pool.destroy()));
  return points;
}

function slope(points: [number, Point][], of: (point: Point) => number): Line {
  return fitLine(points.map(([x, point]) => [x, of(point)]));
}

function show(what: string, point: Point | undefined): void {
  if (point) {
    const { cpuShare, bytesPerSecond, appendsPerSecond, readsPerSecond, rssMb, heapMb, ownMb } = point;
    const text = [`cpu ${(cpuShare * 100).toFixed(2)} %`, `${bytesPerSecond.toFixed(0)} B/s`, `${appendsPerSecond.toFixed(2)} appends/s`];
    const more = [
      `${readsPerSecond.toFixed(2)} reads/s`,
      `rss ${rssMb.toFixed(1)} MB`,
      `own ${ownMb.toFixed(1)} MB`,
      `heap ${heapMb.toFixed(1)} MB`,
    ];
    console.log(`${what}: a daemon spends ${[...text, ...more].join(', ')}`);
  }
}

function pause(ms: number): Promise<void> {
  return ms > 0 ? new Promise((resolve) => setTimeout(resolve, ms)) : Promise.resolve();
}

function lines(points: [number, Point][]): Record<string, Line> {
  return {
    cpuShare: slope(points, (p) => p.cpuShare),
    bytesPerSecond: slope(points, (p) => p.bytesPerSecond),
    appendsPerSecond: slope(points, (p) => p.appendsPerSecond),
    readsPerSecond: slope(points, (p) => p.readsPerSecond),
    ownMb: slope(points, (p) => p.ownMb),
    rssMb: slope(points, (p) => p.rssMb),
    heapMb: slope(points, (p) => p.heapMb),
  };
}

/** Parts that the command line names; all when it names none. */
const kParts = ['members', 'load', 'crowd'] as const;
const wanted = kParts.filter((part) => process.argv.length < 3 || process.argv.includes(part));
const result: Record<string, unknown> = {};
if (wanted.includes('members')) {
  result.members = lines(await byMembers());
}
if (wanted.includes('load')) {
  const fleet = await startFleet(kSmall, 'beta');
  const { points, inForceMs } = await byChanges(fleet);
  const sorted = [...inForceMs].sort((a, b) => a - b);
  result.changes = lines(points);
  result.inForceMs = { changes: sorted.length, median: sorted[Math.floor(sorted.length / 2)], worst: sorted.at(-1) };
  result.calls = lines(await byCalls(fleet, kCallsPerSecond, () => ({}), 'calls'));
  result.claims = lines(await byCalls(fleet, kClaimsPerSecond, (i) => ({ 'idempotency-key': `bench-${i}` }), 'claimed calls'));
  fleet.stop();
}
if (wanted.includes('crowd')) {
  result.crowd = lines(await inCrowd());
}
console.log(JSON.stringify(result));
process.exit(0);
