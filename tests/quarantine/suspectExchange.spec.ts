/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { type Suspicion } from '@gentiandrum/core';
import { Logger, SuspectService } from '@gentiandrum/daemon';
import { describe, itSerial } from '../support/describe.js';
import { withFakeClock } from '../support/fakeClock.js';

const kAddress = '10.1.0.8:9464';

function suspicion(fingerprint: string, crashes: number[], more: Partial<Suspicion> = {}): Suspicion {
  const marks = crashes.map((crash) => ({ crash, at: 0, tested: false, cleared: false, released: false }));
  return { fingerprint, screen: 1, route: 'read', marks, ...more };
}

/** A daemon that knows `known`, and the addresses of the daemons that it sent its suspicions to. */
function createService(known: readonly Suspicion[]): { service: SuspectService; told: string[] } {
  const told: string[] = [];
  const view = { sampleAlive: () => [] };
  const peers = {
    tellSuspects: (address: string) => {
      told.push(address);
      return Promise.resolve([]);
    },
  };
  const service = new SuspectService(view as never, peers as never, new Logger('error', 'b1'));
  service.mergeFromPeer(known);
  return { service, told };
}

describe('the digest of suspicions', () => {
  itSerial('should be 0 without any', (t) => {
    t.is(createService([]).service.digest, 0);
  });

  itSerial('should be equal at daemons that know the same, whatever came first and runs where', (t) => {
    const a = suspicion('aa', [1, 2]);
    const b = suspicion('bb', [3]);
    const run = { host: 'b2', run: 1, remainingMs: 1_000 };
    const first = createService([a, b]).service.digest;
    const second = createService([b, suspicion('aa', [2, 1], { runs: [run] as never })]).service.digest;
    t.not(first, 0);
    t.is(first, second);
  });

  itSerial('should differ when a crash, a release or a fingerprint is unknown', (t) => {
    const released = suspicion('aa', [1]);
    const digests = [
      [suspicion('aa', [1])],
      [suspicion('aa', [1, 2])],
      [suspicion('aa', [1, 2]), suspicion('bb', [1])],
      [{ ...released, marks: [...suspicion('aa', [1, 2]).marks.slice(1), ...released.marks.map((mark) => ({ ...mark, released: true }))] }],
    ].map((known) => createService(known).service.digest);
    t.is(new Set(digests).size, digests.length);
  });
});

describe('an exchange of all suspicions', () => {
  // Guards against daemons that differ for good, as they know more than a message holds, and would exchange at each ping.
  itSerial('should not be repeated within three seconds', (t) => {
    withFakeClock((clock) => {
      const { service, told } = createService([suspicion('aa', [1])]);
      void service.exchangeWith(kAddress);
      clock.tick(2_999);
      void service.exchangeWith(kAddress);
      t.deepEqual(told, [kAddress]);
      clock.tick(1);
      void service.exchangeWith(kAddress);
      t.is(told.length, 2);
    });
  });
});
