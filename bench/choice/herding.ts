/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Compares the ways to choose a target where many ingresses receive the same figures late: utilisation of the busiest target, completion
 * times and calls between zones. Runs in virtual time from fixed seeds, without a network.
 */

import { type ChoiceStrategy, Placement, type PlacedCallResult, seededRandom, type TargetRecord } from '@gentiandrum/core';
import { VirtualTime } from '../../tests/support/virtualTime.js';

const kSeeds = [3, 17, 29, 41, 53, 67, 71, 83];
const kLoads = [0.6, 0.85];
const kStrategies: ChoiceStrategy[] = ['mean', 'speed'];
const kZones = 4;
const kIngresses = 60;
const kTargets = 30;
const kSlots = 10;
const kWorkMs = 40;
const kMinSpeed = 0.5;
const kMaxSpeed = 1.6;
/** Interval of a slowness, its value in a random share of the intervals, and that share. */
const kSlownessMs = 600;
const kSlowFactor = 2.5;
const kSlowShare = 0.15;
/** Age of the figures in a response, and the interval of their samples, in milliseconds. */
const kMinReportAgeMs = 50;
const kMaxReportAgeMs = 500;
const kSampleMs = 25;
const kWarmUpMs = 3_000;
const kRunMs = 15_000;
const kZoneRoundTripMs = 3;
const kRoute = { name: 'search', latencyTargetMs: 200 };
const kNone: ReadonlySet<string> = new Set();

type Report = NonNullable<PlacedCallResult['load']>;

/** Target with a queue whose speed varies. */
class SimulatedTarget {
  calls = 0;
  private _inFlight = 0;
  private readonly _queue: (() => void)[] = [];
  private _slowness = 1;
  private readonly _reports: Report[] = [];
  private _speedSum = 0;

  constructor(
    readonly record: TargetRecord,
    private readonly _speed: number,
    private readonly _time: VirtualTime,
    private readonly _random: () => number,
  ) {
    this._changeSlowness();
    this._sample();
  }

  /** Work per millisecond that the target was able to do on average. */
  get capacity(): number {
    return (kSlots * this._speedSum) / this._reports.length;
  }

  run(done: () => void): void {
    if (this._inFlight >= kSlots) {
      this._queue.push(() => {
        this.run(done);
      });
      return;
    }
    this._inFlight++;
    const workMs = kWorkMs * (0.5 + this._random());
    this._time.after((workMs * this._slowness) / this._speed, () => {
      this._inFlight--;
      done();
      this._queue.shift()?.();
    });
  }

  /** Figures of a random age. */
  get lateReport(): Report {
    const ageMs = kMinReportAgeMs + this._random() * (kMaxReportAgeMs - kMinReportAgeMs);
    const index = Math.max(0, this._reports.length - 1 - Math.round(ageMs / kSampleMs));
    return this._reports[index] ?? { inFlight: 0, queued: 0, limit: kSlots, meanMs: kWorkMs };
  }

  private _changeSlowness(): void {
    this._slowness = this._random() < kSlowShare ? kSlowFactor : 1;
    this._time.after(kSlownessMs, () => {
      this._changeSlowness();
    });
  }

  private _sample(): void {
    const meanMs = kWorkMs / this._speed;
    this._reports.push({ inFlight: this._inFlight, queued: this._queue.length, limit: kSlots, meanMs, slowness: this._slowness * 100 });
    this._speedSum += this._speed / this._slowness;
    this._time.after(kSampleMs, () => {
      this._sample();
    });
  }
}

interface Outcome {
  busiest: number;
  p50: number;
  p99: number;
  otherZone: number;
}

function makeTargets(time: VirtualTime, random: () => number): SimulatedTarget[] {
  return Array.from({ length: kTargets }, (_, i) => {
    const zone = `zone-${i % kZones}`;
    const record: TargetRecord = {
      ...{ host: `target-${i}`, zone, peers: '', service: 'search', instance: `i-${i}`, state: 'ready' },
      ...{ slots: kSlots, epoch: 1, revision: 1 },
    };
    // The speeds are spread alike in each zone, so that calls have no need to leave it.
    const inZone = Math.ceil((kTargets - (i % kZones)) / kZones);
    const speed = kMinSpeed + ((kMaxSpeed - kMinSpeed) * (Math.floor(i / kZones) + random())) / inZone;
    return new SimulatedTarget(record, speed, time, seededRandom(i + 1_000));
  });
}

/** Sends calls from all ingresses at random intervals. */
function simulate(strategy: ChoiceStrategy, load: number, seed: number): Outcome {
  const time = new VirtualTime();
  try {
    const random = seededRandom(seed);
    const targets = makeTargets(time, random);
    const byHost = new Map(targets.map((target) => [target.record.host, target]));
    const candidates = targets.map(({ record }) => record);
    const durations: number[] = [];
    let otherZone = 0;
    const intervalMs = (kIngresses * kWorkMs) / (load * expectedCapacity());
    const send = (placement: Placement, zone: string): void => {
      time.after(-Math.log(1 - random()) * intervalMs, () => {
        send(placement, zone);
      });
      const record = placement.choose(candidates, kNone, kRoute);
      const target = record && byHost.get(record.host);
      if (!record || !target) {
        return;
      }
      const sentAt = time.now;
      const counted = sentAt >= kWarmUpMs;
      const roundTripMs = record.zone === zone ? 1 : kZoneRoundTripMs;
      target.calls += counted ? 1 : 0;
      otherZone += counted && record.zone !== zone ? 1 : 0;
      placement.recordSent(record.host);
      target.run(() => {
        time.after(roundTripMs, () => {
          const tookMs = time.now - sentAt;
          placement.recordResult(record.host, kRoute.name, { load: target.lateReport, tookMs, failed: false });
          if (counted) {
            durations.push(tookMs);
          }
        });
      });
    };
    for (let i = 0; i < kIngresses; i++) {
      const zone = `zone-${i % kZones}`;
      send(new Placement(`ingress-${i}`, zone, random, strategy), zone);
    }
    time.runUntil(kWarmUpMs + kRunMs);
    return { busiest: busiestOverMean(targets), ...percentiles(durations), otherZone: otherZone / durations.length };
  } finally {
    time.restore();
  }
}

/** Capacity of all targets on average, in work per millisecond. */
function expectedCapacity(): number {
  const meanSpeed = ((kMinSpeed + kMaxSpeed) / 2) * (1 - kSlowShare + kSlowShare / kSlowFactor);
  return kTargets * kSlots * meanSpeed;
}

function busiestOverMean(targets: readonly SimulatedTarget[]): number {
  const calls = targets.reduce((sum, target) => sum + target.calls, 0);
  const capacity = targets.reduce((sum, target) => sum + target.capacity, 0);
  return Math.max(...targets.map((target) => target.calls / target.capacity)) / (calls / capacity);
}

function percentiles(durations: number[]): { p50: number; p99: number } {
  const sorted = durations.sort((a, b) => a - b);
  return { p50: sorted[Math.floor(sorted.length * 0.5)] ?? 0, p99: sorted[Math.floor(sorted.length * 0.99)] ?? 0 };
}

const rows = kLoads.flatMap((load) =>
  kSeeds.flatMap((seed) =>
    kStrategies.map((strategy) => {
      const { busiest, p50, p99, otherZone } = simulate(strategy, load, seed);
      const share = `${(otherZone * 100).toFixed(2)}%`;
      return { load, seed, strategy, 'busiest / mean': busiest.toFixed(2), 'p50, ms': p50, 'p99, ms': p99, 'to other zones': share };
    }),
  ),
);
console.table(rows);
