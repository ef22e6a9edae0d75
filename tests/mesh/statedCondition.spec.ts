/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against targets that receive more requests than the rate they state in their responses, or any after they state that they leave. */

import type { ExecutionContext } from 'ava';
import { UpstreamStandin } from '../platform/upstreamStandin.js';
import { describe, itSerial } from '../support/describe.js';
import { type FleetHost, type MeshFleet, withFleet } from './meshFleet.js';

const kHosts = 6;
const kWorkMs = 20;
const kWindowMs = 4_000;
/** Requests above the stated rate that a window may have. */
const kBurst = 3;
/** Time from the first response with a statement until the bound applies, in milliseconds. */
const kSettleMs = 500;
/** Share of the calls that the stated limits and the other targets allow which must be served. */
const kMinServedShare = 0.85;
/** One in this many calls is not idempotent. */
const kOnceEvery = 4;
/** One in this many calls is on the urgent route. */
const kUrgentEvery = 5;
const kIntervalMs = 20;

interface Fleet {
  fleet: MeshFleet;
  hosts: FleetHost[];
  targets: UpstreamStandin[];
  /** Start times of the requests at each target. */
  starts: number[][];
}

interface Tally {
  sent: number;
  served: number;
  urgentSent: number;
  urgentServed: number;
  elapsedMs: number;
  statuses: Map<string, number>;
}

async function withTargets(body: (fleet: Fleet) => Promise<void>): Promise<void> {
  await withFleet(async (fleet) => {
    fleet.configure([
      { prefix: '/s/', service: 's', maxAttempts: 3 },
      { prefix: '/once/', service: 's', maxAttempts: 3, idempotent: false },
      { prefix: '/urgent/', service: 's', maxAttempts: 3, priority: 0 },
    ]);
    const hosts: FleetHost[] = [];
    const targets: UpstreamStandin[] = [];
    const starts: number[][] = [];
    for (let i = 0; i < kHosts; i++) {
      const target = new UpstreamStandin(`i-${i}`, 's');
      target.workMs = kWorkMs;
      const started: number[] = [];
      target.onRun = () => {
        started.push(performance.now());
        return undefined;
      };
      targets.push(target);
      starts.push(started);
      hosts.push(await fleet.add(`h${i}`, 's', { target }));
    }
    await fleet.untilServing('/s/first');
    await body({ fleet, hosts, targets, starts });
  });
}

function stateLimit(targets: readonly UpstreamStandin[], limit: number | undefined): void {
  targets.forEach((target) => {
    target.statedLimit = limit === undefined ? undefined : String(limit);
  });
}

function pathOf(i: number): string {
  if (i % kUrgentEvery === 0) {
    return `/urgent/${i}`;
  }
  return i % kOnceEvery === 0 ? `/once/${i}` : `/s/${i}`;
}

/** Sends `perSecond` calls a second to alternating hosts; those of each `intervalMs` are sent together. */
async function sendLoad({ fleet, hosts }: Fleet, runMs: number, perSecond = 150, intervalMs = kIntervalMs): Promise<Tally> {
  const tally: Tally = { sent: 0, served: 0, urgentSent: 0, urgentServed: 0, elapsedMs: 0, statuses: new Map() };
  const calls: Promise<void>[] = [];
  const send = async (i: number): Promise<void> => {
    const host = hosts[i % hosts.length];
    if (!host) {
      return;
    }
    const urgent = i % kUrgentEvery === 0;
    const { status, body } = await fleet.call(host, pathOf(i));
    const served = status === 200 ? 1 : 0;
    tally.served += served;
    tally.urgentSent += urgent ? 1 : 0;
    tally.urgentServed += urgent ? served : 0;
    const result = served ? '200' : `${status} ${body}`;
    tally.statuses.set(result, (tally.statuses.get(result) ?? 0) + 1);
  };
  const startedAt = performance.now();
  const timer = setInterval(() => {
    const due = Math.floor(((performance.now() - startedAt) * perSecond) / 1_000);
    while (tally.sent < due) {
      calls.push(send(tally.sent++));
    }
  }, intervalMs);
  await new Promise((resolve) => setTimeout(resolve, runMs));
  clearInterval(timer);
  await Promise.all(calls);
  tally.elapsedMs = performance.now() - startedAt;
  return tally;
}

/** Largest number of starts in any window that begins at or after `from`. */
function mostInWindow(starts: readonly number[], from: number): number {
  const counted = starts.filter((at) => at >= from);
  return Math.max(0, ...counted.map((first) => counted.filter((at) => at >= first && at < first + kWindowMs).length));
}

function describeTally(tally: Tally): string {
  return JSON.stringify({ ...tally, statuses: [...tally.statuses] });
}

function checkRate(t: ExecutionContext, starts: readonly number[], perSecond: number, from: number): void {
  const most = mostInWindow(starts, from);
  const allowed = (perSecond * kWindowMs) / 1_000 + kBurst;
  t.log(`${most} requests in ${kWindowMs} ms, ${allowed} allowed`);
  t.true(most <= allowed, `expected at most ${allowed} requests in ${kWindowMs} ms, got ${most}`);
}

function checkServed(t: ExecutionContext, tally: Tally, allowed: number): void {
  t.log(
    `${tally.served} of ${tally.sent} calls served, ${Math.round(allowed)} allowed by the targets; urgent: ${tally.urgentServed} of ${tally.urgentSent}`,
  );
  t.true(tally.served >= allowed * kMinServedShare, `expected 85% of ${allowed} calls to be served, got ${describeTally(tally)}`);
}

describe('a target that states a rate limit in its responses', () => {
  for (const limit of [8, 0.5]) {
    itSerial(`should receive at most ${limit} requests a second, while the others serve the rest`, async (t) => {
      await withTargets(async (context) => {
        const { targets, starts } = context;
        stateLimit(targets.slice(0, 1), limit);
        const from = performance.now() + kSettleMs;
        const tally = await sendLoad(context, 6_000);
        checkRate(t, starts[0] ?? [], limit, from);
        checkServed(t, tally, tally.sent);
      });
    });
  }

  itSerial('should receive at most its limit when all calls arrive in bursts', async (t) => {
    await withTargets(async (context) => {
      const { targets, starts } = context;
      stateLimit(targets.slice(0, 1), 8);
      const from = performance.now() + kSettleMs;
      const tally = await sendLoad(context, 7_000, 150, 700);
      checkRate(t, starts[0] ?? [], 8, from);
      checkServed(t, tally, tally.sent);
    });
  });

  itSerial('should receive at most its limit while its daemon is killed and started again', async (t) => {
    await withTargets(async (context) => {
      const { fleet, hosts, targets, starts } = context;
      const [target] = targets;
      if (!target) {
        return;
      }
      target.statedLimit = '8';
      const from = performance.now() + kSettleMs;
      const others = hosts.slice(1);
      const load = sendLoad({ ...context, hosts: others }, 8_000);
      for (let restarts = 0; restarts < 2; restarts++) {
        await new Promise((resolve) => setTimeout(resolve, 2_000));
        const killed = hosts[0];
        if (killed) {
          fleet.kill(killed);
          const restarted = await fleet.restart(killed);
          hosts[0] = restarted;
          await fleet.until('the daemon to be ready', () => restarted.daemon.ready);
          await target.sendHeartbeat(restarted.control);
        }
      }
      const tally = await load;
      checkRate(t, starts[0] ?? [], 8, from);
      checkServed(t, tally, tally.sent);
    });
  });
});

describe('targets that all state a rate limit in their responses', () => {
  itSerial('should receive at most their limits, and serve urgent calls first', async (t) => {
    await withTargets(async (context) => {
      const { targets, starts } = context;
      const limit = 6.9;
      stateLimit(targets, limit);
      await sendLoad(context, 2_000);
      const from = performance.now();
      const tally = await sendLoad(context, 8_000);
      starts.forEach((started) => {
        checkRate(t, started, limit, from);
      });
      checkServed(t, tally, (kHosts * limit * tally.elapsedMs) / 1_000);
      const otherShare = (tally.served - tally.urgentServed) / (tally.sent - tally.urgentSent);
      t.true(
        tally.urgentServed / tally.urgentSent > otherShare + 0.3,
        `expected urgent calls to be served first, got ${describeTally(tally)}`,
      );
    });
  });

  itSerial('should receive all calls again when they state no limit any more', async (t) => {
    await withTargets(async (context) => {
      const { targets, starts } = context;
      const limit = 4;
      stateLimit(targets, limit);
      const from = performance.now() + kSettleMs;
      await sendLoad(context, 5_000);
      starts.forEach((started) => {
        checkRate(t, started, limit, from);
      });
      stateLimit(targets, undefined);
      await sendLoad(context, 2_000);
      const tally = await sendLoad(context, 2_000);
      checkServed(t, tally, tally.sent);
    });
  });
});

describe('targets that state in their responses that they leave', () => {
  itSerial('should receive no requests after the first such response', async (t) => {
    await withTargets(async (context) => {
      const { targets, starts } = context;
      const leaving = targets.slice(0, 2);
      leaving.forEach((target) => (target.leaving = true));
      const from = performance.now() + kSettleMs;
      const tally = await sendLoad(context, 4_000);
      leaving.forEach((_, i) => {
        t.is(starts[i]?.filter((at) => at >= from).length, 0);
      });
      checkServed(t, tally, tally.sent);
    });
  });
});

describe('a target that states a rate limit that is not a number', () => {
  itSerial('should receive calls as if it stated none', async (t) => {
    await withTargets(async (context) => {
      const { targets, starts } = context;
      targets.forEach((target) => (target.statedLimit = '5/s'));
      const tally = await sendLoad(context, 3_000);
      checkServed(t, tally, tally.sent);
      t.true(starts.every((started) => started.length > 0));
    });
  });
});
