/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Quotas over many daemons: seeded histories of partitions, restarts, freezes, host changes and lowered limits, with a simulated network.
 * Guards against more runs in any window than the bound allows, and against fewer served requests than with a single bucket.
 */

import {
  QuotaClient,
  type QuotaCounting,
  TokenBucket,
  type QuotaResult,
  type QuotaHost,
  type QuotaLimits,
  QuotaOwner,
  seededRandom,
  type TokenResponse,
  type TokenRequest,
} from '@gentiandrum/core';
import { describe, it } from '../support/describe.js';

const kSettings = { windowSeconds: 5, overage: 0.1, slack: 20 };
const kWindowMs = kSettings.windowSeconds * 1_000;
const kZones = 5;
const kDaemons = 60;
const kResponseTimeoutMs = 100;
/** Maximum time until daemons receive a change of hosts, and until they apply a version, without faults, in milliseconds. */
const kUpdateMs = 300;
const kApplyMs = 2_500;
/** Margin for the wall clock in the time since the previous start of a daemon, in milliseconds. */
const kRestartMarginMs = 1_000;

interface Load {
  usualPerSecond: number;
  /** Multiple of the usual load at a time in milliseconds. */
  times: (now: number) => number;
  untilMs: number;
  counting: QuotaCounting;
  /** Probability that a request enters at a daemon of a zone, relative to others; equal for all zones where absent. */
  zoneWeight?: (zone: string, now: number) => number;
}

interface HistoryResult {
  arrivals: number;
  served: number;
  /** Requests that a single bucket would have served of the same arrivals. */
  reference: number;
  /** Requests that the quota allows in every window, by a single count of the same arrivals. */
  allowed: number;
  /** Maximum number of runs in a window, as a share of the bound. */
  fullest: number;
  tokenRequests: number;
}

class Daemon {
  client: QuotaClient;
  owner: QuotaOwner;
  startedAt = 0;
  downUntil = 0;
  frozenUntil = 0;
  partitionedUntil = 0;
  hosts: QuotaHost[];
  revision = 1;
  limits: QuotaLimits;
  version = 1;

  constructor(
    readonly at: QuotaHost,
    private readonly _world: World,
  ) {
    this.hosts = _world.hosts;
    this.limits = _world.limits;
    this.client = this._createClient();
    this.owner = new QuotaOwner(kSettings, 0, _world.counting);
    this.owner.startWithReserve();
  }

  restart(now: number, downMs: number): void {
    const before = this.startedAt;
    this.downUntil = now + downMs;
    this.startedAt = this.downUntil;
    this.client = this._createClient();
    this.owner = new QuotaOwner(kSettings, this.downUntil, this._world.counting);
    if (this.startedAt - before > kWindowMs + kRestartMarginMs) {
      this.owner.startWithReserve();
    }
  }

  updateHosts(hosts: QuotaHost[]): void {
    this.hosts = hosts;
    this.revision++;
    this.owner.membersChanged(this._world.now);
  }

  grant(): TokenResponse {
    const share = this.client.shareOf('w', this.limits, this.at.host);
    return this.owner.take('w', share, this.limits, this.version, this._world.now);
  }

  private _createClient(): QuotaClient {
    const view = (): Daemon => this;
    return new QuotaClient(
      this.at,
      {
        get revision() {
          return view().revision;
        },
        hosts: () => this.hosts,
      },
      kSettings,
      () => this._world.now,
    );
  }
}

/** Discrete-event simulation of the fleet. */
class World {
  now = 0;
  hosts: QuotaHost[];
  readonly daemons = new Map<string, Daemon>();
  readonly runs: { at: number; sentAt: number }[] = [];
  tokenRequests = 0;
  arrivals = 0;
  private _events: { at: number; run: () => void }[] = [];

  constructor(
    readonly random: () => number,
    public limits: QuotaLimits,
    readonly counting: QuotaCounting,
  ) {
    this.hosts = Array.from({ length: kDaemons }, (_, i) => ({ host: `h${i}`, zone: `z${i % kZones}` }));
    for (const host of this.hosts) {
      this.daemons.set(host.host, new Daemon(host, this));
    }
  }

  after(ms: number, run: () => void): void {
    const event = { at: this.now + ms, run };
    let low = 0;
    let high = this._events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this._events[middle]?.at ?? 0) > event.at) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    this._events.splice(low, 0, event);
  }

  runUntil(until: number): void {
    for (let next = this._events.at(-1); next && next.at <= until; next = this._events.at(-1)) {
      this._events.pop();
      this.now = next.at;
      next.run();
    }
    this.now = until;
  }

  /** Whether messages are delivered between two daemons. */
  linked(a: Daemon, b: Daemon): boolean {
    const up = (daemon: Daemon): boolean =>
      this.now >= daemon.downUntil && this.now >= daemon.partitionedUntil && this.now >= daemon.frozenUntil;
    return up(a) && up(b) && (a.at.zone === b.at.zone || (!this.isZonePartitioned(a.at.zone) && !this.isZonePartitioned(b.at.zone)));
  }

  readonly zonePartitions = new Map<string, number>();

  isZonePartitioned(zone: string): boolean {
    return this.now < (this.zonePartitions.get(zone) ?? 0);
  }

  request(daemon: Daemon): void {
    this.arrivals++;
    const sentAt = this.now;
    if (this.now < daemon.downUntil) {
      return;
    }
    const begin = (): void => {
      const procedure = daemon.client.take('w', daemon.limits);
      this._advance(daemon, daemon.startedAt, sentAt, procedure, procedure.next());
    };
    this.after(Math.max(0, daemon.frozenUntil - this.now), begin);
  }

  private _advance(
    daemon: Daemon,
    startedAt: number,
    sentAt: number,
    procedure: Generator<TokenRequest, QuotaResult, TokenResponse>,
    step: IteratorResult<TokenRequest, QuotaResult>,
  ): void {
    if (daemon.startedAt !== startedAt) {
      return;
    }
    if (step.done === true) {
      if (step.value.kind === 'granted') {
        this.runs.push({ at: this.now, sentAt });
      }
      return;
    }
    this.tokenRequests++;
    const resume = (response: TokenResponse, ms: number): void => {
      this.after(Math.max(ms, daemon.frozenUntil - this.now), () => {
        this._advance(daemon, startedAt, sentAt, procedure, procedure.next(response));
      });
    };
    const owner = this.daemons.get(step.value.share.host);
    if (owner === daemon) {
      resume(daemon.grant(), 0);
    } else if (!owner || !this.linked(daemon, owner)) {
      resume('no_answer', kResponseTimeoutMs);
    } else {
      const hopMs = owner.at.zone === daemon.at.zone ? 0.5 : 1;
      this.after(hopMs, () => {
        const response = owner.grant();
        // A granted token stays taken even if the response is lost.
        resume(this.linked(daemon, owner) ? response : 'no_answer', this.linked(daemon, owner) ? hopMs : kResponseTimeoutMs);
      });
    }
  }
}

function scheduleArrivals(world: World, load: Load, done: number[]): void {
  const schedule = (): void => {
    const perMs = (load.usualPerSecond * load.times(world.now)) / 1_000;
    world.after(-Math.log(1 - world.random()) / perMs, () => {
      if (world.now < load.untilMs) {
        const hosts = [...world.daemons.values()];
        let daemon = hosts[Math.floor(world.random() * hosts.length)];
        while (daemon && load.zoneWeight && world.random() > load.zoneWeight(daemon.at.zone, world.now)) {
          daemon = hosts[Math.floor(world.random() * hosts.length)];
        }
        done.push(world.now);
        if (daemon) {
          world.request(daemon);
        }
        schedule();
      }
    });
  };
  schedule();
}

function runHistory(seed: number, load: Load, faults: (world: World) => void = () => undefined): HistoryResult & { world: World } {
  const rate = load.usualPerSecond * 1.6;
  const limits = { ratePerSecond: rate, burst: rate };
  const world = new World(seededRandom(seed), limits, load.counting);
  const arrivals: number[] = [];
  scheduleArrivals(world, load, arrivals);
  faults(world);
  world.runUntil(load.untilMs + 1_000);
  const bucket = new TokenBucket({ ratePerSecond: rate, capacity: limits.burst }, limits.burst, 0);
  const reference = arrivals.filter((at) => bucket.take(at).granted).length;
  return {
    arrivals: world.arrivals,
    served: world.runs.length,
    reference,
    allowed: countAllowed(arrivals, rate * kSettings.windowSeconds + limits.burst),
    fullest: fullestWindow(world.runs, windowBound(limits)),
    tokenRequests: world.tokenRequests,
    world,
  };
}

/** Number of arrivals that run when at most `limit` run in any window. */
function countAllowed(arrivals: readonly number[], limit: number): number {
  const runs: number[] = [];
  for (const at of arrivals) {
    if ((runs[runs.length - Math.floor(limit)] ?? -Infinity) < at - kWindowMs) {
      runs.push(at);
    }
  }
  return runs.length;
}

/** Maximum number of runs in any window, over all daemons. */
function windowBound({ ratePerSecond, burst }: QuotaLimits): number {
  return (ratePerSecond * kSettings.windowSeconds + burst) * (1 + kSettings.overage) + kSettings.slack;
}

/** Maximum number of runs that were both sent and started in one window, as a share of `bound`. */
function fullestWindow(runs: readonly { at: number; sentAt: number }[], bound: number, fromMs = 0): number {
  const sorted = runs.filter(({ sentAt }) => sentAt >= fromMs).sort((a, b) => a.at - b.at);
  let most = 0;
  let first = 0;
  sorted.forEach(({ at }, i) => {
    while ((sorted[first]?.at ?? 0) < at - kWindowMs) {
      first++;
    }
    most = Math.max(most, sorted.slice(first, i + 1).filter(({ sentAt }) => sentAt >= at - kWindowMs).length);
  });
  return most / bound;
}

/** Schedules faults of all kinds at random times. */
function randomFaults(world: World, untilMs: number): void {
  const { random } = world;
  const each = (run: (daemon: Daemon) => void, share: number): void => {
    for (const daemon of world.daemons.values()) {
      if (random() < share) {
        run(daemon);
      }
    }
  };
  const kinds: (() => void)[] = [
    () => world.zonePartitions.set(`z${Math.floor(random() * kZones)}`, world.now + random() * 12_000),
    () => {
      each((daemon) => (daemon.partitionedUntil = world.now + random() * 12_000), random() * 0.5);
    },
    () => {
      each((daemon) => (daemon.frozenUntil = world.now + random() * 6_000), random() * 0.3);
    },
    () => {
      each((daemon) => {
        daemon.restart(world.now, 500 + random() * 1_500);
      }, random() * 0.3);
    },
    () => {
      each((daemon) => {
        daemon.restart(world.now, 1_000 + random() * 300);
      }, 1);
    },
    () => {
      changeHosts(world);
    },
  ];
  for (let at = 1_000; at < untilMs; at += 500 + random() * 4_000) {
    const kind = kinds[Math.floor(random() * kinds.length)];
    world.after(at, () => kind?.());
  }
}

/** Replaces a tenth of the hosts with new ones. Unreachable daemons receive the change when they are back. */
function changeHosts(world: World): void {
  const { random } = world;
  const leaving = new Set(world.hosts.filter(() => random() < 0.1).map(({ host }) => host));
  const joining = [...leaving].map((host) => ({ host: `${host}n`, zone: world.daemons.get(host)?.at.zone ?? 'z0' }));
  world.hosts = [...world.hosts.filter(({ host }) => !leaving.has(host)), ...joining];
  leaving.forEach((host) => world.daemons.delete(host));
  for (const host of joining) {
    const daemon = new Daemon(host, world);
    daemon.startedAt = world.now;
    daemon.owner = new QuotaOwner(kSettings, world.now, world.counting);
    daemon.owner.startWithReserve();
    world.daemons.set(host.host, daemon);
  }
  const { hosts } = world;
  for (const daemon of world.daemons.values()) {
    const unreachableUntil = Math.max(
      daemon.partitionedUntil,
      world.zonePartitions.get(daemon.at.zone) ?? 0,
      daemon.frozenUntil,
      daemon.downUntil,
    );
    world.after(Math.max(unreachableUntil - world.now, 0) + random() * kUpdateMs, () => {
      daemon.updateHosts(hosts);
    });
  }
}

/** Raises the load to 3 to 8 times the usual for eight seconds. */
function withBurst(random: () => number): (now: number) => number {
  const from = random() * 10_000;
  const times = 3 + random() * 5;
  return (now) => (now >= from && now < from + 8_000 ? times : 1);
}

const kCountings: [string, QuotaCounting][] = [
  ['quotas over all daemons', 'bucket'],
  ['quotas over all daemons, counted by window', 'window'],
];

for (const [title, counting] of kCountings) {
  describe(title, () => {
    for (const usualPerSecond of [1, 10, 100]) {
      it(`should serve ${usualPerSecond} requests a second of a workspace like a single bucket would, at usual load and in a burst`, (t) => {
        for (let seed = 1; seed <= 3; seed++) {
          const calm = runHistory(seed, { counting, usualPerSecond, times: () => 1, untilMs: 30_000 });
          t.true(calm.served >= 0.97 * calm.reference, `calm: ${calm.served} of ${calm.reference}, ${calm.arrivals} arrived`);
          t.true(calm.fullest <= 1);
          const busy = runHistory(seed, {
            counting,
            usualPerSecond,
            times: (now) => (now > 10_000 && now < 20_000 ? 7.5 : 1),
            untilMs: 30_000,
          });
          t.true(busy.served >= 0.97 * busy.reference, `hot: ${busy.served} of ${busy.reference}`);
          t.true(busy.fullest <= 1, `fullest window ${busy.fullest}`);
        }
      });
    }

    it('should never exceed the bound in any window, under faults of all kinds', (t) => {
      const kHistories = 300;
      let fullest = 0;
      for (let seed = 1; seed <= kHistories; seed++) {
        const usualPerSecond = [1, 3, 10, 30, 100][seed % 5] ?? 1;
        const result = runHistory(
          seed,
          { counting, usualPerSecond, times: withBurst(seededRandom(seed + 7_000)), untilMs: 20_000 },
          (world) => {
            randomFaults(world, 20_000);
          },
        );
        fullest = Math.max(fullest, result.fullest);
        t.true(result.fullest <= 1, `seed ${seed}: ${usualPerSecond} a second, fullest window ${result.fullest}`);
      }
      t.log(`fullest window of ${kHistories} histories: ${fullest.toFixed(3)} of the bound`);
    });

    it('should respect a lowered quota one window after all daemons have applied it', (t) => {
      for (let seed = 1; seed <= 40; seed++) {
        const usualPerSecond = [3, 30, 100][seed % 3] ?? 3;
        const loweredAt = 10_000;
        const lower = { ratePerSecond: usualPerSecond * 0.4, burst: usualPerSecond * 0.4 };
        const { world } = runHistory(seed, { counting, usualPerSecond, times: () => 4, untilMs: 25_000 }, (started) => {
          started.after(loweredAt, () => {
            for (const daemon of started.daemons.values()) {
              started.after(started.random() * kApplyMs, () => {
                daemon.limits = lower;
                daemon.version++;
              });
            }
          });
        });
        const fullest = fullestWindow(world.runs, windowBound(lower), loweredAt + kApplyMs + kWindowMs);
        t.true(fullest <= 1, `seed ${seed}: fullest window ${fullest}`);
      }
    });

    it('should query few owners per request far above the quota', (t) => {
      const { tokenRequests, arrivals } = runHistory(1, { counting, usualPerSecond: 100, times: () => 7.5, untilMs: 10_000 });
      t.true(tokenRequests < 2.5 * arrivals, `${tokenRequests} token requests for ${arrivals} requests`);
      t.log(`${tokenRequests} token requests for ${arrivals} requests`);
    });
  });
}

describe('quotas counted by window', () => {
  it('should serve 0.95 of what the quota allows at 1.7 times the usual load, in waves that reach the zones at different times', (t) => {
    const wave = (now: number, phase: number): number => 1 + 0.55 * Math.sin(2 * Math.PI * (now / 17_000 + phase));
    const served = (usualPerSecond: number, counting: QuotaCounting): number => {
      const times = (now: number): number => 1.7 * wave(now, 0);
      const zoneWeight = (zone: string, now: number): number => wave(now, Number(zone.slice(1)) / kZones) / 1.55;
      const result = runHistory(2, { usualPerSecond, counting, times, zoneWeight, untilMs: 51_000 });
      return result.served / result.allowed;
    };
    for (const usualPerSecond of [1, 10, 100]) {
      const [window, bucket] = [served(usualPerSecond, 'window'), served(usualPerSecond, 'bucket')];
      t.log(`${usualPerSecond} a second: ${window.toFixed(3)} by window, ${bucket.toFixed(3)} by bucket`);
      t.true(window >= 0.95 && window >= bucket, `${usualPerSecond} a second: ${window} by window, ${bucket} by bucket`);
    }
  });
});
