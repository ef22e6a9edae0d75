/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against a response of the store to an earlier call that is taken for the one to the next call on its connection. */

import { setTimeout as pause } from 'node:timers/promises';
import { EventLog } from '@gentiandrum/mesh';
import { StoreClient } from '@gentiandrum/platform';
import { describe, it } from '../support/describe.js';
import { RawTarget, type RawRequest } from './rawTarget.js';

const kCalls = 20;
const kIdleMs = 3;
/** Longer than a response may take, in milliseconds. */
const kLateMs = 1_200;

/** Response to a read with no records, whose end offset is in the path of the call. */
function responseTo({ path }: RawRequest): Buffer {
  const offsets = Buffer.alloc(16);
  offsets.writeBigUInt64BE(BigInt(/from=(\d+)/.exec(path)?.[1] ?? 0));
  return Buffer.concat([Buffer.from('HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n'), offsets]);
}

/** Whether a read from this offset gets the response to itself, or none. */
async function readsOwn(client: StoreClient, from: number): Promise<'own' | 'none' | 'other'> {
  const result = await client.read('keyed.t', from, 0);
  if (result.kind !== 'records') {
    return 'none';
  }
  // Each call reads from a smaller offset than the ones before it, at which the topic ends.
  return result.complete && result.next === from ? 'own' : 'other';
}

async function withStore(respond: (req: RawRequest) => void, body: (client: StoreClient) => Promise<void>): Promise<void> {
  const store = new RawTarget(respond);
  await store.start();
  const client = new StoreClient(store.address, new EventLog('h1', 0, 0));
  try {
    await body(client);
  } finally {
    await client.close();
    store.close();
  }
}

describe('a store that responds to a call twice', () => {
  for (const [name, idleMs] of [
    ['in one read', 0],
    ['while the connection is idle', 1],
  ] as const) {
    it(`should not have the second response taken for the next one when it arrives ${name}`, async (t) => {
      const respond = (req: RawRequest): void => {
        const response = responseTo(req);
        req.connection.write(idleMs === 0 ? Buffer.concat([response, response]) : response);
        setTimeout(() => idleMs > 0 && req.connection.write(response), idleMs);
      };
      await withStore(respond, async (client) => {
        for (let from = kCalls; from > 0; from--) {
          t.is(await readsOwn(client, from), 'own');
          await pause(kIdleMs);
        }
      });
    });
  }
});

describe('a store that responds after the call was given up', () => {
  it('should not have that response taken for the one to the next call', async (t) => {
    const respond = (req: RawRequest): void => {
      setTimeout(() => req.connection.write(responseTo(req)), req.position === 0 && req.path.includes('from=9') ? kLateMs : 0);
    };
    await withStore(respond, async (client) => {
      t.is(await readsOwn(client, 9), 'none');
      for (let from = 8; from > 0; from--) {
        t.is(await readsOwn(client, from), 'own');
        await pause(kLateMs / 8);
      }
    });
  });
});
