/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { ChainModel, GateLevel, TargetDirectory, type TargetRecord } from '@gentiandrum/core';
import { RoomFollower } from '@gentiandrum/mesh';
import type { Clock } from '@sinonjs/fake-timers';
import { describe, itSerial } from '../support/describe.js';
import { withFakeClock } from '../support/fakeClock.js';

const kColdMs = 10_000;

function recordOf(host: string, changes: Partial<TargetRecord> = {}): TargetRecord {
  const fixed = { zone: 'a', peers: '', service: 's', instance: host, state: 'ready', slots: 10, epoch: 1, revision: 1 } as const;
  return { host, ...fixed, ...changes };
}

class Fixture {
  readonly directory = new TargetDirectory();
  readonly chains = new ChainModel();
  readonly changes: unknown[] = [];
  allHostsKnown = true;
  readonly follower = new RoomFollower({
    settings: { id: 'h0', load: { followRoom: true } as never },
    directory: this.directory,
    chains: this.chains,
    allHostsKnown: () => this.allHostsKnown,
    events: { info: (_part, _text, fields) => this.changes.push(fields) },
  });
  private readonly _level = new GateLevel();

  constructor(
    private readonly _clock: Clock,
    hosts: number,
    firstCheckMs = 6_000,
  ) {
    Array.from({ length: hosts }, (_, i) => this.directory.merge(recordOf(`h${i}`)));
    this.checkAfter(firstCheckMs);
  }

  /** Returns the capacity at a check after some time. */
  checkAfter(ms: number): number {
    this._clock.tick(ms);
    this.follower.check(this._level, kColdMs);
    return this.follower.state.capacity;
  }
}

describe('capacity of a service at a gate', () => {
  itSerial('should exclude hosts that are gone, not ready or not reachable, and log each change', (t) => {
    withFakeClock((clock) => {
      const fixture = new Fixture(clock, 5);
      fixture.follower.setReachable('h1', false);
      t.is(fixture.checkAfter(50), 50, 'looks are at least 100 ms apart');
      fixture.directory.presumeGone('h2');
      t.is(fixture.checkAfter(50), 30);
      fixture.directory.merge(recordOf('h3', { state: 'unreachable', revision: 2 }));
      t.is(fixture.checkAfter(100), 20);
      fixture.follower.setReachable('h1', true);
      t.is(fixture.checkAfter(100), 30);
      t.is(fixture.changes.length, 3);
      t.like(fixture.changes[1], { before: 30, after: 20, hosts: 2 });
    });
  });

  itSerial('should count an added target as cold, but not one that becomes reachable again', (t) => {
    withFakeClock((clock) => {
      const fixture = new Fixture(clock, 2);
      fixture.directory.merge(recordOf('h2'));
      t.is(fixture.checkAfter(100), 25);
      t.is(fixture.checkAfter(kColdMs - 1_000), 27.5);
      t.is(fixture.checkAfter(1_000), 30);
      fixture.directory.merge(recordOf('h1', { state: 'unreachable', revision: 2 }));
      t.is(fixture.checkAfter(100), 20);
      fixture.directory.merge(recordOf('h1', { revision: 3 }));
      t.is(fixture.checkAfter(100), 30);
    });
  });

  itSerial('should collect small changes, and ignore growth while hosts are unknown', (t) => {
    withFakeClock((clock) => {
      const fixture = new Fixture(clock, 100);
      ['h1', 'h2'].forEach((host) => {
        fixture.follower.setReachable(host, false);
        fixture.checkAfter(100);
      });
      t.is(fixture.changes.length, 0);
      fixture.follower.setReachable('h3', false);
      fixture.checkAfter(100);
      t.like(fixture.changes[0], { before: 1_000, after: 970 });
      fixture.allHostsKnown = false;
      ['h1', 'h2', 'h3'].forEach((host) => {
        fixture.follower.setReachable(host, true);
      });
      t.is(fixture.checkAfter(100), 1_000);
      t.is(fixture.changes.length, 1);
    });
  });

  itSerial('should not take hosts that become known within 5 s of the start for growth', (t) => {
    withFakeClock((clock) => {
      const fixture = new Fixture(clock, 2, 1_000);
      fixture.directory.merge(recordOf('h2'));
      t.is(fixture.checkAfter(100), 30);
      t.is(fixture.changes.length, 0);
    });
  });

  itSerial('should let the level of an unreachable host no longer hide a higher one', (t) => {
    withFakeClock((clock) => {
      const fixture = new Fixture(clock, 2);
      fixture.chains.recordReport('r', 'h0', { level: 0.4, inner: false, height: 0 });
      fixture.chains.recordReport('r', 'h1', { level: 0, inner: false, height: 0 });
      t.is(fixture.chains.level('r'), 0);
      fixture.follower.setReachable('h1', false);
      t.is(fixture.chains.level('r'), 0.4);
      fixture.follower.setReachable('h0', false);
      t.is(fixture.chains.level('r'), 0.4, 'the level of the last host stays');
    });
  });
});
