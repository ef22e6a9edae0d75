/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Tests the log calls of a zone and the propagation of changes when readers or the log fail, in virtual time without a network. */

import { monotonicMs, type TargetRecord, TargetDirectory } from '@gentiandrum/core';
import { type ConfigSource, EventLog, LogFollower, type PeerMessage, type RecordLog } from '@gentiandrum/mesh';
import { type MeshSettings, meshSettingsSchema } from '@gentiandrum/protocol';
import { describe, itSerial } from '../support/describe.js';
import { VirtualTime } from '../support/virtualTime.js';

const kZone = 'z1';
const kTickMs = 100;
const kReadDurationMs = 3_000;
const kInForceMs = 2_000;
/** Number of daemons that each daemon notifies of a new version. */
const kSpread = 4;

function settingsOf(id: string, firstStart: boolean): MeshSettings {
  return meshSettingsSchema.parse({
    id,
    zone: kZone,
    listen: { calls: '127.0.0.1:1', peers: '127.0.0.1:2', ready: '127.0.0.1:3', announcements: '127.0.0.1:4' },
    target: { address: '127.0.0.1:5', service: 'reads' },
    log: { address: '127.0.0.1:6', firstStart },
    inForceMs: kInForceMs,
  });
}

/** Fake log that counts calls, and refuses those of some hosts. */
class FakeLog {
  calls = 0;
  appends = 0;
  version = 1;
  readonly refused = new Set<string>();
  readonly written = new Map<string, TargetRecord>();
}

/** Fake topic: each successful read takes `kReadDurationMs`, and delivers a new version at once. */
class FakeView {
  respondedAt = -Infinity;
  failing = false;
  following = false;
  private _nextRead = 0;

  constructor(
    private readonly _log: FakeLog,
    private readonly _host: string,
    private readonly _time: VirtualTime,
    private readonly _onResponse: () => void,
  ) {}

  follow(on: boolean): void {
    this.following = on;
  }

  readNewest(): Promise<boolean> {
    return Promise.resolve(this._call());
  }

  stop(): void {
    this.following = false;
  }

  /** Advances a pending read; called at each tick. */
  step(): void {
    if (this.following && this._time.now >= this._nextRead) {
      this._nextRead = this._time.now + (this._call() ? kReadDurationMs : 1_200);
    } else if (this.following && !this.failing) {
      this._onResponse();
    }
  }

  private _call(): boolean {
    this._log.calls++;
    this.failing = this._log.refused.has(this._host);
    if (!this.failing) {
      this.respondedAt = monotonicMs();
      this._onResponse();
    }
    return !this.failing;
  }
}

class FakeDaemon {
  readonly directory = new TargetDirectory();
  readonly follower: LogFollower;
  readonly configs: FakeView;
  readonly records: FakeView;
  version = 0;
  alive = true;

  constructor(
    readonly host: string,
    zone: FakeZone,
    log: FakeLog,
    time: VirtualTime,
  ) {
    this.configs = new FakeView(log, host, time, () => {
      this.take(log.version, zone);
    });
    this.records = new FakeView(log, host, time, () => undefined);
    const source: ConfigSource = Object.assign(this.configs, { onConfig: () => undefined, proof: undefined });
    const recordLog: RecordLog = Object.assign(this.records, {
      onChanges: () => undefined,
      append: (records: readonly TargetRecord[]) => {
        log.calls++;
        log.appends++;
        records.forEach((record) => log.written.set(record.host, record));
        return Promise.resolve(!log.refused.has(host));
      },
      publish: () => Promise.resolve(true),
      erase: () => Promise.resolve(true),
    });
    this.follower = new LogFollower({
      settings: settingsOf(host, zone.firstStart),
      directory: this.directory,
      configs: source,
      records: recordLog,
      own: () => this.directory.get(host) ?? zone.recordOf(host, 1),
      version: () => this.version,
      sendZone: (message) => {
        zone.deliver(this, message);
      },
      sendTo: (to, message) => {
        zone.deliver(this, message, to);
      },
      events: new EventLog(host, 0, 0),
    });
  }

  /** Applies a newer version, and notifies other daemons. */
  take(version: number, zone: FakeZone): void {
    if (version > this.version) {
      this.version = version;
      zone.spread(this);
    }
  }
}

/** Fully linked daemons of one zone. */
class FakeZone {
  readonly log = new FakeLog();
  readonly daemons: FakeDaemon[];
  now = 0;

  constructor(
    count: number,
    private readonly _time: VirtualTime,
    readonly firstStart = false,
  ) {
    this.daemons = Array.from({ length: count }, (_, i) => new FakeDaemon(`host-${i}`, this, this.log, _time));
    for (const daemon of this.daemons) {
      this.daemons.forEach(({ host }) => daemon.directory.merge(this.recordOf(host, 1)));
      daemon.follower.start();
      daemon.follower.beginFullRead();
    }
  }

  recordOf(host: string, revision: number): TargetRecord {
    return { host, zone: kZone, peers: '', service: 'reads', instance: `i-${host}`, state: 'ready', slots: 5, epoch: 1, revision };
  }

  get readers(): FakeDaemon[] {
    return this.daemons.filter(({ alive, follower }) => alive && follower.readsLog);
  }

  /** Kills a daemon; `seen` when the other daemons notice that its connections are reset. */
  kill(daemon: FakeDaemon, seen: boolean): void {
    daemon.alive = false;
    if (seen) {
      this.daemons.forEach(({ follower }) => {
        follower.setReachable(daemon.host, false);
      });
    }
  }

  deliver(from: FakeDaemon, message: PeerMessage, to?: string): void {
    for (const daemon of this.daemons) {
      if (daemon !== from && daemon.alive && (to === undefined || daemon.host === to)) {
        this._take(daemon, from, message);
      }
    }
  }

  /** Notifies `kSpread` other daemons of a version. */
  spread(from: FakeDaemon): void {
    const at = this.daemons.indexOf(from);
    for (let i = 1; i <= kSpread; i++) {
      const to = this.daemons[(at + i * i) % this.daemons.length];
      if (to?.alive) {
        to.take(from.version, this);
      }
    }
  }

  /** Advances the virtual time; promises settle between the ticks. */
  async run(ms: number): Promise<void> {
    const end = this.now + ms;
    while (this.now < end) {
      this.now += kTickMs;
      this._time.runUntil(this.now);
      for (const daemon of this.daemons.filter(({ alive }) => alive)) {
        daemon.follower.check();
        daemon.configs.step();
        daemon.records.step();
      }
      await new Promise(setImmediate);
    }
  }

  private _take(daemon: FakeDaemon, from: FakeDaemon, message: PeerMessage): void {
    switch (message.type) {
      case 'reading':
        daemon.follower.recordReport(from.host, message.well);
        daemon.take(message.version, this);
        return;
      case 'logged':
        daemon.follower.ownRecordLogged(message.epoch, message.revision);
        return;
      default:
    }
  }
}

async function withZone(count: number, body: (zone: FakeZone) => Promise<void>): Promise<void> {
  const time = new VirtualTime();
  try {
    const zone = new FakeZone(count, time);
    await zone.run(3_000);
    await body(zone);
    zone.daemons.forEach(({ follower }) => {
      follower.stop();
    });
  } finally {
    time.restore();
  }
}

describe('the initial start of a deployment', () => {
  itSerial('should have no reader while hosts are still discovering each other', async (t) => {
    const time = new VirtualTime();
    try {
      const zone = new FakeZone(40, time, true);
      await zone.run(1_900);
      t.false(zone.daemons.some(({ configs, records }) => configs.following || records.following));
      await zone.run(1_000);
      t.is(zone.daemons.filter(({ configs }) => configs.following).length, 2);
      zone.daemons.forEach(({ follower }) => {
        follower.stop();
      });
    } finally {
      time.restore();
    }
  });
});

describe('the log calls of a zone', () => {
  itSerial('should not grow with the number of hosts', async (t) => {
    const calls: number[] = [];
    for (const count of [10, 40]) {
      await withZone(count, async (zone) => {
        zone.log.calls = 0;
        await zone.run(30_000);
        calls.push(zone.log.calls);
      });
    }
    const [few = 0, many = 0] = calls;
    t.true(few <= 35, String(few));
    t.true(many <= few + 5, String(many));
  });

  itSerial('should write the records of all hosts in a few appends', (t) =>
    withZone(40, async (zone) => {
      await zone.run(10_000);
      t.is(zone.log.written.size, 40);
      t.true(zone.log.appends <= 3, String(zone.log.appends));
    }),
  );

  itSerial('should stay few while the log is unavailable', (t) =>
    withZone(40, async (zone) => {
      zone.daemons.forEach(({ host }) => zone.log.refused.add(host));
      await zone.run(5_000);
      zone.log.calls = 0;
      await zone.run(20_000);
      // Readers keep retrying, while the other members poll at increasing intervals.
      t.true(zone.log.calls <= 260, String(zone.log.calls));
    }),
  );
});

describe('a new version', () => {
  /** Time until every running daemon has the version, in milliseconds. */
  async function spreadMs(zone: FakeZone): Promise<number> {
    const from = zone.now;
    zone.log.version++;
    while (zone.daemons.some(({ alive, version }) => alive && version < zone.log.version)) {
      await zone.run(kTickMs);
      if (zone.now - from > 20_000) {
        return Infinity;
      }
    }
    return zone.now - from;
  }

  itSerial('should reach all daemons though only the readers follow the log', (t) =>
    withZone(40, async (zone) => {
      t.is(zone.readers.length, 2);
      t.true((await spreadMs(zone)) <= 700);
    }),
  );

  itSerial('should arrive in time when one reader is killed or freezes', async (t) => {
    for (const seen of [true, false]) {
      await withZone(40, async (zone) => {
        const [reader] = zone.readers;
        if (reader) {
          zone.kill(reader, seen);
        }
        t.true((await spreadMs(zone)) < kInForceMs);
      });
    }
  });

  itSerial('should arrive in time when both readers are killed or freeze', async (t) => {
    for (const seen of [true, false]) {
      await withZone(40, async (zone) => {
        zone.readers.forEach((reader) => {
          zone.kill(reader, seen);
        });
        t.true((await spreadMs(zone)) < kInForceMs);
      });
    }
  });

  itSerial('should arrive in time when the log refuses the readers and a third of the other daemons', (t) =>
    withZone(40, async (zone) => {
      zone.readers.forEach(({ host }) => zone.log.refused.add(host));
      zone.daemons.filter((_, i) => i % 3 === 0).forEach(({ host }) => zone.log.refused.add(host));
      await zone.run(4_000);
      t.true((await spreadMs(zone)) < kInForceMs);
    }),
  );

  itSerial('should reach all daemons within seconds once the log is available again', (t) =>
    withZone(40, async (zone) => {
      zone.daemons.forEach(({ host }) => zone.log.refused.add(host));
      await zone.run(15_000);
      zone.log.refused.clear();
      t.true((await spreadMs(zone)) <= 2_500);
    }),
  );
});

describe('a record that no reader writes', () => {
  itSerial('should be written by its host', (t) =>
    withZone(10, async (zone) => {
      await zone.run(5_000);
      const member = zone.daemons.find(({ follower }) => !follower.readsLog);
      member?.directory.merge(zone.recordOf(member.host, 2));
      await zone.run(8_000);
      t.is(zone.log.written.get(member?.host ?? '')?.revision, 2);
    }),
  );
});
