/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against a daemon that believes a foreign or incomplete statement of a target's condition, or forgets a true one. */

import { parseCondition } from '@gentiandrum/mesh';
import { type ResponseMode, UpstreamStandin } from '../platform/upstreamStandin.js';
import { describe, it, itSerial } from '../support/describe.js';
import { type FleetHost, type MeshFleet, withFleet } from './meshFleet.js';

const kLimit = 50;
const kPublishMs = 1_100;
const kBroadcastMs = 100;
const kRecoveryMs = 3_500;

async function pause(ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms));
}

/** Runs a test with one host of a service, and a second host without targets of it. */
async function withTarget(body: (fleet: MeshFleet, host: FleetHost, other: FleetHost) => Promise<void>): Promise<void> {
  await withFleet(async (fleet) => {
    fleet.configure([{ prefix: '/s/', service: 's', maxAttempts: 1 }]);
    const host = await fleet.add('h1', 's');
    const other = await fleet.add('h2', 'other');
    await fleet.untilServing('/s/first');
    await body(fleet, host, other);
  });
}

async function untilLimit(fleet: MeshFleet, { daemon }: FleetHost, limit: number | undefined): Promise<void> {
  await fleet.until(`a limit of ${limit} in the record`, () => daemon.record.rateLimit === limit);
}

describe('a rate limit in a response', () => {
  const believed: ResponseMode[] = ['whole', 'failing', 'shedding', 'truncated', 'unproved_shedding'];
  const notBelieved: ResponseMode[] = ['foreign_id', 'unsealed', 'dropped', 'garbage'];
  for (const mode of believed) {
    itSerial(`should be applied when the response is from the target: ${mode}`, async (t) => {
      await withTarget(async (fleet, host) => {
        Object.assign(host.target, { statedLimit: String(kLimit), mode });
        await fleet.call(host, '/s/x');
        t.is(host.daemon.record.rateLimit, kLimit);
      });
    });
  }
  for (const mode of notBelieved) {
    itSerial(`should be ignored when the response may be from elsewhere: ${mode}`, async (t) => {
      await withTarget(async (fleet, host) => {
        Object.assign(host.target, { statedLimit: String(kLimit), leaving: true, mode });
        await fleet.call(host, '/s/x');
        t.is(host.daemon.record.rateLimit, undefined);
        t.is(host.daemon.record.state, 'ready');
      });
    });
  }

  itSerial('should be ignored when another instance responds at the address', async (t) => {
    await withTarget(async (fleet, host) => {
      Object.assign(host.target, { statedLimit: String(kLimit), leaving: true });
      const replaced = new UpstreamStandin('i-next', 's');
      replaced.address = host.target.address;
      await replaced.sendHeartbeat(host.control);
      t.is((await fleet.call(host, '/s/x')).status, 503);
      t.is(host.daemon.record.rateLimit, undefined);
      t.is(host.daemon.record.state, 'ready');
    });
  });

  itSerial('should hold until a request that was sent later gets a response without it', async (t) => {
    await withTarget(async (fleet, host) => {
      const { target } = host;
      let release: () => void = () => undefined;
      target.onRun = ({ path }) => (path === '/s/early' ? new Promise((resolve) => (release = resolve)) : undefined);
      const early = fleet.call(host, '/s/early');
      await fleet.until('the early request to run', () => target.running === 1);
      target.statedLimit = String(kLimit);
      await fleet.call(host, '/s/x');
      t.is(host.daemon.record.rateLimit, kLimit);
      target.statedLimit = undefined;
      release();
      t.is((await early).status, 200);
      await pause(kPublishMs);
      t.is(host.daemon.record.rateLimit, kLimit);
      await fleet.call(host, '/s/late');
      await untilLimit(fleet, host, undefined);
    });
  });

  itSerial('should hold when a later response does not prove that it ended', async (t) => {
    await withTarget(async (fleet, host) => {
      host.target.statedLimit = String(kLimit);
      await fleet.call(host, '/s/x');
      host.target.statedLimit = undefined;
      for (const mode of ['foreign_id', 'unsealed', 'truncated', 'dropped', 'unframed', 'shedding'] as const) {
        host.target.mode = mode;
        await fleet.call(host, '/s/x');
      }
      await pause(kPublishMs);
      t.is(host.daemon.record.rateLimit, kLimit);
    });
  });

  itSerial('should end although responses have an invalid header for leaving', async (t) => {
    await withTarget(async (fleet, host) => {
      Object.assign(host.target, { statedLimit: String(kLimit), extraHeaders: { 'server-leaving': '0' } });
      await fleet.call(host, '/s/x');
      t.is(host.daemon.record.rateLimit, kLimit);
      host.target.statedLimit = undefined;
      await pause(kPublishMs);
      await fleet.call(host, '/s/x');
      await untilLimit(fleet, host, undefined);
      t.is(host.daemon.record.state, 'ready');
    });
  });

  itSerial('should keep its value when a later one is invalid', async (t) => {
    await withTarget(async (fleet, host) => {
      const { target } = host;
      target.statedLimit = String(kLimit);
      await fleet.call(host, '/s/x');
      for (const value of ['', '-1', '1e999', 'NaN', 'Infinity', '0x10', '8;9', '9'.repeat(40)]) {
        target.statedLimit = value;
        t.is((await fleet.call(host, '/s/x')).status, 200, value);
      }
      target.statedLimit = undefined;
      target.extraHeaders = { 'Server-Limit': ['8', '9'] };
      t.is((await fleet.call(host, '/s/x')).status, 200);
      await pause(kPublishMs);
      t.is(host.daemon.record.rateLimit, kLimit);
    });
  });

  itSerial('should be restored when all daemons are killed and started again', async (t) => {
    await withTarget(async (fleet, host, other) => {
      host.target.statedLimit = '0.5';
      await fleet.call(host, '/s/x');
      await fleet.until('the log to have the limit', () =>
        [...fleet.store.newest('keyed.gentiandrum-hosts').values()].join().includes('"rateLimit":0.5'),
      );
      fleet.kill(host);
      fleet.kill(other);
      const restarted = await fleet.restart(host);
      await fleet.until('the daemon to be ready', () => restarted.daemon.ready);
      await host.target.sendHeartbeat(restarted.control);
      t.is(restarted.daemon.record.rateLimit, 0.5);
      const sent = host.target.seen.length;
      await Promise.all(Array.from({ length: 20 }, () => fleet.call(restarted, '/s/x', { remainingMs: 500 })));
      t.true(host.target.seen.length - sent <= 1);
    });
  });

  itSerial('should not apply to the next instance of the target', async (t) => {
    await withTarget(async (fleet, host) => {
      host.target.statedLimit = '0.5';
      await fleet.call(host, '/s/x');
      const next = new UpstreamStandin('i-next', 's');
      await next.start();
      await next.sendHeartbeat(host.control);
      t.is(host.daemon.record.rateLimit, undefined);
      const statuses = await Promise.all(Array.from({ length: 10 }, async () => (await fleet.call(host, '/s/x')).status));
      t.true(statuses.every((status) => status === 200));
      next.close();
    });
  });

  itSerial('should refuse further calls with the time until the next one, and be visible in the metrics', async (t) => {
    await withTarget(async (fleet, host, other) => {
      host.target.statedLimit = '0.5';
      await fleet.call(other, '/s/x');
      const refused = await fleet.call(other, '/s/x');
      t.is(refused.status, 503);
      t.regex(refused.body, /rate_limited/);
      const retryAfter = Number(refused.headers['retry-after']);
      t.true(retryAfter > 1 && retryAfter < 5, `expected a delay between 1 and 5 s, got ${retryAfter}`);
      const metrics = await fleet.metrics(host);
      t.regex(metrics, /gate_refusals_total\{reason="rate_limited",zone="z1"\} [1-9]/);
      t.regex(metrics, /state\{name="gate_rate_limit",zone="z1"\} 0.5/);
      t.regex(metrics, /state\{name="gate_rate_tokens",zone="z1"\} 0/);
    });
  });
});

describe('the value of a rate limit', () => {
  it('should be a decimal number', (t) => {
    for (const [text, expected] of [
      ['8', 8],
      ['6.9', 6.9],
      ['0', 0],
      [' 7.800000000000001 ', 7.800000000000001],
      ['0.05', 0.05],
    ] as const) {
      t.deepEqual(parseCondition(text, undefined).rate, { kind: 'limit', ratePerSecond: expected });
    }
    for (const text of ['', ' ', '-1', '+1', '1e3', '1,000', '8, 9', '0x10', 'none', '1.', '.5', '9'.repeat(40)]) {
      t.is(parseCondition(text, undefined).rate.kind, 'invalid', text);
    }
  });

  it('should be separate from the header for leaving', (t) => {
    t.true(parseCondition(undefined, ' 1 ').leaving);
    for (const text of ['0', 'true', '1, 1', '']) {
      t.deepEqual(parseCondition(undefined, text), { rate: { kind: 'none' }, leaving: false, invalidLeaving: text });
    }
  });
});

describe('a response that states that the target leaves', () => {
  itSerial('should be final for the instance, whatever its heartbeats announce', async (t) => {
    await withTarget(async (fleet, host, other) => {
      host.target.leaving = true;
      await fleet.call(other, '/s/x');
      t.is(host.daemon.record.state, 'draining');
      host.target.leaving = false;
      await host.target.sendHeartbeat(host.control, 'ready', 1_000);
      const seen = host.target.seen.length;
      t.is((await fleet.call(other, '/s/x')).status, 503);
      t.is((await fleet.call(host, '/s/x')).status, 503);
      t.is(host.target.seen.length, seen);
      const next = new UpstreamStandin('i-next', 's');
      await next.start();
      await next.sendHeartbeat(host.control);
      await fleet.until('the next instance to serve', async () => (await fleet.call(other, '/s/x')).status === 200);
      next.close();
    });
  });

  itSerial('should survive a restart of the daemon while the store is unreachable', async (t) => {
    await withTarget(async (fleet, host, other) => {
      fleet.store.mode = 'reset';
      host.target.leaving = true;
      await fleet.call(other, '/s/x');
      await pause(kBroadcastMs);
      fleet.kill(host);
      const restarted = await fleet.restart(host);
      await fleet.until('the daemons to be linked', () => restarted.daemon.reachable === 1);
      await host.target.sendHeartbeat(restarted.control);
      await pause(kRecoveryMs);
      const seen = host.target.seen.length;
      await Promise.all(Array.from({ length: 10 }, () => fleet.call(other, '/s/x')));
      t.is(host.target.seen.length, seen);
      t.is(restarted.daemon.record.state, 'draining');
    });
  });

  itSerial('should refuse the calls that wait at the gate as not run', async (t) => {
    await withTarget(async (fleet, host, other) => {
      const releases: (() => void)[] = [];
      host.target.onRun = () => new Promise((resolve) => releases.push(resolve));
      host.target.statedLimit = undefined;
      const calls = Array.from({ length: 25 }, () => fleet.call(other, '/s/x'));
      await fleet.until('the slots to be used', () => host.target.running === 19);
      host.target.leaving = true;
      releases.splice(0, 1).forEach((release) => {
        release();
      });
      await fleet.until('the target to be draining', () => host.daemon.record.state === 'draining');
      releases.splice(0).forEach((release) => {
        release();
      });
      const statuses = (await Promise.all(calls)).map(({ status }) => status);
      t.is(statuses.filter((status) => status === 200).length, 19);
      t.is(statuses.filter((status) => status === 503).length, 6);
      t.is(host.target.seen.filter(({ path }) => path === '/s/x').length, 19);
    });
  });
});

describe('the retry delay of a target that refuses a call', () => {
  itSerial('should reach the caller', async (t) => {
    await withTarget(async (fleet, host, other) => {
      Object.assign(host.target, { mode: 'shedding', extraHeaders: { 'retry-after': '3' } });
      const { status, headers } = await fleet.call(other, '/s/x');
      t.is(status, 503);
      t.true(Number(headers['retry-after']) >= 3);
    });
  });
});
