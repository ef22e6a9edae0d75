/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against superfluous store calls and against lost, incomplete or stale host records. */

import type { TargetRecord } from '@gentiandrum/core';
import { EventLog, type RecordChange } from '@gentiandrum/mesh';
import { StoreClient, StoreRecordLog } from '@gentiandrum/platform';
import { describe, itSerial } from '../support/describe.js';
import { StoreStandin } from './storeStandin.js';

const kTopic = 'keyed.gentiandrum-hosts';
const kPollMs = 10;
const kTimeoutMs = 10_000;

function recordOf(host: string, revision = 1): TargetRecord {
  return { host, zone: 'z1', peers: '127.0.0.1:1', service: 's', instance: `i-${host}`, state: 'ready', slots: 5, epoch: 1, revision };
}

async function withRecords(body: (store: StoreStandin, records: StoreRecordLog, seen: RecordChange[]) => Promise<void>): Promise<void> {
  const store = new StoreStandin();
  const client = new StoreClient(await store.start(), new EventLog('h1', 0, 0));
  const records = new StoreRecordLog(client, new EventLog('h1', 0, 0));
  const seen: RecordChange[] = [];
  records.onChanges((batch) => seen.push(...batch));
  try {
    await body(store, records, seen);
  } finally {
    records.stop();
    store.close();
    await client.close();
  }
}

async function waitUntil(what: string, condition: () => boolean): Promise<void> {
  const deadline = performance.now() + kTimeoutMs;
  while (!condition()) {
    if (performance.now() > deadline) {
      throw new Error(`expected ${what}`);
    }
    await new Promise((resolve) => setTimeout(resolve, kPollMs));
  }
}

describe('records in the store', () => {
  itSerial('should be appended in one call and read back unchanged', (t) =>
    withRecords(async (store, records, seen) => {
      t.true(await records.append([recordOf('h1'), recordOf('h2'), recordOf('h3')]));
      t.is(store.calls, 1);
      t.true(await records.readNewest());
      t.is(store.calls, 2);
      t.deepEqual(
        seen.map((change) => (change.kind === 'record' ? change.record : undefined)),
        [recordOf('h1'), recordOf('h2'), recordOf('h3')],
      );
    }),
  );

  itSerial('should cause no calls unless they are requested', (t) =>
    withRecords(async (store, records) => {
      await records.readNewest();
      store.put(kTopic, 'h1', JSON.stringify(recordOf('h1')));
      t.is(store.calls, 1);
      t.false(records.failing);
    }),
  );

  itSerial('should be read once for concurrent requests', (t) =>
    withRecords(async (store, records) => {
      t.deepEqual(await Promise.all([records.readNewest(), records.readNewest(), records.readNewest()]), [true, true, true]);
      t.is(store.calls, 1);
    }),
  );

  itSerial('should be reported while followed, including those written before the first read', (t) =>
    withRecords(async (store, records, seen) => {
      store.put(kTopic, 'h1', JSON.stringify(recordOf('h1')));
      records.follow(true);
      await waitUntil('the first record', () => seen.length === 1);
      store.put(kTopic, 'h2', JSON.stringify(recordOf('h2')));
      await waitUntil('the second record', () => seen.length === 2);
      store.put(kTopic, 'h1', '');
      await waitUntil('the erasure', () => seen.length === 3);
      t.deepEqual(seen.at(-1), { kind: 'erased', host: 'h1' });
    }),
  );

  itSerial('should report failing calls and recovery', (t) =>
    withRecords(async (store, records) => {
      store.mode = 'busy';
      t.false(await records.readNewest());
      t.true(records.failing);
      t.is(records.respondedAt, -Infinity);
      t.false(await records.append([recordOf('h1')]));
      store.mode = 'serving';
      t.true(await records.readNewest());
      t.false(records.failing);
      t.true(records.respondedAt > 0);
    }),
  );
});
