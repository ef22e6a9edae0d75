/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** What a daemon that leaves can prove of the offers that it took; the story is told in `e2e/leavingDaemon`. */

import { type Effect, type Member, plannedStop, provesNeverTaken, type Reply, TakenOffers } from '@gentiandrum/core';
import { describe, it } from '../support/describe.js';

const kUntil = 1_000;

function offer(attempt: string, from = 'a1'): { attempt: string; from: string; until: number } {
  return { attempt, from, until: kUntil };
}

describe('offers that a daemon took', () => {
  it('should be named while their senders may not know how they ended', (t) => {
    const taken = new TakenOffers<object>();
    const connection = {};
    t.true(taken.take(connection, offer('first')));
    t.deepEqual(taken.leaveProof(0), { unsettled: ['first'] });
    t.false(taken.take(connection, offer('second')));
    t.deepEqual(taken.leaveProof(0), { unsettled: ['second'] });
    t.deepEqual(taken.senders, ['a1']);
    t.is(taken.connections, 1);
  });

  it('should not be named once their sender closed the connection', (t) => {
    const taken = new TakenOffers<object>();
    const connection = {};
    taken.take(connection, offer('first'));
    taken.closed(connection, true, 0);
    t.deepEqual(taken.leaveProof(0), { unsettled: [] });
    t.deepEqual(taken.senders, []);
    t.is(taken.connections, 0);
  });

  it('should be named when their connection broke, until nobody waits any more', (t) => {
    const taken = new TakenOffers<object>();
    const connection = {};
    taken.take(connection, offer('first'));
    taken.closed(connection, false, 0);
    t.deepEqual(taken.leaveProof(kUntil - 1), { unsettled: ['first'] });
    t.deepEqual(taken.leaveProof(kUntil), { unsettled: [] });
  });

  it('should not be named when they were refused, also after their connection broke', (t) => {
    const taken = new TakenOffers<object>();
    const [one, other] = [{}, {}];
    taken.take(one, offer('first'));
    taken.refused(one, 'first');
    taken.take(other, offer('second'));
    taken.closed(other, false, 0);
    taken.refused(other, 'second');
    t.deepEqual(taken.leaveProof(0), { unsettled: [] });
  });

  it('should prove nothing when there are too many to name', (t) => {
    const taken = new TakenOffers<object>();
    for (let i = 0; i <= 200; i++) {
      taken.take({}, offer(`attempt ${i}`));
    }
    t.is(taken.leaveProof(0), undefined);
  });
});

describe('the last record of a daemon', () => {
  const left: Member = {
    id: 'b2',
    incarnation: 7,
    revision: 4,
    address: '127.0.0.1:1',
    zone: 'z',
    region: 'r',
    state: 'left',
    target: 't',
    service: 's',
    targetState: 'leaving',
    slots: 1,
    configVersion: 1,
    leaveProof: { unsettled: ['taken'] },
  };

  it('should prove of all offers but those that it names that they were never taken', (t) => {
    t.true(provesNeverTaken(left, 7, 'other'));
    t.false(provesNeverTaken(left, 7, 'taken'));
  });

  it('should prove nothing for another incarnation, without a list, or before the daemon has left', (t) => {
    t.false(provesNeverTaken(left, 6, 'other'));
    t.false(provesNeverTaken({ ...left, leaveProof: undefined }, 7, 'other'));
    t.false(provesNeverTaken({ ...left, state: 'dead' }, 7, 'other'));
    t.false(provesNeverTaken(undefined, 7, 'other'));
  });

  it('should come after the senders have let go of their connections, and what runs has ended', (t) => {
    const steps: string[] = [];
    const note = (step: string) => (): void => {
      steps.push(step);
    };
    const stop = plannedStop({ announceLeaving: note('leaving'), closeGate: note('close'), announceLeft: note('left'), limitMs: 0 });
    for (let step = stop.next(); step.done !== true; step = stop.next(replyTo(step.value))) {
      steps.push(step.value.type);
    }
    t.deepEqual(steps, ['leaving', 'close', 'spreadWord', 'sleep', 'awaitIdle', 'awaitSenders', 'left', 'spreadWord', 'appendMember']);
  });
});

function replyTo(effect: Effect): Reply {
  switch (effect.type) {
    case 'awaitIdle':
      return { inFlight: 0 };
    case 'awaitSenders':
      return { connections: 0 };
    case 'appendMember':
      return { kind: 'refused' };
    default:
      return undefined;
  }
}
