/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against a part of one request that is read as another, and a response that goes to another request of its connection. */

import { seededRandom } from '@gentiandrum/core';
import { describe, itSerial } from '../support/describe.js';
import { withFleet } from './meshFleet.js';
import { RawCaller, requestText } from './rawCaller.js';

const kSeed = 1;
const kConnections = 60;
const kMaxRequests = 6;
const kMaxBodyBytes = 2_048;
const kMaxPieces = 5;
const kInner = requestText('/a/inner', 'inner');

const withLength = (body: string): { headers: string[]; body: string } => ({ headers: [`Content-Length: ${body.length}`], body });
const inChunks = (body: string): { headers: string[]; body: string } => ({
  headers: ['Transfer-Encoding: chunked'],
  body: `1\r\n${body.slice(0, 1)}\r\n${(body.length - 1).toString(16)};a=b\r\n${body.slice(1)}\r\n0\r\n\r\n`,
});

/** Requests whose bodies the daemon does not pass on. */
const kRefused = [
  { text: requestText('/none/x', 'r', { method: 'POST', ...withLength(kInner) }), endsConnection: false },
  { text: requestText('/a/x', 'r', { method: 'POST', ...withLength(kInner.padEnd(kMaxBodyBytes + 1)) }), endsConnection: true },
  { text: requestText('/a/x', 'r', { method: 'POST', ...inChunks(kInner.padEnd(kMaxBodyBytes + 1)) }), endsConnection: true },
  { text: requestText('a:80', 'r', { method: 'CONNECT', ...withLength(kInner) }), endsConnection: true },
  {
    text: requestText('/a/x', 'r', { headers: ['Connection: close', `Content-Length: ${kInner.length}`], body: kInner }),
    endsConnection: true,
  },
  {
    text: requestText('/a/x', 'r', { headers: ['Content-Length: 5', 'Transfer-Encoding: chunked'], body: `0\r\n\r\n${kInner}` }),
    endsConnection: true,
  },
  { text: requestText('/a/x', 'r', { headers: ['Transfer-Encoding: chunked'], body: `z\r\n${kInner}` }), endsConnection: true },
];

describe('pipelined requests with bodies', () => {
  itSerial('should each get the response to their own, and be passed on with their own body', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/a/', service: 'reads' }], { max_body_bytes: kMaxBodyBytes });
      const host = await fleet.add('h1', 'reads');
      await fleet.untilServing('/a/warm');
      const before = host.target.seen.length;
      const random = seededRandom(kSeed);
      const sent = new Map([['r', kInner]]);
      for (let connection = 0; connection < kConnections; connection++) {
        const refused = kRefused[connection % kRefused.length];
        const ids = Array.from({ length: 1 + Math.floor(random() * kMaxRequests) }, (_, i) => `c${connection}-${i};`);
        const texts = ids.map((id) => {
          const body = `<${id}>${random() < 0.5 ? kInner : ''}`;
          sent.set(id, body);
          const framed = random() < 0.5 ? withLength(body) : inChunks(body);
          const headers = [...framed.headers, ...(random() < 0.2 ? ['Expect: 100-continue'] : [])];
          return requestText('/a/x', id, { method: random() < 0.5 ? 'PUT' : 'GET', headers, body: framed.body });
        });
        texts.splice(Math.floor(random() * (ids.length + 1)), 0, refused?.text ?? '');
        const text = texts.join('') + requestText('/a/x', 'last', { headers: ['Connection: close'] });
        const caller = await RawCaller.open(host.calls);
        const size = Math.ceil(text.length / (1 + Math.floor(random() * kMaxPieces)));
        for (let at = 0; at < text.length; at += size) {
          caller.write(text.slice(at, at + size));
          await new Promise(setImmediate);
        }
        const responses = await caller.untilClosed();
        const received = [...responses.matchAll(/did (c\d+-\d+;)/g)].map(([, id]) => id ?? '');
        t.deepEqual(received, ids.slice(0, received.length), responses);
        t.true(refused?.endsConnection === true || received.length === ids.length, responses);
      }
      const passedOn = host.target.seen.slice(before).filter(({ id }) => id !== 'last');
      t.true(passedOn.length > kConnections);
      t.deepEqual(
        passedOn.filter(({ id, body }) => body !== sent.get(id)),
        [],
      );
    }),
  );
});
