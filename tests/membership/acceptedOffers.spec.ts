/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against a wrong proof in a daemon's last record, which would let an accepted offer run a second time. */

import { type Effect, type Member, gracefulShutdown, provesNeverAccepted, type Reply, AcceptedOffers } from '@gentiandrum/core';
import { describe, it } from '../support/describe.js';

const kDeadline = 1_000;
/** Time for which an offer is listed after its deadline, in milliseconds. */
const kListedAfterMs = 60_000;

function offer(attempt: string): { attempt: string; deadline: number } {
  return { attempt, deadline: kDeadline };
}

describe('offers that a daemon accepted', () => {
  it('should be listed until the next offer on their connection shows that the response was received', (t) => {
    const offers = new AcceptedOffers<object>();
    const connection = {};
    t.true(offers.accept(connection, 'a1', offer('first')));
    t.deepEqual(offers.leaveProof(0), { unsettled: ['first'] });
    t.false(offers.accept(connection, 'a1', offer('second')));
    t.deepEqual(offers.leaveProof(0), { unsettled: ['second'] });
    t.false(offers.accept(connection, 'a1', undefined));
    t.deepEqual(offers.leaveProof(0), { unsettled: [] });
    t.deepEqual(offers.senders, ['a1']);
  });

  it('should be listed after their connection has closed, until their deadline has passed by a minute', (t) => {
    const offers = new AcceptedOffers<object>();
    const connection = {};
    offers.accept(connection, 'a1', offer('first'));
    offers.closed(connection, 0);
    t.deepEqual(offers.senders, ['a1']);
    t.deepEqual(offers.leaveProof(kDeadline + kListedAfterMs - 1), { unsettled: ['first'] });
    t.deepEqual(offers.leaveProof(kDeadline + kListedAfterMs), { unsettled: [] });
  });

  it('should not be listed once their sender has reported that it has no open offers', (t) => {
    const offers = new AcceptedOffers<object>();
    const closed = {};
    offers.accept(closed, 'a1', offer('first'));
    offers.closed(closed, 0);
    offers.accept({}, 'a1', offer('second'));
    offers.accept({}, 'a2', offer('third'));
    offers.released('a1');
    t.deepEqual(offers.senders, ['a2']);
    t.deepEqual(offers.leaveProof(0), { unsettled: ['third'] });
  });

  it('should not be listed when they were refused, even after their connection has closed', (t) => {
    const offers = new AcceptedOffers<object>();
    const [one, other] = [{}, {}];
    offers.accept(one, 'a1', offer('first'));
    offers.refused(one, 'first');
    offers.accept(other, 'a1', offer('second'));
    offers.closed(other, 0);
    offers.refused(other, 'second');
    t.deepEqual(offers.leaveProof(0), { unsettled: [] });
  });

  it('should yield no proof when there are too many to list', (t) => {
    const offers = new AcceptedOffers<object>();
    for (let i = 0; i <= 50; i++) {
      offers.accept({}, 'a1', offer(`attempt ${i}`));
    }
    t.is(offers.leaveProof(0), undefined);
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

  it('should prove that offers that it does not list were never accepted', (t) => {
    t.true(provesNeverAccepted(left, 7, 'other'));
    t.false(provesNeverAccepted(left, 7, 'taken'));
  });

  it('should prove nothing for another incarnation, without a list, or before the daemon has left', (t) => {
    t.false(provesNeverAccepted(left, 6, 'other'));
    t.false(provesNeverAccepted({ ...left, leaveProof: undefined }, 7, 'other'));
    t.false(provesNeverAccepted({ ...left, state: 'dead' }, 7, 'other'));
    t.false(provesNeverAccepted(undefined, 7, 'other'));
  });

  it('should be sent after all runs have finished and the senders have no open offers', (t) => {
    const steps: string[] = [];
    const note = (step: string) => (): void => {
      steps.push(step);
    };
    const stop = gracefulShutdown({ announceLeaving: note('leaving'), closeGate: note('close'), announceLeft: note('left'), limitMs: 0 });
    for (let step = stop.next(); step.done !== true; step = stop.next(replyTo(step.value))) {
      steps.push(step.value.type);
    }
    t.deepEqual(steps, ['leaving', 'close', 'notifyPeers', 'sleep', 'awaitIdle', 'awaitSenders', 'left', 'notifyPeers', 'appendMember']);
  });
});

function replyTo(effect: Effect): Reply {
  switch (effect.type) {
    case 'awaitIdle':
      return { inFlight: 0 };
    case 'awaitSenders':
      return { senders: 0 };
    case 'appendMember':
      return { kind: 'refused' };
    default:
      return undefined;
  }
}
