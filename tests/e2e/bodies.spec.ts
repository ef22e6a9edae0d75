/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against bodies that a daemon holds beyond its limit, and against memory that is not given back. */

import test from 'ava';
import { describe, itSerial } from '../support/describe.js';
import { Fleet } from '../support/fleet.js';
import { RawCaller } from '../mesh/rawCaller.js';
import { kSampleConfig } from '../support/sampleConfig.js';

const kInFlightBytes = 2 * 2 ** 20;
const kBodyBytes = 700_000;
const kUploads = 8;
const kRounds = 4;

let fleet: Fleet;

test.before(async () => {
  const limits = { inFlightBytes: kInFlightBytes, bodyBytes: 2 ** 20 } as never;
  fleet = await Fleet.start(
    [
      { id: 'a1', zone: 'east', service: 'alpha', behaviour: { echo: true, workMs: 20 } },
      { id: 'b1', zone: 'west', service: 'beta' },
    ],
    { limits },
  );
  await fleet.runCli(['apply', 'FILE', '--base', '0', '--wait'], kSampleConfig);
  await Promise.all([fleet.untilTargets('alpha', 1), fleet.untilTargets('beta', 1)]);
});

test.afterEach.always(async (t) => {
  if (!t.passed) {
    t.log(await fleet.diagnostics());
  }
});

test.after.always(() => {
  fleet.stop();
});

async function upload(host: string, seed: number): Promise<string> {
  const body = Buffer.alloc(kBodyBytes, String(seed));
  const res = await fetch(`http://${fleet.host(host).address}/alpha/x`, { method: 'PUT', body });
  const received = Buffer.from(await res.arrayBuffer());
  if (res.status === 200) {
    return received.equals(body) ? '200' : 'other body';
  }
  return `${res.status} ${res.headers.get('gentiandrum-outcome') ?? ''}`;
}

describe('long bodies beyond inFlightBytes', () => {
  for (const host of ['a1', 'b1']) {
    itSerial(`should be refused as not run before they are read, and leave nothing held, when they enter at ${host}`, async (t) => {
      for (let round = 0; round < kRounds; round++) {
        const results = await Promise.all(Array.from({ length: kUploads }, (_, i) => upload(host, i)));
        t.true(results.includes('200') && results.includes('503 not_run'), results.join(' '));
        t.true(
          results.every((result) => result === '200' || result === '503 not_run'),
          results.join(' '),
        );
        t.is(await upload(host, round), '200');
      }
    });
  }

  // They were counted once they had been read, so that any number of them could be on their way.
  itSerial('should be refused by their stated length, at once and before they are sent', async (t) => {
    const callers = [];
    for (let i = 0; i < 3; i++) {
      const caller = await RawCaller.open(fleet.host('b1').address);
      caller.write(`PUT /alpha/x HTTP/1.1\r\nHost: b1\r\nContent-Length: ${kBodyBytes}\r\n\r\nbegin`);
      callers.push(caller);
    }
    const [first, second, third] = callers;
    t.regex((await third?.until(/\r\n\r\n.*\}$/s)) ?? '', /^HTTP\/1.1 503 .*gentiandrum-outcome: not_run/is);
    const rest = 'x'.repeat(kBodyBytes - 'begin'.length);
    for (const caller of [first, second]) {
      caller?.write(rest);
      t.regex((await caller?.until(/HTTP\/1.1 [^]*x$/)) ?? '', /^HTTP\/1.1 200/);
    }
    callers.forEach((caller) => {
      caller.disconnect();
    });
    t.is(await upload('b1', 1), '200');
  });

  itSerial('should be given up when a response has no end', async (t) => {
    await fleet.setBehaviour('a1', { endless: true });
    for (const host of ['a1', 'b1', 'a1', 'b1']) {
      const res = await fetch(`http://${fleet.host(host).address}/alpha/x`, { method: 'PUT', body: 'x' });
      const { kind, outcome } = (await res.json()) as { kind: string; outcome: string };
      t.deepEqual([res.status, kind], [502, 'answer_too_large']);
      t.not(outcome, 'not_run');
    }
    await fleet.setBehaviour('a1', { endless: false });
    t.is(await upload('b1', 1), '200');
  });
});
