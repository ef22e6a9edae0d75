/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against a process that holds more bodies than its memory allows, and against memory that is never given back. */

import { hashBody, kMemoryPlaces, MemoryAccount, type MemoryLease, type MemoryPlace } from '@gentiandrum/core';
import fc from 'fast-check';
import { describe, it } from '../support/describe.js';

const kMiB = 2 ** 20;
const kLimit = 16 * kMiB;
const kSeed = 64;
const kHistories = 300;

type Step =
  | { kind: 'hold' | 'reserve' | 'grow'; place: MemoryPlace; bytes: number }
  | { kind: 'grow_again'; index: number; bytes: number }
  | { kind: 'shrink'; index: number; bytes: number }
  | { kind: 'release'; index: number };

const bytesArbitrary = fc.oneof(fc.integer({ min: 0, max: 65_536 }), fc.integer({ min: 65_537, max: kLimit + kMiB }));
const indexArbitrary = fc.nat(20);
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constantFrom('hold', 'reserve', 'grow'), place: fc.constantFrom(...kMemoryPlaces), bytes: bytesArbitrary }),
  fc.record({ kind: fc.constant('grow_again'), index: indexArbitrary, bytes: bytesArbitrary }),
  fc.record({ kind: fc.constant('shrink'), index: indexArbitrary, bytes: bytesArbitrary }),
  fc.record({ kind: fc.constant('release'), index: indexArbitrary }),
);

function reserved(account: MemoryAccount, bytes: number, place: MemoryPlace = 'requests'): MemoryLease {
  const lease = account.open(place);
  lease.reserve(bytes, () => undefined);
  return lease;
}

describe('the memory account', () => {
  it('should grant a reservation that waits once another body is released, those of responses first', (t) => {
    const account = new MemoryAccount(kLimit);
    const first = reserved(account, 10 * kMiB);
    const granted: string[] = [];
    for (const place of ['requests', 'received_responses'] as const) {
      t.is(
        account.open(place).reserve(8 * kMiB, () => granted.push(place)),
        'waiting',
      );
    }
    first.release();
    t.deepEqual(granted, ['received_responses']);
    t.is(account.heldBy('received_responses'), 8 * kMiB);
    t.is(account.waiting, 1);
  });

  it('should tell a body that can never fit from one that has to wait', (t) => {
    const account = new MemoryAccount(kLimit);
    t.is(
      account.open('target_responses').reserve(900_000_000_000, () => undefined),
      'too_long',
    );
    t.is(account.waiting, 0);
  });

  it('should count short bodies while long ones use all that they may', (t) => {
    const account = new MemoryAccount(kLimit);
    reserved(account, (kLimit * 7) / 8);
    t.is(reserved(account, 65_537).bytes, 0);
    t.false(account.full);
    const short = account.open('requests');
    t.true(short.grow(65_536));
    t.is(short.bytes, 65_536);
  });

  it('should drop the longest body of unknown length when another one has no room to grow', (t) => {
    const account = new MemoryAccount(kLimit);
    const dropped: string[] = [];
    const endless = account.open('requests');
    endless.onDropped = () => dropped.push('endless');
    t.true(endless.grow(10 * kMiB));
    const other = account.open('requests');
    other.onDropped = () => dropped.push('other');
    t.true(other.grow(8 * kMiB));
    t.deepEqual(dropped, ['endless']);
    t.false(other.grow(15 * kMiB));
    t.is(account.heldBytes, 8 * kMiB);
  });

  it('should bound a response of unknown length when nothing else is held', (t) => {
    t.false(new MemoryAccount(kLimit).open('target_responses').grow(kLimit / 2 + 1));
  });

  it('should report once that it is exhausted, and once that it is relieved', (t) => {
    const account = new MemoryAccount(kLimit);
    const events: string[] = [];
    account.events = { onExhausted: () => events.push('exhausted'), onRelieved: () => events.push('relieved') };
    const leases = [10, 8, 8].map((mib) => reserved(account, mib * kMiB));
    t.deepEqual(events, ['exhausted']);
    leases.forEach((lease) => {
      lease.release();
    });
    t.deepEqual(events, ['exhausted', 'relieved']);
  });

  it('should hold nothing after any history once all leases are released, however often', (t) => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, { maxLength: 60 }), (steps) => {
        const account = new MemoryAccount(kLimit);
        const leases: MemoryLease[] = [];
        let unchecked = 0;
        for (const step of steps) {
          unchecked += step.kind === 'hold' ? step.bytes : 65_536;
          apply(account, leases, step);
          t.true(account.heldBytes <= kLimit + unchecked);
          t.is(
            account.heldBytes,
            leases.reduce((sum, { bytes }) => sum + bytes, 0),
          );
        }
        for (const lease of [...leases, ...leases]) {
          lease.release();
        }
        t.deepEqual([account.heldBytes, account.waiting, ...kMemoryPlaces.map((place) => account.heldBy(place))], [0, 0, 0, 0, 0, 0, 0]);
      }),
      { seed: kSeed, numRuns: kHistories },
    );
  });
});

function apply(account: MemoryAccount, leases: MemoryLease[], step: Step): void {
  if ('index' in step) {
    const lease = leases[step.index % Math.max(1, leases.length)];
    switch (step.kind) {
      case 'grow_again':
        lease?.grow(step.bytes);
        return;
      case 'shrink':
        lease?.shrink(step.bytes);
        return;
      case 'release':
        lease?.release();
        return;
    }
  }
  const lease = account.open(step.place);
  leases.push(lease);
  switch (step.kind) {
    case 'hold':
      lease.hold(step.bytes);
      return;
    case 'reserve':
      lease.reserve(step.bytes, () => undefined);
      return;
    case 'grow':
      lease.grow(step.bytes);
      return;
  }
}

describe('the hash of a body', () => {
  it('should not depend on how the body is divided into parts', (t) => {
    const body = Buffer.from(Array.from({ length: 200_000 }, (_, i) => (i * 7_919) % 251));
    for (const size of [1_000, 65_536, 131_071]) {
      const parts = Array.from({ length: Math.ceil(body.length / size) }, (_, i) => body.subarray(i * size, (i + 1) * size));
      t.is(hashBody(parts, 3), hashBody(body, 3));
    }
    t.not(hashBody(body.subarray(1), 3), hashBody(body, 3));
  });
});
