/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against a daemon that accepts calls after its start before it knows which requests crash targets. */

import { TargetDirectory, type TargetRecord } from '@gentiandrum/core';
import { EventLog, HostRecords, type HostRecordsDeps, type RecordChange } from '@gentiandrum/mesh';
import { meshSettingsSchema } from '@gentiandrum/protocol';
import { type Clock, install } from '@sinonjs/fake-timers';
import { describe, itSerial } from '../support/describe.js';

const kPeerWaitMs = 500;

interface StartedRecords {
  records: HostRecords;
  /** Delivers a full read of the log with the records of these hosts. */
  readLog: (...hosts: string[]) => void;
  clock: Clock;
}

function recordOf(host: string): TargetRecord {
  return { host, zone: 'z1', peers: '', service: 's', instance: host, state: 'ready', slots: 20, epoch: 1, revision: 1 };
}

/** Starts the records of host `a` with a fake gate, log and clock. */
function withRecords(body: (started: StartedRecords) => void): void {
  const clock = install({ now: 0, toFake: ['performance', 'Date', 'setTimeout', 'clearTimeout'] });
  const none = (): undefined => undefined;
  let deliver: (changes: RecordChange[], complete: boolean) => void = none;
  const fakes = {
    settings: meshSettingsSchema.parse({
      id: 'a',
      zone: 'z1',
      listen: { calls: '127.0.0.1:1', peers: '127.0.0.1:2', ready: '127.0.0.1:3', announcements: '127.0.0.1:4' },
      target: { address: '127.0.0.1:5', service: 's' },
      log: { address: '127.0.0.1:6' },
    }),
    gate: () => ({ advertisedState: { ...recordOf('a'), state: 'unknown' }, restore: none, endRecovery: none }),
    directory: new TargetDirectory(),
    suspects: { restore: none, mergeFromPeer: none },
    placement: { resetHost: none, markReachable: none },
    log: { onChanges: (listener: typeof deliver) => (deliver = listener) },
    follower: () => ({ beginFullRead: none, recordLogged: none, recordUpdated: none, ownRecordLogged: none }),
    onFullRead: none,
    onRecovered: none,
    broadcast: none,
    events: new EventLog('a', 0, 0),
  };
  const records = new HostRecords(fakes as unknown as HostRecordsDeps);
  try {
    records.start();
    const readLog = (...hosts: string[]): void => {
      deliver(
        hosts.map((host) => ({ kind: 'record', record: recordOf(host) })),
        true,
      );
    };
    body({ records, readLog, clock });
  } finally {
    records.stop();
    clock.uninstall();
  }
}

describe('a daemon that starts', () => {
  itSerial('should accept no calls until another daemon has sent the suspects that it knows', (t) => {
    withRecords(({ records, readLog }) => {
      readLog('b', 'c');
      t.false(records.recovered);
      records.suspectsReceived();
      t.true(records.recovered);
    });
  });

  itSerial('should accept calls once it has read the log if another daemon sent its suspects before', (t) => {
    withRecords(({ records, readLog }) => {
      records.suspectsReceived();
      t.false(records.recovered);
      readLog('b');
      t.true(records.recovered);
    });
  });

  itSerial('should accept calls half a second after it has read the log if no other daemon can be reached', (t) => {
    withRecords(({ records, readLog, clock }) => {
      readLog('b');
      clock.tick(kPeerWaitMs - 1);
      t.false(records.recovered);
      clock.tick(1);
      t.true(records.recovered);
    });
  });

  itSerial('should accept calls at once after it has read the log if there is no other host', (t) => {
    withRecords(({ records, readLog }) => {
      readLog('a');
      t.true(records.recovered);
    });
  });
});
