/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against requests lost when callers pipeline them on connections of a daemon that shuts down. */

import type { ExecutionContext } from 'ava';
import { describe, itSerial } from '../support/describe.js';
import { type FleetHost, type MeshFleet, withFleet } from './meshFleet.js';
import { RawCaller, requestText } from './rawCaller.js';

const kTimeLimitMs = 6_000;
/** Time limit that ends before the exit, in milliseconds. */
const kShortLimitMs = 2_000;
/** Interval between the requests of a caller that does not wait for responses, in milliseconds. */
const kStreamMs = 20;

/** Time after which a daemon that shuts down chooses the last request of each connection, in milliseconds, with a margin. */
const kNoticeMs = 2_600;
/** Size of a response that does not fit into the buffers of a connection, and time for which its caller does not read. */
const kSlowBytes = 20_000_000;
const kSlowMs = 3_000;

/** A daemon whose callers' requests run on another host until they are released. */
class StoppingHost {
  private readonly _releases = new Map<string, () => void>();
  private _stopped: Promise<void> | undefined;

  private constructor(
    readonly fleet: MeshFleet,
    readonly host: FleetHost,
    readonly other: FleetHost,
  ) {
    for (const { target } of [host, other]) {
      target.onRun = ({ id }) => new Promise((resolve) => this._releases.set(id, resolve));
    }
  }

  static async start(fleet: MeshFleet): Promise<StoppingHost> {
    fleet.configure([
      { prefix: '/a/', service: 'reads', timeoutMs: kTimeLimitMs },
      { prefix: '/own/', service: 'other', timeoutMs: kTimeLimitMs },
      { prefix: '/once/', service: 'reads', timeoutMs: kTimeLimitMs, idempotent: false },
    ]);
    const host = await fleet.add('h1', 'other');
    const other = await fleet.add('h2', 'reads');
    await fleet.untilServing('/a/warm');
    return new StoppingHost(fleet, host, other);
  }

  /** Ids of the requests that the target has received, in order of arrival. */
  get seen(): string[] {
    return this.other.target.seen.map(({ id }) => id);
  }

  async open(): Promise<RawCaller> {
    return RawCaller.open(this.host.calls);
  }

  /** Starts the shutdown; the daemon is closed at its end, like an exiting process. */
  stop(): void {
    this._stopped = this.host.daemon.stop().then(() => {
      this.host.daemon.close();
    });
  }

  async untilStopped(): Promise<void> {
    await this._stopped;
  }

  async untilRunning(...ids: string[]): Promise<void> {
    await this.fleet.until(`${ids.join(', ')} to run`, () => ids.every((id) => this._releases.has(id)));
  }

  /** Lets the target respond to a request. */
  respond(id: string): void {
    this._releases.get(id)?.();
  }

  /** Lets the target respond to a request, and waits until the stopping daemon has the response. */
  async release(id: string): Promise<void> {
    const before = await this._inFlight();
    this.respond(id);
    await this.fleet.until(`${id} to be answered`, async () => (await this._inFlight()) < before);
  }

  private async _inFlight(): Promise<number> {
    const [, count] = /name="requests_in_flight"[^}]*\} (\d+)/.exec(await this.fleet.metrics(this.host)) ?? [];
    return Number(count);
  }

  /** Keeps the stopping daemon's own target at work, and with it the listener open, until `own` is released. */
  async keepListening(): Promise<void> {
    const caller = await RawCaller.open(this.other.calls);
    caller.write(requestText('/own/x', 'own').replace('3000', String(kTimeLimitMs)));
    await this.untilRunning('own');
  }

  /** Lets the target respond to all later requests after a fixed time. */
  respondAfter(ms: number): void {
    this.other.target.onRun = () => new Promise((resolve) => setTimeout(resolve, ms));
  }
}

function withStoppingHost(body: (stopping: StoppingHost) => Promise<void>): Promise<void> {
  return withFleet(async (fleet) => {
    await body(await StoppingHost.start(fleet));
  });
}

function get(id: string): string {
  return getWithin(id, kTimeLimitMs);
}

function getWithin(id: string, limitMs: number): string {
  return requestText(`/a/${id}`, id).replace('3000', String(limitMs));
}

/** Checks that the responses to these requests came in order, and that only the last one closes the connection. */
function checkResponses(t: ExecutionContext, text: string, ids: string[]): void {
  t.deepEqual(
    text.match(/did [a-z]\d+/g),
    ids.map((id) => `did ${id}`),
  );
  t.is(text.match(/HTTP\/1.1 200/g)?.length, ids.length);
  t.is(text.match(/connection: close/gi)?.length, 1);
  t.true(text.lastIndexOf('HTTP/1.1') < text.toLowerCase().indexOf('connection: close'));
}

describe('pipelined requests during a graceful shutdown', () => {
  // The close was announced by a response that still waited for an older one, and requests that ran meanwhile got no response.
  itSerial('should all be answered when one arrives behind a response that waits for an older one', (t) =>
    withStoppingHost(async (stopping) => {
      const caller = await stopping.open();
      stopping.stop();
      caller.write(get('r1') + get('r2'));
      await stopping.untilRunning('r1', 'r2');
      await stopping.release('r2');
      caller.write(get('r3'));
      await stopping.untilRunning('r3');
      await stopping.release('r1');
      await caller.until(/did r2/);
      await stopping.release('r3');
      checkResponses(t, await caller.untilClosed(), ['r1', 'r2', 'r3']);
      t.notRegex(await stopping.fleet.metrics(stopping.host), /closed_by="daemon"/);
      await stopping.untilStopped();
    }),
  );

  itSerial('should all be answered when the body of one arrives behind a response that waits for an older one', (t) =>
    withStoppingHost(async (stopping) => {
      const caller = await stopping.open();
      stopping.stop();
      caller.write(get('r1') + get('r2'));
      await stopping.untilRunning('r1', 'r2');
      caller.write(requestText('/once/r3', 'r3', { method: 'POST', headers: ['Content-Length: 4'], body: 'bo' }));
      await stopping.release('r2');
      await stopping.release('r1');
      await caller.until(/did r2/);
      caller.write('dy');
      await stopping.untilRunning('r3');
      await stopping.release('r3');
      checkResponses(t, await caller.untilClosed(), ['r1', 'r2', 'r3']);
      await stopping.untilStopped();
    }),
  );

  itSerial('should all be answered on a connection that was opened during the shutdown', (t) =>
    withStoppingHost(async (stopping) => {
      stopping.stop();
      const caller = await stopping.open();
      caller.write(get('r1'));
      await stopping.untilRunning('r1');
      caller.write(get('r2'));
      await stopping.untilRunning('r2');
      await stopping.release('r2');
      caller.write(get('r3'));
      await stopping.untilRunning('r3');
      await stopping.release('r3');
      await stopping.release('r1');
      checkResponses(t, await caller.untilClosed(), ['r1', 'r2', 'r3']);
      await stopping.untilStopped();
    }),
  );

  // Without an end, a connection whose caller sends continuously was in use until the daemon exited and lost what ran on it.
  itSerial('should all be answered or not be run when they never cease to arrive', (t) =>
    withStoppingHost(async (stopping) => {
      stopping.respondAfter(8 * kStreamMs);
      const caller = await stopping.open();
      const before = stopping.seen.length;
      stopping.stop();
      let sent = 0;
      while (!caller.closed) {
        caller.write(get(`s${++sent}`));
        await new Promise((resolve) => setTimeout(resolve, kStreamMs));
      }
      const ran = stopping.seen.slice(before);
      t.true(ran.length < sent);
      checkResponses(t, caller.text, ran);
      await stopping.untilStopped();
    }),
  );

  itSerial('should be answered one for each connection near the end of the shutdown', (t) =>
    withStoppingHost(async (stopping) => {
      const older = await stopping.open();
      older.write(get('r1'));
      await stopping.untilRunning('r1');
      await stopping.keepListening();
      stopping.stop();
      await new Promise((resolve) => setTimeout(resolve, kNoticeMs));
      older.write(getWithin('r2', kShortLimitMs));
      const idle = await stopping.open();
      idle.write(getWithin('r3', kShortLimitMs) + getWithin('r4', kShortLimitMs));
      await stopping.untilRunning('r3');
      await stopping.release('r3');
      checkResponses(t, await idle.untilClosed(), ['r3']);
      await stopping.release('r1');
      checkResponses(t, await older.untilClosed(), ['r1']);
      t.false(stopping.seen.some((id) => id === 'r2' || id === 'r4'));
      await stopping.untilStopped();
    }),
  );
});

describe('requests near the end of a graceful shutdown', () => {
  // They were passed on because their route is usually fast, and got a 502 at the exit while their target was at work.
  itSerial('should be refused as not run unless their time limits end before the exit', (t) =>
    withStoppingHost(async (stopping) => {
      await stopping.keepListening();
      stopping.stop();
      await new Promise((resolve) => setTimeout(resolve, kNoticeMs));
      for (const id of ['k1', 'k2']) {
        const caller = await stopping.open();
        caller.write(id === 'k1' ? get(id) : requestText('/once/k2', id, { method: 'POST' }).replace('3000', String(kTimeLimitMs)));
        const text = await caller.untilClosed();
        t.regex(text, /^HTTP\/1.1 503/);
        t.regex(text, /not run: shutting down/);
        t.regex(text, /retry-after: /);
        t.false(stopping.seen.includes(id));
      }
      const short = await stopping.open();
      short.write(requestText('/once/b1', 'b1', { method: 'POST' }).replace('3000', '500'));
      await stopping.untilRunning('b1');
      await stopping.release('b1');
      checkResponses(t, await short.untilClosed(), ['b1']);
      await stopping.untilStopped();
    }),
  );

  // The response to a request that runs into its time limit is written after the deadline was checked, which must precede the exit.
  itSerial('should be answered before the exit if they reach their time limits', (t) =>
    withStoppingHost(async (stopping) => {
      await stopping.keepListening();
      stopping.stop();
      await new Promise((resolve) => setTimeout(resolve, kNoticeMs));
      const statuses = new Set<string>();
      for (let limitMs = 3_100; limitMs >= 2_300; limitMs -= 50) {
        const caller = await stopping.open();
        caller.write(requestText('/once/l1', `l${limitMs}`, { method: 'POST' }).replace('3000', String(limitMs)));
        void caller.untilClosed().then((text) => statuses.add(text.slice(0, 12)));
      }
      await stopping.untilStopped();
      await new Promise((resolve) => setTimeout(resolve, kStreamMs));
      t.deepEqual([...statuses].sort(), ['HTTP/1.1 503', 'HTTP/1.1 504']);
    }),
  );
});

describe('a request that runs during a graceful shutdown', () => {
  // The second signal ended the daemon at once.
  itSerial('should be answered when the signal is repeated', (t) =>
    withStoppingHost(async (stopping) => {
      const caller = await stopping.open();
      caller.write(get('r1'));
      await stopping.untilRunning('r1');
      stopping.stop();
      stopping.stop();
      await stopping.release('r1');
      checkResponses(t, await caller.untilClosed(), ['r1']);
      await stopping.untilStopped();
    }),
  );
});

describe('a response that is read slowly during a graceful shutdown', () => {
  // The connection was closed a second after the response was handed to the socket, though most of it had not been sent.
  itSerial('should be sent completely', (t) =>
    withStoppingHost(async (stopping) => {
      stopping.other.target.padding = kSlowBytes;
      const caller = await stopping.open();
      caller.write(get('r1'));
      await stopping.untilRunning('r1');
      stopping.stop();
      caller.pause();
      stopping.respond('r1');
      await new Promise((resolve) => setTimeout(resolve, kSlowMs));
      caller.resume();
      t.true((await caller.untilClosed()).length > kSlowBytes);
      await stopping.untilStopped();
    }),
  );
});
