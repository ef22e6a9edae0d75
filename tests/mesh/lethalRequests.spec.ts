/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Requests that end the targets they run on.
 *
 * Seen: all four targets of a service were down again and again for half a minute, and four fifths of the calls on its route failed. Each
 * time they were back, a request on the same path, from whichever host, ended them one after the other: twenty ends by one kind of request.
 *
 * How it came about: a target ends, the connections to it are reset, and the daemon beside it reports "lost" for all that ran there, as
 * it does for a connection that broke. Its caller's daemon sends an idempotent request to the next target, up to the attempts of its route,
 * and to the next. When the request comes again, nobody knows of it.
 *
 * Cause: nothing tells the end of a target from the end of a connection, and nothing outlives the request. What proved it: in the lines of
 * the failed requests all offers ended as "connection: ECONNRESET" within one run's time of each other, at targets whose next connection
 * was refused, while those that came again a second later went through the same three offers.
 */

import type { ExecutionContext } from 'ava';
import { CrashingTarget } from '../platform/crashingTarget.js';
import { describe, itSerial } from '../support/describe.js';
import { type FleetHost, type MeshFleet, withFleet } from './meshFleet.js';

const kHosts = 6;
const kRunMs = 10_000;
const kInnocentEveryMs = 8;
/** Every so many innocent calls one is the lookup that all share. */
const kSharedEvery = 4;
/** Ends of targets that one kind of request may cause on the whole fleet. */
const kMaxEnds = 3;
const kMaxNotServed = 0.02;

interface Load {
  /** Requests that end their targets, sent at any host each so many milliseconds. */
  lethal?: { everyMs: number; method: 'GET' | 'POST'; path: string; body?: string }[];
  /** Every so many milliseconds a target ends by itself. */
  endsEveryMs?: number;
  idempotent?: boolean;
  /** Hosts of other services, where requests come in too. */
  otherHosts?: number;
}

interface Tally {
  innocent: number;
  notServed: number;
  lethal: number;
  ends: number;
  /** Answers to innocent calls that were not served, by status and text. */
  failures: Map<string, number>;
}

async function buildFleet(
  fleet: MeshFleet,
  idempotent: boolean,
  others: number,
): Promise<{ hosts: FleetHost[]; targets: CrashingTarget[] }> {
  fleet.configure([
    { prefix: '/s/', service: 's', maxAttempts: 3 },
    { prefix: '/once/', service: 's', maxAttempts: 3, idempotent },
  ]);
  const hosts: FleetHost[] = [];
  const targets: CrashingTarget[] = [];
  for (let i = 0; i < kHosts; i++) {
    const target = new CrashingTarget(`i-${i}`, 's', ({ path, body }) => path.includes('lethal') || body.includes('lethal'));
    await target.start();
    const host = await fleet.add(`h${i}`, 's', { target: target.current, beat: false });
    target.control = host.control;
    await target.current.sendHeartbeat(host.control);
    targets.push(target);
    hosts.push(host);
  }
  for (let i = 0; i < others; i++) {
    hosts.push(await fleet.add(`o${i}`, `other-${i}`));
  }
  await fleet.untilServing('/s/first');
  return { hosts, targets };
}

function hostAt(hosts: readonly FleetHost[], i: number): FleetHost {
  const host = hosts[i % hosts.length];
  if (!host) {
    throw new Error('expected a fleet with hosts, got none');
  }
  return host;
}

/** Sends the load for a while; every answer is counted. */
async function play(fleet: MeshFleet, { lethal = [], endsEveryMs, idempotent = true, otherHosts = 0 }: Load): Promise<Tally> {
  const { hosts, targets } = await buildFleet(fleet, idempotent, otherHosts);
  const tally: Tally = { innocent: 0, notServed: 0, lethal: 0, ends: 0, failures: new Map() };
  const calls: Promise<void>[] = [];
  const innocent = async (i: number): Promise<void> => {
    const shared = i % kSharedEvery === 0;
    const body = i % 2 === 0 ? undefined : `{"item":${i}}`;
    const { status, body: text } = await fleet.call(hostAt(hosts, i * 5), shared ? '/s/shared' : `/s/items/${body ? '' : i}`, {
      method: body && !shared ? 'POST' : 'GET',
      ...(body && !shared ? { body } : {}),
    });
    tally.innocent++;
    if (status !== 200) {
      tally.notServed++;
      const failure = `${status} ${text}`;
      tally.failures.set(failure, (tally.failures.get(failure) ?? 0) + 1);
    }
  };
  const timers = [
    setInterval(() => calls.push(innocent(calls.length)), kInnocentEveryMs),
    ...lethal.map(({ everyMs, ...request }) =>
      setInterval(() => {
        tally.lethal++;
        calls.push(fleet.call(hostAt(hosts, tally.lethal * 7 + 1), request.path, request).then(() => undefined));
      }, everyMs),
    ),
  ];
  if (endsEveryMs !== undefined) {
    let next = 0;
    timers.push(setInterval(() => targets[next++ % kHosts]?.crash(), endsEveryMs));
  }
  await new Promise((resolve) => setTimeout(resolve, kRunMs));
  timers.forEach((timer) => {
    clearInterval(timer);
  });
  await Promise.all(calls);
  tally.ends = targets.reduce((sum, { crashes }) => sum + crashes, 0);
  targets.forEach((target) => {
    target.close();
  });
  return tally;
}

function check(t: ExecutionContext, tally: Tally, maxEnds: number): void {
  const told = JSON.stringify({ ...tally, failures: [...tally.failures] });
  t.true(tally.ends <= maxEnds, `expected at most ${maxEnds} ends, got ${told}`);
  t.true(tally.notServed <= tally.innocent * kMaxNotServed, `expected at most 2% of the innocent calls not served, got ${told}`);
}

describe('a request that ends the targets it runs on', () => {
  itSerial('should end three at most when it is idempotent and comes every 0.3 s at any host', async (t) => {
    await withFleet(async (fleet) => {
      check(t, await play(fleet, { lethal: [{ everyMs: 300, method: 'GET', path: '/s/lethal' }] }), kMaxEnds);
    });
  });

  itSerial('should end three at most when only its body sets it apart from good ones', async (t) => {
    await withFleet(async (fleet) => {
      check(t, await play(fleet, { lethal: [{ everyMs: 300, method: 'POST', path: '/s/items/', body: '{"lethal":1}' }] }), kMaxEnds);
    });
  });

  itSerial('should end three at most when it may run only once', async (t) => {
    await withFleet(async (fleet) => {
      const lethal = [{ everyMs: 300, method: 'POST' as const, path: '/once/lethal', body: '{}' }];
      check(t, await play(fleet, { lethal, idempotent: false }), kMaxEnds);
    });
  });

  itSerial('should end three at most when it comes in at hosts of several services', async (t) => {
    await withFleet(async (fleet) => {
      const lethal = [{ everyMs: 300, method: 'GET' as const, path: '/s/lethal' }];
      check(t, await play(fleet, { lethal, otherHosts: 3 }), kMaxEnds);
    });
  });

  itSerial('should end three at most also beside another kind of such requests', async (t) => {
    await withFleet(async (fleet) => {
      const kinds = ['/s/lethal/a', '/s/lethal/b'];
      const lethal = kinds.map((path) => ({ everyMs: 450, method: 'GET' as const, path }));
      check(t, await play(fleet, { lethal }), kMaxEnds * kinds.length);
    });
  });
});

describe('targets that end by themselves', () => {
  itSerial('should cost no request its turn', async (t) => {
    await withFleet(async (fleet) => {
      const tally = await play(fleet, { endsEveryMs: 550 });
      check(t, tally, Infinity);
      t.false(
        [...tally.failures.keys()].some((failure) => failure.includes('quarantined')),
        `expected nothing to be held back, got ${JSON.stringify([...tally.failures])}`,
      );
    });
  });
});
