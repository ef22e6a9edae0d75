/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against requests lost when callers pipeline them on connections of a daemon that shuts down, with real processes. */

import { RawCaller } from '../mesh/rawCaller.js';
import { describe, itSerial } from '../support/describe.js';
import { exitOf, Fleet, type FleetHost, until } from '../support/fleet.js';
import { kSampleConfig } from '../support/sampleConfig.js';

const kLongMs = 1_500;
const kDeadlineConfig = {
  ...kSampleConfig,
  classes: { ...kSampleConfig.classes, 'beta-read': { ...kSampleConfig.classes['beta-read'], deadlineMs: 20_000 } },
};

async function withFleet(body: (fleet: Fleet) => Promise<void>): Promise<void> {
  const fleet = await Fleet.start([
    { id: 'a1', zone: 'east', service: 'alpha' },
    { id: 'b1', zone: 'east', service: 'beta', behaviour: { echo: true } },
  ]);
  try {
    await fleet.runCli(['apply', 'FILE', '--base', '0', '--wait'], kDeadlineConfig);
    await fleet.untilTargets('beta', 1);
    await body(fleet);
  } finally {
    fleet.stop();
  }
}

/** Sends a request whose response has its id as the body, and waits until it runs for `workMs`. */
async function run(fleet: Fleet, caller: RawCaller, id: string, workMs: number): Promise<void> {
  await fleet.setBehaviour('b1', { workMs });
  caller.write(`GET /beta/x HTTP/1.1\r\nHost: a1\r\nX-Call: ${id}\r\nContent-Length: ${id.length}\r\n\r\n${id}`);
  await until(`${id} runs`, async () => (await fleet.runsOf('b1'))[id] === 1);
}

/** Sends SIGTERM to a daemon, and waits until it shuts down. */
async function startShutdown({ daemon, logs }: FleetHost): Promise<void> {
  daemon.kill('SIGTERM');
  await until('the daemon shuts down', () => Promise.resolve(logs.some((line) => line.includes('Graceful shutdown started'))));
}

function bodies(text: string): string[] {
  return [...text.matchAll(/\r\n\r\n(r\d)/g)].map(([, id]) => id ?? '');
}

describe('pipelined requests to a daemon that shuts down', () => {
  // The response to the first one closed the connection, though those behind it had been passed on.
  itSerial('should all be answered when they run at the signal', (t) =>
    withFleet(async (fleet) => {
      const { address, daemon } = fleet.host('a1');
      const caller = await RawCaller.open(address);
      await run(fleet, caller, 'r1', kLongMs);
      await run(fleet, caller, 'r2', 10);
      await run(fleet, caller, 'r3', kLongMs);
      daemon.kill('SIGTERM');
      const text = await caller.untilClosed();
      t.deepEqual(bodies(text), ['r1', 'r2', 'r3']);
      t.is(text.match(/connection: close/gi)?.length, 1);
      t.is(await exitOf(daemon), 0);
    }),
  );

  itSerial('should not be run behind the response that closes the connection', (t) =>
    withFleet(async (fleet) => {
      const { address, daemon } = fleet.host('a1');
      const caller = await RawCaller.open(address);
      await run(fleet, caller, 'r1', kLongMs);
      await startShutdown(fleet.host('a1'));
      let sent = 1;
      while (!caller.closed) {
        const id = `s${++sent}`;
        caller.write(`GET /beta/x HTTP/1.1\r\nHost: a1\r\nX-Call: ${id}\r\n\r\n`);
        await new Promise((resolve) => setTimeout(resolve, 20));
      }
      const answered = caller.text.match(/HTTP\/1.1 /g)?.length ?? 0;
      t.deepEqual(bodies(caller.text), ['r1']);
      t.is(caller.text.match(/connection: close/gi)?.length, 1);
      t.is(caller.text.match(/gentiandrum-outcome: not_run/gi)?.length ?? 0, answered - 1);
      t.deepEqual(
        Object.keys(await fleet.runsOf('b1')).filter((id) => id.startsWith('s')),
        [],
      );
      t.is(await exitOf(daemon), 0);
    }),
  );

  // A second signal ended the process at once, with requests in flight.
  itSerial('should be answered when the signal is repeated', (t) =>
    withFleet(async (fleet) => {
      const { address, daemon } = fleet.host('a1');
      const caller = await RawCaller.open(address);
      await run(fleet, caller, 'r1', kLongMs);
      await startShutdown(fleet.host('a1'));
      daemon.kill('SIGTERM');
      t.deepEqual(bodies(await caller.untilClosed()), ['r1']);
      t.is(await exitOf(daemon), 0);
    }),
  );

  // A response that is sent without the server's hooks ended the sequence of its connection, and the next request got no response.
  itSerial('should not keep other daemons from their responses on a connection in use', (t) =>
    withFleet(async (fleet) => {
      const { address, daemon } = fleet.host('a1');
      const caller = await RawCaller.open(address);
      await run(fleet, caller, 'r1', kLongMs);
      const peer = await RawCaller.open(address);
      await startShutdown(fleet.host('a1'));
      const ping =
        '/gentiandrum.v1.PeerService/FetchConfig HTTP/1.1\r\nHost: a1\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}';
      for (let i = 1; i <= 3; i++) {
        peer.write(`POST ${ping}`);
        await until(`response ${i}`, () => Promise.resolve(peer.text.match(/HTTP\/1.1 /g)?.length === i));
      }
      t.deepEqual(bodies(await caller.untilClosed()), ['r1']);
      t.is(await exitOf(daemon), 0);
    }),
  );
});
