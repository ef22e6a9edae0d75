/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against a part of one request that is read as another, and a response that goes to another request of its connection. */

import test from 'ava';
import { seededRandom } from '@gentiandrum/core';
import { RawCaller } from '../mesh/rawCaller.js';
import { describe, itSerial } from '../support/describe.js';
import { Fleet, type FleetHost } from '../support/fleet.js';
import { kSampleConfig } from '../support/sampleConfig.js';

const kSeed = 1;
const kConnections = 60;
const kMaxRequests = 6;
const kMaxBodyBytes = 2_048;
const kMaxPieces = 5;
const kInner = 'GET /alpha/inner HTTP/1.1\r\nHost: a1\r\nX-Call: inner\r\n\r\n';
/** Requests whose bodies the daemon does not pass on. `endsConnection` if it may close the connection. */
const kRefused = [
  { text: `POST /alpha/x HTTP/1.1\r\nHost: a1\r\nGentiandrum-Timeout-Ms: none\r\n${lengthOf(kInner)}`, endsConnection: false },
  { text: `POST /nothing/x HTTP/1.1\r\nHost: a1\r\n${lengthOf(kInner)}`, endsConnection: false },
  { text: `POST /alpha/x HTTP/1.1\r\nHost: a1\r\n${lengthOf(kInner.padEnd(kMaxBodyBytes + 1))}`, endsConnection: true },
  { text: `CONNECT a1:80 HTTP/1.1\r\nHost: a1\r\n${lengthOf(kInner)}`, endsConnection: true },
  { text: `POST /alpha/x HTTP/1.1\r\nHost: a1\r\nTransfer-Encoding: chunked\r\n${lengthOf(kInner)}`, endsConnection: true },
];

let fleet: Fleet;
let host: FleetHost;

test.before(async () => {
  const limits = { bodyBytes: kMaxBodyBytes } as never;
  fleet = await Fleet.start([{ id: 'a1', zone: 'east', service: 'alpha', behaviour: { echo: true } }], { limits });
  await fleet.runCli(['apply', 'FILE', '--base', '0', '--wait'], kSampleConfig);
  await fleet.untilTargets('alpha', 1);
  host = fleet.host('a1');
});

test.after.always(() => {
  fleet.stop();
});

function lengthOf(body: string): string {
  return `Content-Length: ${body.length}\r\n\r\n${body}`;
}

function inChunks(body: string): string {
  const half = Math.ceil(body.length / 2);
  const chunks = [body.slice(0, half), body.slice(half)].filter((chunk) => chunk !== '');
  const text = chunks.map((chunk) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join('');
  return `Transfer-Encoding: chunked\r\n\r\n${text}0\r\n\r\n`;
}

/** Returns a request whose response repeats its body, which contains its id and perhaps the text of another request. */
function requestText(id: string, random: () => number): string {
  const method = ['GET', 'PUT', 'PUT'][Math.floor(random() * 3)] ?? '';
  const body = `<${id}>${random() < 0.5 ? kInner : ''}`;
  return `${method} /alpha/x HTTP/1.1\r\nHost: a1\r\nX-Call: ${id}\r\n${random() < 0.5 ? lengthOf(body) : inChunks(body)}`;
}

async function writeInPieces(caller: RawCaller, text: string, random: () => number): Promise<void> {
  const pieces = 1 + Math.floor(random() * kMaxPieces);
  const size = Math.ceil(text.length / pieces);
  for (let at = 0; at < text.length; at += size) {
    caller.write(text.slice(at, at + size));
    await new Promise(setImmediate);
  }
}

describe('pipelined requests with bodies', () => {
  itSerial('should each get the response to their own, and no part of a body should run', async (t) => {
    const random = seededRandom(kSeed);
    for (let connection = 0; connection < kConnections; connection++) {
      const ids = Array.from({ length: 1 + Math.floor(random() * kMaxRequests) }, (_, i) => `${connection}-${i}`);
      const refusedAt = Math.floor(random() * (ids.length + 1));
      const refused = kRefused[connection % kRefused.length];
      const texts = ids.map((id) => requestText(id, random));
      texts.splice(refusedAt, 0, refused?.text ?? '');
      const caller = await RawCaller.open(host.address);
      await writeInPieces(caller, texts.join(''), random);
      caller.write('GET /alpha/x HTTP/1.1\r\nHost: a1\r\nConnection: close\r\n\r\n');
      const text = await caller.untilClosed();
      const received = [...text.matchAll(/\r\n\r\n<(\d+-\d+)>/g)].map(([, id]) => id ?? '');
      t.deepEqual(received, ids.slice(0, received.length), text);
      t.true(refused?.endsConnection === true || received.length === ids.length, text);
    }
    const runs = await fleet.runsOf('a1');
    t.is(runs.inner, undefined);
    t.true(Object.keys(runs).length > kConnections);
  });
});
