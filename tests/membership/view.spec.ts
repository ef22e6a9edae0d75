/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { kSuspicionTimeoutMs, type Member, MemberView, seededRandom } from '@gentiandrum/core';
import { describe, it } from '../support/describe.js';

function member(id: string, more: Partial<Member> = {}): Member {
  const rest = { address: id, zone: 'east', region: 'one', target: '', service: '', slots: 0, configVersion: 0 };
  return { id, incarnation: 1, revision: 1, state: 'alive', targetState: 'absent', ...rest, ...more };
}

function view(id: string, others: string[] = []): MemberView {
  const created = new MemberView(member(id), seededRandom(5), 0);
  others.forEach((other) => created.merge(member(other), 0));
  return created;
}

describe('a membership view', () => {
  it('should suspect a daemon before it marks it dead', (t) => {
    const members = view('a', ['b']);
    members.suspect('b', 0);
    members.tick(kSuspicionTimeoutMs - 1);
    t.is(members.get('b')?.state, 'suspect');
    members.tick(kSuspicionTimeoutMs);
    t.is(members.get('b')?.state, 'dead');
  });

  it('should refute suspicion of itself with a higher revision', (t) => {
    const members = view('a');
    members.merge(member('a', { state: 'dead', revision: 4 }), 0);
    t.is(members.self.revision, 5);
    t.is(members.self.state, 'alive');
    const other = view('b');
    other.merge(member('a', { state: 'dead', revision: 4, incarnation: 0 }), 0);
    other.merge(members.self, 0);
    t.is(other.get('a')?.state, 'alive');
  });

  it('should accept a later incarnation, and reject records of the earlier one', (t) => {
    const members = view('a', ['b']);
    members.merge(member('b', { incarnation: 2 }), 0);
    t.false(members.merge(member('b', { state: 'dead', revision: 9 }), 0));
    t.is(members.get('b')?.incarnation, 2);
  });

  it('should agree with other daemons on the holders of the last record of a daemon that shuts down', (t) => {
    const ids = ['a', 'b', 'c', 'd', 'e', 'f', 'g'];
    const holders = (of: string, at: string): string[] =>
      view(
        at,
        ids.filter((id) => id !== at),
      )
        .recordHoldersOf(of)
        .map(({ id }) => id);
    const sentTo = holders('a', 'a');
    t.is(sentTo.length, 3);
    for (const sender of ids.slice(1)) {
      const requestedFrom = holders('a', sender);
      t.is(requestedFrom.length, 3);
      t.deepEqual(
        sentTo.filter((id) => id !== sender),
        requestedFrom.filter((id) => sentTo.includes(id)),
      );
    }
  });

  it('should restart suspicion timeouts after the process was paused', (t) => {
    const members = view('a', ['b']);
    members.suspect('b', 0);
    members.restartSuspicionTimers(60_000);
    members.tick(60_000);
    t.is(members.get('b')?.state, 'suspect');
  });

  it('should probe dead daemons occasionally, to detect the end of a partition', (t) => {
    const members = view('a', ['b', 'c']);
    members.suspect('b', 0);
    members.tick(kSuspicionTimeoutMs);
    const probed = new Set(Array.from({ length: 200 }, () => members.nextProbe()?.id));
    t.true(probed.has('b'));
    members.markAlive('b', 10_000);
    t.is(members.get('b')?.state, 'alive');
  });

  it('should send each change a bounded number of times', (t) => {
    const members = view('a', ['b', 'c', 'd']);
    let sent = 0;
    for (let i = 0; i < 100; i++) {
      sent += members.takeChanges().length;
    }
    t.true(sent > 0 && sent <= 4 * 9, String(sent));
  });

  it('should spread a change to 490 daemons within a few rounds', (t) => {
    const random = seededRandom(9);
    const ids = Array.from({ length: 490 }, (_, i) => `d${i}`);
    const views = ids.map((id) => {
      const created = new MemberView(member(id), random, 0);
      ids.forEach((other) => created.merge(member(other), 0));
      return created;
    });
    for (let i = 0; i < 30; i++) {
      views.forEach((each) => each.takeChanges());
    }
    views[0]?.update({ targetState: 'leaving' }, 1);
    let rounds = 0;
    const knowing = (): number => views.filter((each) => each.get('d0')?.targetState === 'leaving').length;
    while (knowing() < ids.length && rounds < 50) {
      rounds++;
      for (const each of views) {
        const other = views[Math.floor(random() * views.length)];
        each.takeChanges().forEach((change) => other?.merge(change, rounds));
        other?.takeChanges().forEach((change) => each.merge(change, rounds));
      }
    }
    t.true(rounds <= 10, String(rounds));
  });
});
