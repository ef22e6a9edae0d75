/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against malformed heartbeats, records and configurations from other writers being used or displacing valid ones. */

import { TargetLifecycle, type TargetRecord } from '@gentiandrum/core';
import { EventLog, type RecordChange } from '@gentiandrum/mesh';
import { decodeConfig, platformDialect, StoreClient, StoreRecordLog } from '@gentiandrum/platform';
import fc from 'fast-check';
import { UpstreamStandin } from './upstreamStandin.js';
import { StoreStandin } from './storeStandin.js';
import { withFleet } from '../mesh/meshFleet.js';
import { describe, it, itSerial } from '../support/describe.js';

const kTopic = 'keyed.gentiandrum-hosts';
const kPath = '/v1/instances/i-1';
const kHeartbeat = {
  address: '10.0.0.1:80',
  born: 1_700_000_000_000,
  info: { service: 'reads', version: 'v1', zone: 'z', slots: 8 },
  status: { state: 'ready', sequence: 4, cold_remaining_ms: 0 },
};
const kRecord: TargetRecord = {
  host: 'h1',
  zone: 'z1',
  peers: '127.0.0.1:9',
  service: 'reads',
  instance: 'i-1',
  state: 'ready',
  slots: 8,
  epoch: 1,
  revision: 1,
};

const kSuspicion = { fingerprint: 'f', screen: 1, route: 'r', marks: [] };

/** Log that keeps its warnings. */
class WarningLog extends EventLog {
  readonly lines: string[] = [];

  override warn(...line: Parameters<EventLog['warn']>): void {
    this.lines.push(JSON.stringify(line));
  }
}

type RecordsTest = (store: StoreStandin, records: StoreRecordLog, seen: RecordChange[], lines: readonly string[]) => Promise<void>;

async function withRecords(body: RecordsTest): Promise<void> {
  const store = new StoreStandin();
  const client = new StoreClient(await store.start(), new EventLog('h1', 0, 0));
  const log = new WarningLog('h0', 0, 0);
  const records = new StoreRecordLog(client, log);
  const seen: RecordChange[] = [];
  records.onChanges((changes) => seen.push(...changes));
  try {
    await body(store, records, seen, log.lines);
  } finally {
    records.stop();
    store.close();
    await client.close();
  }
}

/** Generates copies of an object with one field, at any depth, replaced by an arbitrary value. */
function withReplacedField(original: object): fc.Arbitrary<unknown> {
  const paths = fieldPaths(original);
  return fc.tuple(fc.constantFrom(...paths), fc.oneof(fc.constant(undefined), fc.jsonValue())).map(([path, value]) => {
    const copy = structuredClone(original) as Record<string, unknown>;
    let node = copy;
    for (const name of path.slice(0, -1)) {
      node = node[name] as Record<string, unknown>;
    }
    node[path.at(-1) ?? ''] = value;
    return copy;
  });
}

function fieldPaths(object: object, parents: string[] = []): string[][] {
  return Object.entries(object).flatMap(([name, value]) => {
    const path = [...parents, name];
    return typeof value === 'object' && value !== null ? [path, ...fieldPaths(value as object, path)] : [path];
  });
}

describe('heartbeats of other writers', () => {
  it('should be rejected or read as a complete announcement, and never throw', (t) => {
    const bodies = fc.oneof(
      fc.uint8Array({ maxLength: 200 }).map((bytes) => Buffer.from(bytes)),
      fc.json().map((text) => Buffer.from(text)),
      withReplacedField(kHeartbeat).map((value) => Buffer.from(JSON.stringify(value))),
    );
    fc.assert(
      fc.property(fc.constantFrom('PUT', 'DELETE', 'POST'), bodies, (method, body) => {
        const announcement = platformDialect.readAnnouncement(method, kPath, body);
        if (announcement && announcement.state !== 'gone') {
          t.is(typeof announcement.details?.service, 'string');
          t.true((announcement.details?.slots ?? 0) >= 1);
          t.regex(announcement.details?.address ?? '', /^[0-9.]+:\d+$/);
          t.true(announcement.sequence >= 0);
        }
      }),
      { numRuns: 2_000 },
    );
  });

  it('should be read with the start of their incarnation, also on deregistration', (t) => {
    const read = (method: string, body: unknown): number | undefined =>
      platformDialect.readAnnouncement(method, kPath, Buffer.from(JSON.stringify(body)))?.born;
    t.is(read('PUT', kHeartbeat), kHeartbeat.born);
    t.is(read('DELETE', { born: 7 }), 7);
    t.is(read('DELETE', { born: 'x' }), undefined);
    t.is(platformDialect.readAnnouncement('DELETE', kPath, Buffer.alloc(0))?.state, 'gone');
  });

  // A number that no later heartbeat exceeds made all of them count as late, so that a draining target was not noticed.
  it('should not keep later heartbeats from being applied', (t) => {
    const draining = { ...kHeartbeat, status: { ...kHeartbeat.status, state: 'draining', sequence: 5 } };
    const isApplied = (field: string, odd: string): boolean => {
      const lifecycle = new TargetLifecycle(kHeartbeat.address);
      const text = JSON.stringify(kHeartbeat).replace(new RegExp(`("${field}":)[^,}]+`), `$1${odd}`);
      for (const body of [text, JSON.stringify(draining)]) {
        const announcement = platformDialect.readAnnouncement('PUT', kPath, Buffer.from(body));
        if (announcement) {
          lifecycle.announce(announcement);
        }
      }
      const { state, slots, coldMs } = lifecycle.known;
      return state === 'draining' && slots === 8 && coldMs === 0;
    };
    const fields = ['born', 'slots', 'sequence', 'cold_remaining_ms'];
    const cases = fields.flatMap((field) => ['1e308', '1e999', '9007199254740993', '9007199254740991'].map((odd) => [field, odd] as const));
    t.deepEqual(
      cases.filter((each) => !isApplied(...each)),
      [],
    );
  });

  itSerial('should not replace the target', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/a/', service: 'reads' }]);
      const host = await fleet.add('h1', 'reads');
      await fleet.untilServing('/a/warm');
      const stranger = new UpstreamStandin('i-stranger', 'no-service');
      await stranger.start();
      try {
        t.is(await stranger.sendHeartbeat(host.control), 400);
        stranger.address = '10.9.9.9:80';
        const elsewhere = new UpstreamStandin('i-elsewhere', 'reads');
        elsewhere.address = '10.9.9.9:80';
        t.is(await elsewhere.sendHeartbeat(host.control), 400);
        t.is((await fleet.call(host, '/a/x')).status, 200);
        t.is(host.daemon.record.instance, 'i-h1');
      } finally {
        stranger.close();
      }
    }),
  );
});

describe('records of other writers', () => {
  // Connecting to a port above 65535 throws, which ended the daemon's periodic work: no request met its time limit any more.
  itSerial('should not end the periodic work of a daemon when their addresses are impossible', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/a/', service: 'reads', timeoutMs: 400 }]);
      const host = await fleet.add('h1', 'reads');
      await fleet.untilServing('/a/warm');
      fleet.store.put(kTopic, 'h9', JSON.stringify({ ...kRecord, host: 'h9', peers: '127.0.0.1:70000' }));
      fleet.store.put(kTopic, 'h8', JSON.stringify({ ...kRecord, host: 'h8', service: 'other', instance: 'i-8' }));
      await fleet.until('the records to be read', () => host.daemon.knows('h8'));
      host.target.workMs = 3_000;
      t.is((await fleet.call(host, '/a/x', { remainingMs: 1_500 })).status, 504);
      t.false(host.daemon.knows('h9'));
    }),
  );

  itSerial('should be skipped while valid records are read', (t) =>
    withRecords(async (store, records, seen) => {
      const values = fc.sample(withReplacedField(kRecord), { numRuns: 200, seed: 5 });
      values.forEach((value, i) => {
        store.put(kTopic, `bad-${i}`, JSON.stringify(value));
      });
      store.put(kTopic, 'bytes', '\u0000\u0001{');
      store.put(kTopic, 'h1', JSON.stringify(kRecord));
      t.true(await records.readNewest());
      const bad = [...values.map((_, i) => `bad-${i}`), 'bytes'].sort((x, y) => (x < y ? -1 : 1));
      t.deepEqual(seen, [...bad.map((host): RecordChange => ({ kind: 'invalid', host })), { kind: 'record', record: kRecord }]);
    }),
  );

  // One record made a line of ten megabytes.
  itSerial('should be logged with a few of their faults', (t) =>
    withRecords(async (store, records, _, lines) => {
      const calls = Object.fromEntries(Array.from({ length: 15_000 }, (_, i) => [`r${i}`, i]));
      store.put(kTopic, 'h1', JSON.stringify({ ...kRecord, learned: { calls, inner: {} } }));
      store.put(kTopic, 'h2', JSON.stringify({ ...kRecord, suspects: [{ ...kSuspicion, marks: Array(100_000).fill(0) }] }));
      store.put(kTopic, 'h3', JSON.stringify({ ...kRecord, learned: { calls: { ['r'.repeat(200_000)]: 1 }, inner: {} } }));
      t.true(await records.readNewest());
      t.is(lines.length, 3);
      t.true(lines.every((line) => line.length < 1_000));
    }),
  );

  // A run without an end kept a request from running on any other host.
  itSerial('should be used without runs, and not with more suspicions than a host publishes', (t) =>
    withRecords(async (store, records, seen) => {
      const suspects = [{ ...kSuspicion, runs: [{ host: 'h9', startedAt: 1e308, remainingMs: 1e308 }] }];
      store.put(kTopic, 'h1', JSON.stringify({ ...kRecord, suspects }));
      store.put(kTopic, 'h2', JSON.stringify({ ...kRecord, host: 'h2', suspects: Array(9).fill(kSuspicion) }));
      t.true(await records.readNewest());
      t.deepEqual(seen, [
        { kind: 'record', record: { ...kRecord, suspects: [kSuspicion] } },
        { kind: 'invalid', host: 'h2' },
      ]);
    }),
  );
});

describe('configurations', () => {
  it('should be rejected when malformed', (t) => {
    fc.assert(
      fc.property(fc.oneof(fc.json(), fc.string()), (text) => {
        t.is(decodeConfig(Buffer.from(text)), undefined);
      }),
    );
  });

  // A version with more digits was in force, or blocked all later ones.
  it('should be rejected when their version is not one of eight digits, however deeply the rest is nested', (t) => {
    const limits = { max_header_bytes: 16_384, max_body_bytes: 1_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 };
    const text = JSON.stringify({ version: '?', routes: [], services: [], limits, extra: ['?deep'] });
    const deep = text.replace('"?deep"', () => `${'['.repeat(100_000)}${']'.repeat(100_000)}`);
    const decode = (version: string): number | undefined => decodeConfig(Buffer.from(deep.replace('?', version)))?.version;
    for (const odd of ['1fffffffffffff', 'fffffffff', '1e999', '-0000001', '0000000g', '0x00000c', ' 000000c', '', '12']) {
      t.is(decode(odd), undefined, odd);
    }
    t.is(decode('0000000c'), 12);
    t.is(decode('ffffffff'), 0xffffffff);
  });
});
