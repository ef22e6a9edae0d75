/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { type CrashMark, fingerprintOf, mergeMarks, type RequestIdentity, screenOf, SuspectTable } from '@gentiandrum/core';
import fc from 'fast-check';
import { describe, it, itSerial } from '../support/describe.js';
import { VirtualTime } from '../support/virtualTime.js';

const kHourMs = 60 * 60_000;
const kIdentity: RequestIdentity = { method: 'GET', host: 'app.example', path: '/a?b=1', body: new Uint8Array() };

/** Records a crash during which the request was in flight, as a probe when the verdict is `trial`. */
function crash(table: SuspectTable, id: number, identity = kIdentity): void {
  table.crashed({ id, at: id }, [{ identity, route: 'r', tested: table.verdict(fingerprintOf(identity)) === 'trial' }]);
}

const aMark = fc.record({
  crash: fc.integer({ min: 1, max: 12 }),
  tested: fc.boolean(),
  cleared: fc.boolean(),
  released: fc.boolean(),
});
/** Derives the time from the crash id, as all reports of one crash carry the same time. */
const someMarks = fc
  .uniqueArray(aMark, { selector: ({ crash: id }) => id, maxLength: 12 })
  .map((marks): CrashMark[] => marks.map((mark) => ({ ...mark, at: mark.crash * 10 })));

function merge(a: readonly CrashMark[], b: readonly CrashMark[]): readonly CrashMark[] {
  return mergeMarks(a, b) ?? a;
}

describe('a request fingerprint', () => {
  it('should depend on method, host, path with query and body, without collisions between shifted parts', (t) => {
    const others: RequestIdentity[] = [
      { ...kIdentity, method: 'POST' },
      { ...kIdentity, host: 'other.example' },
      { ...kIdentity, path: '/a?b=2' },
      { ...kIdentity, body: Buffer.from('x') },
      { ...kIdentity, body: Buffer.from('y') },
      { ...kIdentity, host: 'app.example/a', path: '?b=1' },
      { ...kIdentity, method: 'GETapp', host: '.example' },
    ];
    const fingerprints = [kIdentity, ...others].map(fingerprintOf);
    t.is(new Set(fingerprints).size, fingerprints.length);
    t.is(fingerprintOf({ ...kIdentity, host: 'APP.example' }), fingerprintOf(kIdentity));
    t.is(screenOf({ ...kIdentity, body: Buffer.from('x') }), screenOf({ ...kIdentity, body: Buffer.from('y') }));
  });
});

describe('the suspicions of a table', () => {
  it('should merge to the same result regardless of order and repetition', (t) => {
    fc.assert(
      fc.property(someMarks, someMarks, someMarks, (a, b, c) => {
        const start = merge([], a);
        t.deepEqual(merge(merge(start, b), c), merge(merge(start, c), b));
        const known = merge(merge(start, b), c);
        t.is(mergeMarks(known, b), undefined);
        t.is(mergeMarks(known, known), undefined);
      }),
    );
    t.pass();
  });

  it('should be cleared when a request completes, except for crashes during a probe', (t) => {
    const table = new SuspectTable();
    const fingerprint = fingerprintOf(kIdentity);
    crash(table, 1);
    t.is(table.verdict(fingerprint), 'suspect');
    table.completed(fingerprint);
    t.is(table.verdict(fingerprint), 'clear');
    crash(table, 2);
    t.is(table.verdict(fingerprint), 'clear');
    crash(table, 3);
    t.is(table.verdict(fingerprint), 'trial');
    crash(table, 4);
    t.is(table.verdict(fingerprint), 'quarantined');
    t.is(table.verdict(fingerprintOf({ ...kIdentity, path: '/other' })), 'clear');
  });

  itSerial('should quarantine for one hour, then two, then four, then until a release', (t) => {
    const time = new VirtualTime();
    try {
      const table = new SuspectTable();
      const fingerprint = fingerprintOf(kIdentity);
      [1, 2, 3].forEach((id) => {
        crash(table, id);
      });
      for (const [i, hours] of [1, 2, 4].entries()) {
        time.runUntil(time.now + hours * kHourMs);
        t.is(table.verdict(fingerprint), 'quarantined');
        time.runUntil(time.now + 1);
        t.is(table.verdict(fingerprint), 'trial');
        crash(table, 4 + i);
        table.prune();
      }
      time.runUntil(time.now + 1_000 * kHourMs);
      t.is(table.verdict(fingerprint), 'quarantined');
      t.is(table.release('another').length, 0);
      t.is(table.release(fingerprint).length, 1);
      t.is(table.verdict(fingerprint), 'clear');
    } finally {
      time.restore();
    }
  });

  itSerial('should quarantine for only 30 seconds without a crash during a probe', (t) => {
    const time = new VirtualTime();
    try {
      const table = new SuspectTable();
      [1, 2, 3].forEach((id) => {
        table.crashed({ id, at: id }, [{ identity: kIdentity, route: 'r', tested: false }]);
      });
      t.is(table.verdict(fingerprintOf(kIdentity)), 'quarantined');
      time.runUntil(30_001);
      t.is(table.verdict(fingerprintOf(kIdentity)), 'trial');
      table.completed(fingerprintOf(kIdentity));
      t.is(table.verdict(fingerprintOf(kIdentity)), 'clear');
    } finally {
      time.restore();
    }
  });

  it('should be limited to 1,000 fingerprints, keeping the most severe', (t) => {
    const table = new SuspectTable();
    [1, 2, 3].forEach((id) => {
      crash(table, id);
    });
    const others = Array.from({ length: 1_500 }, (_, i) => ({ identity: { ...kIdentity, path: `/${i}` }, route: 'r', tested: false }));
    table.crashed({ id: 4, at: 4 }, others);
    t.is(table.size, 1_000);
    t.is(table.verdict(fingerprintOf(kIdentity)), 'quarantined');
    t.truthy(table.find(kIdentity));
  });
});
