/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against malformed responses of the store, or malformed records of other writers in them, that hide or erase valid records. */

import { createServer } from 'node:http';
import { EventLog } from '@gentiandrum/mesh';
import { type NewestResult, type ReadResult, StoreClient } from '@gentiandrum/platform';
import { describe, it } from '../support/describe.js';

const kMaxCalls = 20;

/** Calls a store that responds to each call with the next body, and to the calls after them with the last one. */
async function withStore<T>(bodies: Buffer[], call: (client: StoreClient) => Promise<T>): Promise<T> {
  let calls = 0;
  const server = createServer((_, res) => {
    calls++;
    res.writeHead(calls > kMaxCalls ? 503 : 200).end(bodies[Math.min(calls, bodies.length) - 1]);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = server.address();
  const client = new StoreClient(`127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`, new EventLog('h1', 0, 0));
  try {
    return await call(client);
  } finally {
    await client.close();
    server.close();
    if (calls > kMaxCalls) {
      throw new Error(`expected at most ${kMaxCalls} calls`);
    }
  }
}

function newest(...pages: object[]): Promise<NewestResult> {
  return withStore(
    pages.map((page) => Buffer.from(JSON.stringify(page))),
    (client) => client.newest('t'),
  );
}

/** Encodes a record; `length` and `keyLength` override the actual ones. */
function frame(key: string, value: string, length = 1 + key.length + value.length, keyLength = key.length): Buffer {
  const head = Buffer.alloc(5);
  head.writeUInt32BE(length);
  head.writeUInt8(keyLength, 4);
  return Buffer.concat([head, Buffer.from(key + value)]);
}

async function read(...frames: Buffer[]): Promise<ReadResult> {
  const offsets = Buffer.alloc(16);
  offsets.writeBigUInt64BE(100n);
  return withStore([Buffer.concat([offsets, ...frames])], (client) => client.read('t', 7, 0));
}

describe('a page of the newest records', () => {
  const item = { key: 'h1', value: Buffer.from('v').toString('base64'), offset: 3 };

  // One such item hid all records of the topic.
  it('should be used without its malformed items', async (t) => {
    const odd = [null, [], {}, { key: 7, value: 'dg==' }, { key: 'h2', value: null }, { key: 'h3', value: 1e308 }];
    const result = await newest({ items: [...odd, item], has_more: false, end_offset: 9 });
    t.deepEqual(result, { kind: 'newest', records: [{ key: 'h1', value: Buffer.from('v') }], next: 9 });
  });

  // The client requested the same page without end, and kept the records of each.
  it('should not be requested again when it does not advance', async (t) => {
    const page = { items: [item], has_more: true, end_offset: 9 };
    const other = { items: [{ ...item, key: 'h2' }], has_more: true, end_offset: 9 };
    for (const pages of [[page, page], [page, other, page], [{ ...page, items: [] }], [{ ...page, items: [null] }]]) {
      t.is((await newest(...pages)).kind, 'unavailable');
    }
  });

  // Reading on from such an offset failed each time.
  it('should not be used when its end is not an offset', async (t) => {
    for (const end of [1.5, -1, 1e308, null, '9']) {
      t.is((await newest({ items: [item], has_more: false, end_offset: end })).kind, 'unavailable');
    }
  });
});

describe('records read from the store', () => {
  const valid = frame('h1', 'v');
  const records = [{ key: 'h1', value: Buffer.from('v') }];

  // A key that was cut off, without a value, erased the host of that name.
  it('should be used without malformed ones among them, and erase nothing for those', async (t) => {
    const empty = Buffer.alloc(4);
    const result = await read(empty, frame('h2', '', 3, 200), valid, frame('h3', 'v', 4, 5));
    t.deepEqual(result, { kind: 'records', records, next: 11, complete: false });
  });

  // The part of a record that had arrived was used as a whole one, and erased its host when only the key had arrived.
  it('should not be used when they exceed the response, nor be skipped', async (t) => {
    t.deepEqual(await read(valid, frame('h2', '', 9_000)), { kind: 'records', records, next: 8, complete: false });
    t.is((await read(frame('h2', '', 0xffffffff))).kind, 'unavailable');
    t.is((await read(valid.subarray(0, 3))).kind, 'unavailable');
  });
});
