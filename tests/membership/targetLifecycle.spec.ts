/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { type Announcement, TargetLifecycle } from '@gentiandrum/core';
import fc from 'fast-check';
import { describe, it } from '../support/describe.js';

const kDetails = { service: 'reads', address: '10.0.0.1:80', slots: 16, coldMs: 0 };
const kRecord = { instance: 'a', service: 'reads', slots: 16 };

function announcement(instance: string, state: 'ready' | 'draining', sequence: number): Announcement {
  return { instance, state, sequence, details: kDetails };
}

function goneAnnouncement(instance: string): Announcement {
  return { instance, state: 'gone', sequence: 0 };
}

describe('target lifecycle', () => {
  it('should follow announcements in sequence, and report changes only', (t) => {
    const lifecycle = new TargetLifecycle('10.0.0.1:80');
    t.true(lifecycle.announce(announcement('a', 'ready', 1)));
    t.false(lifecycle.announce(announcement('a', 'ready', 2)));
    t.true(lifecycle.announce(announcement('a', 'draining', 3)));
    t.false(lifecycle.announce(announcement('a', 'ready', 2)));
    t.is(lifecycle.known.state, 'draining');
    t.true(lifecycle.announce(goneAnnouncement('a')));
    t.is(lifecycle.known.state, 'gone');
  });

  it('should accept `gone` as the first announcement of an instance', (t) => {
    const lifecycle = new TargetLifecycle('10.0.0.1:80');
    t.true(lifecycle.announce(goneAnnouncement('a')));
    t.false(lifecycle.announce(announcement('a', 'ready', 9)));
    t.is(lifecycle.known.state, 'gone');
  });

  it('should switch to a new instance, and reject the one that it replaced', (t) => {
    const lifecycle = new TargetLifecycle('10.0.0.1:80');
    lifecycle.announce(announcement('a', 'ready', 5));
    t.true(lifecycle.announce(announcement('b', 'ready', 1)));
    t.false(lifecycle.announce(announcement('a', 'ready', 6)));
    t.false(lifecycle.announce(goneAnnouncement('a')));
    t.is(lifecycle.known.instance, 'b');
    t.is(lifecycle.known.state, 'ready');
  });

  it('should apply records of a graceful shutdown and of draining, but not of a ready target', (t) => {
    const killed = new TargetLifecycle('10.0.0.1:80');
    t.false(killed.applyRecord({ ...kRecord, state: 'ready' }));
    t.is(killed.known.state, 'unknown');
    const stopped = new TargetLifecycle('10.0.0.1:80');
    t.true(stopped.applyRecord({ ...kRecord, state: 'unknown' }));
    t.deepEqual(stopped.known, { ...kRecord, born: 0, address: '10.0.0.1:80', coldMs: 0, state: 'ready' });
    t.true(stopped.applyRecord({ ...kRecord, state: 'draining' }));
    t.false(stopped.announce(announcement('a', 'ready', 1)));
    t.is(stopped.known.state, 'draining');
    t.false(stopped.applyRecord({ ...kRecord, instance: 'other', state: 'gone' }));
  });

  it('should accept a restarted target with the same id and a new sequence', (t) => {
    const lifecycle = new TargetLifecycle('10.0.0.1:80');
    lifecycle.announce({ ...announcement('a', 'ready', 50), born: 1_000 });
    lifecycle.announce({ ...announcement('a', 'draining', 51), born: 1_000 });
    t.true(lifecycle.announce({ ...announcement('a', 'ready', 1), born: 2_000 }));
    t.is(lifecycle.known.state, 'ready');
    t.is(lifecycle.known.born, 2_000);
    t.true(lifecycle.announce({ ...announcement('a', 'draining', 2), born: 2_000 }));
    t.is(lifecycle.known.state, 'draining');
  });

  it('should reject late announcements of an earlier incarnation, including an unknown one', (t) => {
    const lifecycle = new TargetLifecycle('10.0.0.1:80');
    lifecycle.announce({ ...announcement('a', 'ready', 1), born: 2_000 });
    t.false(lifecycle.announce({ ...announcement('a', 'draining', 60), born: 1_000 }));
    t.false(lifecycle.announce({ ...goneAnnouncement('a'), born: 1_000 }));
    t.false(lifecycle.announce({ ...announcement('b', 'ready', 60), born: 1_000 }));
    t.is(lifecycle.known.instance, 'a');
    t.is(lifecycle.known.state, 'ready');
    t.true(lifecycle.announce({ ...announcement('a', 'ready', 2), born: 2_000, details: { ...kDetails, slots: 9 } }));
  });

  it('should not apply the state of an earlier incarnation to the current one', (t) => {
    const lifecycle = new TargetLifecycle('10.0.0.1:80');
    t.true(lifecycle.applyRecord({ ...kRecord, born: 1_000, state: 'gone' }));
    t.false(lifecycle.announce({ ...announcement('a', 'ready', 9), born: 1_000 }));
    t.true(lifecycle.announce({ ...announcement('a', 'ready', 1), born: 2_000 }));
    t.is(lifecycle.known.state, 'ready');
    t.false(lifecycle.applyRecord({ ...kRecord, born: 1_000, state: 'gone' }));
    t.is(lifecycle.known.state, 'ready');
  });

  it('should never return to ready after an incarnation was draining or gone, nor to an earlier incarnation', (t) => {
    const instances = fc.constantFrom('a', 'b');
    const startTimes = fc.constantFrom(1_000, 2_000, 3_000);
    const announcements = fc.oneof(
      fc.record({
        instance: instances,
        born: startTimes,
        state: fc.constantFrom('ready', 'draining'),
        sequence: fc.nat(9),
        details: fc.constant(kDetails),
      }),
      fc.record({ instance: instances, born: startTimes, state: fc.constant('gone'), sequence: fc.constant(0) }),
    );
    const incarnationOf = ({ instance, born }: { instance: string; born?: number | undefined }): string => `${instance} ${born ?? 0}`;
    fc.assert(
      fc.property(fc.array(announcements as fc.Arbitrary<Announcement>, { maxLength: 30 }), (received) => {
        const lifecycle = new TargetLifecycle('10.0.0.1:80');
        const past = new Set<string>();
        let latestBorn = 0;
        for (const one of received) {
          const current = incarnationOf(lifecycle.known);
          lifecycle.announce(one);
          if (one.state === 'gone' || (incarnationOf(lifecycle.known) === incarnationOf(one) && lifecycle.known.state === 'draining')) {
            past.add(incarnationOf(one));
          }
          if (lifecycle.known.instance !== '' && current !== incarnationOf(lifecycle.known)) {
            past.add(current);
          }
          t.false(lifecycle.known.state === 'ready' && past.has(incarnationOf(lifecycle.known)));
          t.true(lifecycle.known.born >= latestBorn);
          latestBorn = lifecycle.known.born;
        }
      }),
    );
  });

  it('should never return to ready after an instance without a start time was draining or gone', (t) => {
    const instances = fc.constantFrom('a', 'b', 'c');
    const announcements = fc.oneof(
      fc.record({ instance: instances, state: fc.constantFrom('ready', 'draining'), sequence: fc.nat(9), details: fc.constant(kDetails) }),
      instances.map(goneAnnouncement),
    );
    fc.assert(
      fc.property(fc.array(announcements as fc.Arbitrary<Announcement>, { maxLength: 30 }), (received) => {
        const lifecycle = new TargetLifecycle('10.0.0.1:80');
        const past = new Set<string>();
        for (const one of received) {
          const current = lifecycle.known.instance;
          lifecycle.announce(one);
          // `draining` counts if it arrives in sequence; `gone` always ends the instance.
          if (one.state === 'gone' || (lifecycle.known.instance === one.instance && lifecycle.known.state === 'draining')) {
            past.add(one.instance);
          }
          if (current !== '' && current !== lifecycle.known.instance) {
            past.add(current);
          }
          t.false(lifecycle.known.state === 'ready' && past.has(lifecycle.known.instance));
        }
      }),
    );
  });
});
