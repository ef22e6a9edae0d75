/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Long bodies over links, and the memory that daemons hold for bodies of callers, of other daemons and of targets. */

import { createHash } from 'node:crypto';
import { createServer, type Server, type Socket } from 'node:net';
import { Readable } from 'node:stream';
import { MessageReader, MessageWriter, type PeerMessage } from '@gentiandrum/mesh';
import fc from 'fast-check';
import { request } from 'undici';
import { UpstreamStandin } from '../platform/upstreamStandin.js';
import { describe, it, itSerial } from '../support/describe.js';
import { type FleetHost, type HostEndpoints, type MeshFleet, withFleet } from './meshFleet.js';
import { RawCaller, requestText } from './rawCaller.js';

const kMiB = 2 ** 20;
const kSeed = 65;
/** Memory limit of the daemons, in MiB; an eighth of it is for bodies. */
const kMemoryMb = 128;
const kLimitBytes = (kMemoryMb / 8) * kMiB;
const kLongBytes = 6 * kMiB;
/** Bytes that an endless target sends at most, so that a daemon that reads them all does not exhaust the memory of the test. */
const kEndlessBytes = 400 * kMiB;
/** Number of generated mixes of requests. */
const kMixes = 30;
const kBoundaries = [0, 1, 4_095, 65_535, 65_536, 65_537, 131_072, 131_073, 1_000_000];

/** Starts an ingress and a target's host with little memory. */
async function startPair(fleet: MeshFleet): Promise<[FleetHost, FleetHost]> {
  const limits = { max_body_bytes: 64 * kMiB };
  fleet.configure(
    [
      { prefix: '/once/', service: 'reads', idempotent: false, timeoutMs: 8_000 },
      { prefix: '/a/', service: 'reads', timeoutMs: 8_000 },
    ],
    limits,
  );
  const settings = { memoryMb: kMemoryMb };
  const near = await fleet.add('h1', 'other', { settings });
  const far = await fleet.add('h2', 'reads', { settings });
  await fleet.untilServing('/a/warm');
  return [near, far];
}

async function upload(
  host: HostEndpoints,
  bytes: number,
  options: { chunked?: boolean; remainingMs?: number; seed?: number } = {},
): Promise<number> {
  const body = Buffer.alloc(bytes, String((options.seed ?? 0) % 10));
  const res = await request(`http://${host.calls}/once/x`, {
    method: 'POST',
    body: options.chunked === true ? Readable.from(slices(body)) : body,
    headers: {
      host: 'app.example',
      'x-attempt-id': `u${options.seed ?? 0}`,
      'x-deadline-remaining': String(options.remainingMs ?? 8_000),
    },
  });
  await res.body.dump();
  return res.statusCode;
}

function* slices(body: Buffer): Generator<Buffer> {
  for (let at = 0; at < body.length; at += 30_000) {
    yield body.subarray(at, at + 30_000);
  }
}

/** Bytes that a daemon holds for bodies, and number of bodies that wait. */
async function heldBytes(fleet: MeshFleet, host: FleetHost): Promise<{ held: number; waiting: number }> {
  const text = await fleet.metrics(host);
  const values = [...text.matchAll(/name="held_bytes_\w+"[^}]*\} (\d+)/g)].map(([, value]) => Number(value));
  const waiting = Number(/name="bodies_waiting_for_memory"[^}]*\} (\d+)/.exec(text)?.[1]);
  return { held: values.reduce((sum, value) => sum + value, 0), waiting };
}

async function untilNothingHeld(fleet: MeshFleet, hosts: FleetHost[]): Promise<void> {
  for (const host of hosts) {
    await fleet.until(`${host.id} to hold no bodies`, async () => {
      const { held, waiting } = await heldBytes(fleet, host);
      return held === 0 && waiting === 0;
    });
  }
}

/** Lets the target run requests until they are released. */
function holdRuns({ target }: FleetHost): { count: () => number; release: () => void } {
  const releases: (() => void)[] = [];
  target.onRun = () =>
    new Promise((resolve) => {
      releases.push(resolve);
    });
  return {
    count: () => releases.length,
    release: () => {
      target.onRun = () => undefined;
      releases.splice(0).forEach((resolve) => {
        resolve();
      });
    },
  };
}

describe('the parts of long bodies on a link', () => {
  it('should be read the same however the stream is divided', (t) => {
    const partArbitrary = fc.record({
      type: fc.constant('part' as const),
      of: fc.constantFrom('call' as const, 'answer' as const),
      id: fc.nat(2 ** 40),
      bytes: fc.uint8Array({ minLength: 1, maxLength: 300 }).map((bytes) => Buffer.from(bytes)),
    });
    const messageArbitrary = fc.oneof(partArbitrary, fc.record({ type: fc.constant('cancel' as const), id: fc.nat(1_000) }));
    fc.assert(
      fc.property(
        fc.array(messageArbitrary, { maxLength: 12 }),
        fc.array(fc.integer({ min: 1, max: 90 }), { minLength: 1 }),
        (sent, sizes) => {
          const writer = new MessageWriter();
          const stream = Buffer.concat(sent.map((message) => writer.encode(message)));
          const reader = new MessageReader();
          const received: PeerMessage[] = [];
          for (let at = 0, i = 0; at < stream.length; i++) {
            const size = sizes[i % sizes.length] ?? 1;
            received.push(...reader.push(stream.subarray(at, at + size)));
            at += size;
          }
          t.deepEqual(joinParts(received), joinParts(sent));
        },
      ),
      { seed: kSeed, numRuns: 300 },
    );
  });
});

/** Joins consecutive parts of one body, as a part is delivered as it arrives. */
function joinParts(messages: readonly PeerMessage[]): string[] {
  const texts: string[] = [];
  let last = '';
  for (const message of messages) {
    const head = message.type === 'part' ? `part ${message.of} ${message.id} ` : JSON.stringify(message);
    if (message.type === 'part' && head === last) {
      texts.push(`${texts.pop() ?? ''}${message.bytes.toString('hex')}`);
    } else {
      texts.push(message.type === 'part' ? `${head}${message.bytes.toString('hex')}` : head);
    }
    last = head;
  }
  return texts;
}

describe('a long body', () => {
  itSerial('should arrive unchanged at a target of another host and of the same host, with a length and chunked', (t) =>
    withFleet(async (fleet) => {
      const [near, far] = await startPair(fleet);
      for (const host of [near, far]) {
        for (const [i, bytes] of kBoundaries.entries()) {
          for (const chunked of [false, true]) {
            t.is(await upload(host, bytes, { chunked, seed: i }), 200);
            const { body } = far.target.seen.at(-1) ?? { body: '?' };
            t.is(digest(body), digest(String(i % 10).repeat(bytes)), String(bytes));
          }
        }
      }
      await untilNothingHeld(fleet, [near, far]);
    }),
  );

  itSerial('should be returned unchanged from a target of another host', (t) =>
    withFleet(async (fleet) => {
      const [near, far] = await startPair(fleet);
      for (const bytes of kBoundaries) {
        far.target.padding = bytes;
        const { status, body } = await fleet.call(near, '/a/x');
        t.is(status, 200);
        t.regex(body, new RegExp(`^i-h2 did a\\d+x{0}`));
        t.is(body.replace(/^i-h2 did a\d+/, '').length, bytes);
      }
      await untilNothingHeld(fleet, [near, far]);
    }),
  );
});

function digest(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

// Two clients with bodies of 52 MiB took a daemon over its memory limit of 350 MB; a target's host held any number of them.
describe('long bodies beyond the memory of a daemon', () => {
  itSerial('should wait at the ingress, be refused as not run if that lasts, and leave room for short ones', (t) =>
    withFleet(async (fleet) => {
      const [near, far] = await startPair(fleet);
      const runs = holdRuns(far);
      const first = [1, 2].map((seed) => upload(near, kLongBytes, { seed }));
      await fleet.until('both to run', () => runs.count() === 2);
      t.is(await upload(near, kLongBytes, { seed: 3, remainingMs: 1_000 }), 503);
      t.false(far.target.seen.some(({ id }) => id === 'u3'));
      const short = upload(near, 1_000, { seed: 4 });
      await fleet.until('the short one to run', () => runs.count() === 3);
      t.true((await heldBytes(fleet, near)).held <= kLimitBytes);
      t.regex(await fleet.metrics(near), /memory_refusals_total\{place="requests"[^}]*\} 1/);
      const waiting = upload(near, kLongBytes, { seed: 5 });
      await fleet.until('another one to wait', async () => (await heldBytes(fleet, near)).waiting === 1);
      runs.release();
      t.deepEqual(await Promise.all([...first, short, waiting]), [200, 200, 200, 200]);
      await untilNothingHeld(fleet, [near, far]);
    }),
  );

  // What arrived together with its head was taken for growth beyond the limit, and refused at once.
  itSerial('should wait also when there is no room for what has arrived', (t) =>
    withFleet(async (fleet) => {
      const [near, far] = await startPair(fleet);
      const runs = holdRuns(far);
      const first = upload(near, (kLimitBytes * 7) / 8 - 100, { seed: 1 });
      await fleet.until('it to run', () => runs.count() === 1);
      const second = upload(near, kLongBytes, { seed: 2 });
      await fleet.until('the other one to wait', async () => (await heldBytes(fleet, near)).waiting === 1);
      runs.release();
      t.deepEqual(await Promise.all([first, second]), [200, 200]);
      await untilNothingHeld(fleet, [near, far]);
    }),
  );

  itSerial("should wait for memory of the target's host when they come from several hosts", (t) =>
    withFleet(async (fleet) => {
      const [near, far] = await startPair(fleet);
      const others = [near, await fleet.add('h3', 'other'), await fleet.add('h4', 'other')];
      await fleet.untilServing('/a/warm');
      const runs = holdRuns(far);
      const uploads = others.map((host, seed) => upload(host, kLongBytes, { seed }));
      await fleet.until('one to wait', async () => runs.count() === 2 && (await heldBytes(fleet, far)).waiting === 1);
      t.true((await heldBytes(fleet, far)).held <= kLimitBytes);
      runs.release();
      t.deepEqual(await Promise.all(uploads), [200, 200, 200]);
      await untilNothingHeld(fleet, [far, ...others]);
    }),
  );

  itSerial('should be delivered whole, one after the other, to callers that read slowly', (t) =>
    withFleet(async (fleet) => {
      const [near, far] = await startPair(fleet);
      far.target.padding = kLongBytes;
      const callers = [];
      for (const id of ['r1', 'r2', 'r3', 'r4']) {
        const caller = await RawCaller.open(near.calls);
        caller.pause();
        caller.write(requestText('/a/x', id, { headers: ['Connection: close'] }).replace('3000', '8000'));
        callers.push(caller);
      }
      await fleet.until('responses to be held', async () => (await heldBytes(fleet, near)).held > 0);
      t.true((await heldBytes(fleet, near)).held <= kLimitBytes);
      t.true((await heldBytes(fleet, far)).held <= kLimitBytes);
      for (const caller of callers) {
        caller.resume();
      }
      for (const [i, caller] of callers.entries()) {
        const text = await caller.untilClosed();
        t.regex(text, new RegExp(`did r${i + 1}x`));
        t.true(text.length > kLongBytes);
      }
      await untilNothingHeld(fleet, [near, far]);
    }),
  );
});

/** A target that sends bytes without end in response to a request, up to {@link kEndlessBytes}. */
class EndlessTarget extends UpstreamStandin {
  sentBytes = 0;
  /** Returns what is sent first; `head` is the beginning of a complete head. */
  begin = (head: string): string => head;
  /** What is sent again and again. */
  unit: Buffer = Buffer.alloc(65_536, 'e');
  private readonly _endless: Server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', (chunk) => {
      const id = /x-attempt-id: (\S+)/i.exec(chunk.toString('latin1'))?.[1] ?? '';
      socket.write(this.begin(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Response-Seal: seal.${id}\r\n`));
      this._sendTo(socket);
    });
  });

  /** Lets the target send endless responses from now on. */
  async startEndless(): Promise<void> {
    await new Promise<void>((resolve) => this._endless.listen(0, '127.0.0.1', resolve));
    const address = this._endless.address();
    this.address = `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`;
  }

  override close(): void {
    super.close();
    this._endless.close();
  }

  private _sendTo(socket: Socket): void {
    while (!socket.destroyed && this.sentBytes < kEndlessBytes) {
      this.sentBytes += this.unit.length;
      if (!socket.write(this.unit)) {
        socket.once('drain', () => {
          this._sendTo(socket);
        });
        return;
      }
    }
  }
}

// A target's host was killed for its memory by one target that sends without end, with every request that passed through it.
describe('a response without end', () => {
  const chunk = Buffer.concat([Buffer.from('10000\r\n'), Buffer.alloc(65_536, 'e'), Buffer.from('\r\n')]);
  const cases: [string, (head: string) => string, Buffer?][] = [
    ['chunked', (head) => `${head}Transfer-Encoding: chunked\r\n\r\n`, chunk],
    ['with a length beyond all memory', (head) => `${head}Content-Length: 900000000000\r\n\r\n`],
    ['that ends with the connection', (head) => `${head}Connection: close\r\n\r\n`],
    ['of interim responses', () => '', Buffer.from('HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(500))],
  ];
  for (const [name, begin, unit] of cases) {
    itSerial(`should be given up, ${name}, with what was received bounded by the memory of the daemon`, (t) =>
      withFleet(async (fleet) => {
        const [near] = await startPair(fleet);
        const target = new EndlessTarget('i-h3', 'endless');
        await target.startEndless();
        target.begin = begin;
        target.unit = unit ?? target.unit;
        fleet.configure([{ prefix: '/endless/', service: 'endless', idempotent: false, timeoutMs: 8_000 }]);
        const far = await fleet.add('h3', 'endless', { target, settings: { memoryMb: kMemoryMb } });
        let response = { status: 503, body: '' };
        await fleet.until('the target to be called', async () => {
          response = await fleet.call(near, '/endless/x', { method: 'POST', remainingMs: 6_000 });
          return target.sentBytes > 0;
        });
        t.is(response.status, 502);
        t.regex(response.body, /may have run/);
        t.true(target.sentBytes < kMemoryMb * kMiB, `${target.sentBytes} bytes sent`);
        await untilNothingHeld(fleet, [near, far]);
      }),
    );
  }
});

describe('the memory for bodies', () => {
  // Lengths, chunkings, slow readers and callers that leave, beyond the limit and below it.
  itSerial('should be given back completely after any mix of requests', (t) =>
    withFleet(async (fleet) => {
      const [near, far] = await startPair(fleet);
      far.target.onRun = ({ id }) => new Promise((resolve) => setTimeout(resolve, id.length % 3));
      const lengthArbitrary = fc.oneof(fc.nat(70_000), fc.integer({ min: 65_537, max: 5 * kMiB }));
      const playArbitrary = fc.record({
        bytes: lengthArbitrary,
        chunkBytes: fc.option(fc.integer({ min: 500, max: 200_000 }), { nil: undefined }),
        responseBytes: lengthArbitrary,
        leavesAfterMs: fc.option(fc.nat(40), { nil: undefined }),
        pauseMs: fc.option(fc.nat(60), { nil: undefined }),
        atTarget: fc.boolean(),
      });
      const statuses = new Map<string, number>();
      await fc.assert(
        fc.asyncProperty(fc.array(playArbitrary, { minLength: 4, maxLength: 12 }), async (plays) => {
          await Promise.all(
            plays.map(async ({ bytes, chunkBytes, responseBytes, leavesAfterMs, pauseMs, atTarget }) => {
              far.target.padding = responseBytes;
              const caller = await RawCaller.open(atTarget ? far.calls : near.calls);
              caller.write(uploadText(bytes, chunkBytes));
              if (leavesAfterMs !== undefined) {
                setTimeout(() => {
                  caller.disconnect();
                }, leavesAfterMs);
              } else if (pauseMs !== undefined) {
                caller.pause();
                setTimeout(() => {
                  caller.resume();
                }, pauseMs);
              }
              const status = (await caller.untilClosed()).slice(9, 12);
              statuses.set(status, (statuses.get(status) ?? 0) + 1);
            }),
          );
          await untilNothingHeld(fleet, [near, far]);
        }),
        { seed: kSeed, numRuns: kMixes, endOnFailure: true },
      );
      t.true((statuses.get('200') ?? 0) > kMixes, JSON.stringify([...statuses]));
      t.true(
        [...statuses.keys()].every((status) => ['', '200', '503'].includes(status)),
        JSON.stringify([...statuses]),
      );
    }),
  );
});

/** Returns the text of an upload whose connection closes after the response. */
function uploadText(bytes: number, chunkBytes: number | undefined): string {
  const body = 'b'.repeat(bytes);
  const head = { method: 'POST', headers: ['Connection: close'] };
  if (chunkBytes === undefined) {
    return requestText('/once/x', 'm1', { ...head, headers: [...head.headers, `Content-Length: ${bytes}`], body });
  }
  const chunks = (body.match(new RegExp(`.{1,${chunkBytes}}`, 'g')) ?? []).map((chunk) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`);
  return requestText('/once/x', 'm1', {
    ...head,
    headers: [...head.headers, 'Transfer-Encoding: chunked'],
    body: `${chunks.join('')}0\r\n\r\n`,
  });
}
