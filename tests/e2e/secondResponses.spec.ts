/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against a caller getting the response to another request from a target that responds to an earlier one again. */

import test from 'ava';
import { RawTarget } from '../platform/rawTarget.js';
import { describe, itSerial } from '../support/describe.js';
import { Fleet } from '../support/fleet.js';
import { kSampleConfig } from '../support/sampleConfig.js';

const kRequests = 100;
const kCallers = 4;

let fleet: Fleet;
/** Response to the newest request, which is sent again ahead of the next one on each connection. */
let late = '';
const target = new RawTarget(({ path, position, connection }) => {
  const response = `HTTP/1.1 200 OK\r\nContent-Length: ${path.length}\r\n\r\n${path}`;
  connection.write(position > 0 ? late + response : response);
  late = response;
});

test.before(async () => {
  fleet = await Fleet.start(['a1', 'b1'].map((id) => ({ id, zone: 'east' })));
  await target.start();
  await fleet.runCli(['apply', 'FILE', '--base', '0', '--wait'], kSampleConfig);
  const announcement = { target: 'raw', service: 'alpha', url: `http://${target.address}`, slots: 50, connections: 2 };
  await fetch(`http://${fleet.host('a1').address}/-/announce`, {
    method: 'POST',
    body: JSON.stringify(announcement),
    headers: { 'content-type': 'application/json' },
  });
  await fleet.untilTargets('alpha', 1);
});

test.afterEach.always(async (t) => {
  if (!t.passed) {
    t.log(await fleet.diagnostics());
  }
});

test.after.always(() => {
  target.close();
  fleet.stop();
});

describe('a target that sends the response to an earlier request again', () => {
  for (const host of ['a1', 'b1']) {
    itSerial(`should not have it delivered to callers of ${host}`, async (t) => {
      const results: string[] = [];
      const call = async (caller: number): Promise<void> => {
        for (let n = 0; n < kRequests / kCallers; n++) {
          const path = `/${host}-${caller}-${n}`;
          const res = await fetch(`http://${fleet.host(host).address}/alpha${path}`);
          const body = await res.text();
          results.push(res.status === 200 && body === path ? 'own' : `${res.status} ${body}`);
        }
      };
      await Promise.all(Array.from({ length: kCallers }, (_, caller) => call(caller)));
      t.deepEqual(
        results.filter((result) => result !== 'own'),
        [],
      );
    });
  }
});
