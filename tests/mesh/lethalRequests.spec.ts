/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against a lethal request, which crashes the target it runs on, taking down one target after another through its retries. */

import type { ExecutionContext } from 'ava';
import { CrashingTarget } from '../platform/crashingTarget.js';
import { describe, itSerial } from '../support/describe.js';
import { type FleetHost, type MeshFleet, withFleet } from './meshFleet.js';

const kHosts = 6;
const kRunMs = 10_000;
const kNormalIntervalMs = 8;
/** Every n-th normal call requests the same shared path. */
const kSharedEvery = 4;
/** Maximum number of crashes that requests with one fingerprint may cause in the whole fleet. */
const kMaxCrashes = 3;
const kMaxFailureShare = 0.02;

interface Load {
  /** Requests that crash their targets, sent to alternating hosts at an interval. */
  lethal?: { everyMs: number; method: 'GET' | 'POST'; path: string; body?: string }[];
  /** Interval of crashes that no request causes, in milliseconds. */
  crashEveryMs?: number;
  idempotent?: boolean;
  /** Number of hosts of other services that receive requests too. */
  otherHosts?: number;
}

interface Tally {
  normal: number;
  failed: number;
  lethal: number;
  crashes: number;
  /** Number of failed normal calls by status and body. */
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

/** Sends the load for `kRunMs`, and counts all responses. */
async function runLoad(fleet: MeshFleet, { lethal = [], crashEveryMs, idempotent = true, otherHosts = 0 }: Load): Promise<Tally> {
  const { hosts, targets } = await buildFleet(fleet, idempotent, otherHosts);
  const tally: Tally = { normal: 0, failed: 0, lethal: 0, crashes: 0, failures: new Map() };
  const calls: Promise<void>[] = [];
  const sendNormal = async (i: number): Promise<void> => {
    const shared = i % kSharedEvery === 0;
    const body = i % 2 === 0 ? undefined : `{"item":${i}}`;
    const { status, body: text } = await fleet.call(hostAt(hosts, i * 5), shared ? '/s/shared' : `/s/items/${body ? '' : i}`, {
      method: body && !shared ? 'POST' : 'GET',
      ...(body && !shared ? { body } : {}),
    });
    tally.normal++;
    if (status !== 200) {
      tally.failed++;
      const failure = `${status} ${text}`;
      tally.failures.set(failure, (tally.failures.get(failure) ?? 0) + 1);
    }
  };
  const timers = [
    setInterval(() => calls.push(sendNormal(calls.length)), kNormalIntervalMs),
    ...lethal.map(({ everyMs, ...request }) =>
      setInterval(() => {
        tally.lethal++;
        calls.push(fleet.call(hostAt(hosts, tally.lethal * 7 + 1), request.path, request).then(() => undefined));
      }, everyMs),
    ),
  ];
  if (crashEveryMs !== undefined) {
    let next = 0;
    timers.push(setInterval(() => targets[next++ % kHosts]?.crash(), crashEveryMs));
  }
  await new Promise((resolve) => setTimeout(resolve, kRunMs));
  timers.forEach((timer) => {
    clearInterval(timer);
  });
  await Promise.all(calls);
  tally.crashes = targets.reduce((sum, { crashes }) => sum + crashes, 0);
  targets.forEach((target) => {
    target.close();
  });
  return tally;
}

function check(t: ExecutionContext, tally: Tally, maxCrashes: number): void {
  const summary = JSON.stringify({ ...tally, failures: [...tally.failures] });
  t.true(tally.crashes <= maxCrashes, `expected at most ${maxCrashes} crashes, got ${summary}`);
  t.true(tally.failed <= tally.normal * kMaxFailureShare, `expected at most 2% of the normal calls to fail, got ${summary}`);
}

describe('a request that crashes the targets it runs on', () => {
  itSerial('should crash at most three when it is idempotent and arrives every 0.3 s at any host', async (t) => {
    await withFleet(async (fleet) => {
      check(t, await runLoad(fleet, { lethal: [{ everyMs: 300, method: 'GET', path: '/s/lethal' }] }), kMaxCrashes);
    });
  });

  itSerial('should crash at most three when only its body differs from normal requests', async (t) => {
    await withFleet(async (fleet) => {
      check(t, await runLoad(fleet, { lethal: [{ everyMs: 300, method: 'POST', path: '/s/items/', body: '{"lethal":1}' }] }), kMaxCrashes);
    });
  });

  itSerial('should crash at most three when it is not idempotent', async (t) => {
    await withFleet(async (fleet) => {
      const lethal = [{ everyMs: 300, method: 'POST' as const, path: '/once/lethal', body: '{}' }];
      check(t, await runLoad(fleet, { lethal, idempotent: false }), kMaxCrashes);
    });
  });

  itSerial('should crash at most three when it arrives at hosts of several services', async (t) => {
    await withFleet(async (fleet) => {
      const lethal = [{ everyMs: 300, method: 'GET' as const, path: '/s/lethal' }];
      check(t, await runLoad(fleet, { lethal, otherHosts: 3 }), kMaxCrashes);
    });
  });

  itSerial('should crash at most three per fingerprint when there are two fingerprints', async (t) => {
    await withFleet(async (fleet) => {
      const paths = ['/s/lethal/a', '/s/lethal/b'];
      const lethal = paths.map((path) => ({ everyMs: 450, method: 'GET' as const, path }));
      check(t, await runLoad(fleet, { lethal }), kMaxCrashes * paths.length);
    });
  });
});

describe('targets that crash independently of requests', () => {
  itSerial('should cause no request to be quarantined', async (t) => {
    await withFleet(async (fleet) => {
      const tally = await runLoad(fleet, { crashEveryMs: 550 });
      check(t, tally, Infinity);
      t.false(
        [...tally.failures.keys()].some((failure) => failure.includes('quarantined')),
        `expected no quarantined request, got ${JSON.stringify([...tally.failures])}`,
      );
    });
  });
});
