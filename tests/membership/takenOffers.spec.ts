/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against a wrong proof in a daemon's last record, which would let an accepted offer run a second time. */

import { type Effect, type Member, plannedStop, provesNeverTaken, type Reply, AcceptedOffers } from '@gentiandrum/core';
import { describe, it } from '../support/describe.js';

const kDeadline = 1_000;
/** Time for which an offer is listed after its deadline, in milliseconds. */
const kNamedAfterMs = 60_000;

function offer(attempt: string): { attempt: string; deadline: number } {
  return { attempt, deadline: kDeadline };
}

describe('offers that a daemon accepted', () => {
  it('should be listed until the next offer on their connection shows that the response was received', (t) => {
    const taken = new AcceptedOffers<object>();
    const connection = {};
    t.true(taken.accept(connection, 'a1', offer('first')));
    t.deepEqual(taken.leaveProof(0), { unsettled: ['first'] });
    t.false(taken.accept(connection, 'a1', offer('second')));
    t.deepEqual(taken.leaveProof(0), { unsettled: ['second'] });
    t.false(taken.accept(connection, 'a1', undefined));
    t.deepEqual(taken.leaveProof(0), { unsettled: [] });
    t.deepEqual(taken.senders, ['a1']);
  });

  it('should be listed after their connection has closed, until their deadline has passed by a minute', (t) => {
    const taken = new AcceptedOffers<object>();
    const connection = {};
    taken.accept(connection, 'a1', offer('first'));
    taken.closed(connection, 0);
    t.deepEqual(taken.senders, ['a1']);
    t.deepEqual(taken.leaveProof(kDeadline + kNamedAfterMs - 1), { unsettled: ['first'] });
    t.deepEqual(taken.leaveProof(kDeadline + kNamedAfterMs), { unsettled: [] });
  });

  it('should not be listed once their sender has reported that it has no open offers', (t) => {
    const taken = new AcceptedOffers<object>();
    const ended = {};
    taken.accept(ended, 'a1', offer('first'));
    taken.closed(ended, 0);
    taken.accept({}, 'a1', offer('second'));
    taken.accept({}, 'a2', offer('third'));
    taken.released('a1');
    t.deepEqual(taken.senders, ['a2']);
    t.deepEqual(taken.leaveProof(0), { unsettled: ['third'] });
  });

  it('should not be listed when they were refused, even after their connection has closed', (t) => {
    const taken = new AcceptedOffers<object>();
    const [one, other] = [{}, {}];
    taken.accept(one, 'a1', offer('first'));
    taken.refused(one, 'first');
    taken.accept(other, 'a1', offer('second'));
    taken.closed(other, 0);
    taken.refused(other, 'second');
    t.deepEqual(taken.leaveProof(0), { unsettled: [] });
  });

  it('should yield no proof when there are too many to list', (t) => {
    const taken = new AcceptedOffers<object>();
    for (let i = 0; i <= 50; i++) {
      taken.accept({}, 'a1', offer(`attempt ${i}`));
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

  it('should prove that offers that it does not list were never accepted', (t) => {
    t.true(provesNeverTaken(left, 7, 'other'));
    t.false(provesNeverTaken(left, 7, 'taken'));
  });

  it('should prove nothing for another incarnation, without a list, or before the daemon has left', (t) => {
    t.false(provesNeverTaken(left, 6, 'other'));
    t.false(provesNeverTaken({ ...left, leaveProof: undefined }, 7, 'other'));
    t.false(provesNeverTaken({ ...left, state: 'dead' }, 7, 'other'));
    t.false(provesNeverTaken(undefined, 7, 'other'));
  });

  it('should be sent after all runs have finished and the senders have no open offers', (t) => {
    const steps: string[] = [];
    const note = (step: string) => (): void => {
      steps.push(step);
    };
    const stop = plannedStop({ announceLeaving: note('leaving'), closeGate: note('close'), announceLeft: note('left'), limitMs: 0 });
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
