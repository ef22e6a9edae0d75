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
    const life = new TargetLifecycle('10.0.0.1:80');
    t.true(life.announce(announcement('a', 'ready', 1)));
    t.false(life.announce(announcement('a', 'ready', 2)));
    t.true(life.announce(announcement('a', 'draining', 3)));
    t.false(life.announce(announcement('a', 'ready', 2)));
    t.is(life.known.state, 'draining');
    t.true(life.announce(goneAnnouncement('a')));
    t.is(life.known.state, 'gone');
  });

  it('should accept `gone` as the first announcement of an instance', (t) => {
    const life = new TargetLifecycle('10.0.0.1:80');
    t.true(life.announce(goneAnnouncement('a')));
    t.false(life.announce(announcement('a', 'ready', 9)));
    t.is(life.known.state, 'gone');
  });

  it('should switch to a new instance, and reject the one that it replaced', (t) => {
    const life = new TargetLifecycle('10.0.0.1:80');
    life.announce(announcement('a', 'ready', 5));
    t.true(life.announce(announcement('b', 'ready', 1)));
    t.false(life.announce(announcement('a', 'ready', 6)));
    t.false(life.announce(goneAnnouncement('a')));
    t.is(life.known.instance, 'b');
    t.is(life.known.state, 'ready');
  });

  it('should apply records of a planned stop and of draining, but not of a ready target', (t) => {
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
    const life = new TargetLifecycle('10.0.0.1:80');
    life.announce({ ...announcement('a', 'ready', 50), born: 1_000 });
    life.announce({ ...announcement('a', 'draining', 51), born: 1_000 });
    t.true(life.announce({ ...announcement('a', 'ready', 1), born: 2_000 }));
    t.is(life.known.state, 'ready');
    t.is(life.known.born, 2_000);
    t.true(life.announce({ ...announcement('a', 'draining', 2), born: 2_000 }));
    t.is(life.known.state, 'draining');
  });

  it('should reject late announcements of an earlier incarnation, including an unknown one', (t) => {
    const life = new TargetLifecycle('10.0.0.1:80');
    life.announce({ ...announcement('a', 'ready', 1), born: 2_000 });
    t.false(life.announce({ ...announcement('a', 'draining', 60), born: 1_000 }));
    t.false(life.announce({ ...goneAnnouncement('a'), born: 1_000 }));
    t.false(life.announce({ ...announcement('b', 'ready', 60), born: 1_000 }));
    t.is(life.known.instance, 'a');
    t.is(life.known.state, 'ready');
    t.true(life.announce({ ...announcement('a', 'ready', 2), born: 2_000, details: { ...kDetails, slots: 9 } }));
  });

  it('should not apply the state of an earlier incarnation to the current one', (t) => {
    const life = new TargetLifecycle('10.0.0.1:80');
    t.true(life.applyRecord({ ...kRecord, born: 1_000, state: 'gone' }));
    t.false(life.announce({ ...announcement('a', 'ready', 9), born: 1_000 }));
    t.true(life.announce({ ...announcement('a', 'ready', 1), born: 2_000 }));
    t.is(life.known.state, 'ready');
    t.false(life.applyRecord({ ...kRecord, born: 1_000, state: 'gone' }));
    t.is(life.known.state, 'ready');
  });

  it('should never return to ready after an incarnation was draining or gone, nor to an earlier incarnation', (t) => {
    const instances = fc.constantFrom('a', 'b');
    const births = fc.constantFrom(1_000, 2_000, 3_000);
    const words = fc.oneof(
      fc.record({
        instance: instances,
        born: births,
        state: fc.constantFrom('ready', 'draining'),
        sequence: fc.nat(9),
        details: fc.constant(kDetails),
      }),
      fc.record({ instance: instances, born: births, state: fc.constant('gone'), sequence: fc.constant(0) }),
    );
    const nameOf = ({ instance, born }: { instance: string; born?: number | undefined }): string => `${instance} ${born ?? 0}`;
    fc.assert(
      fc.property(fc.array(words as fc.Arbitrary<Announcement>, { maxLength: 30 }), (said) => {
        const life = new TargetLifecycle('10.0.0.1:80');
        const left = new Set<string>();
        let youngest = 0;
        for (const one of said) {
          const current = nameOf(life.known);
          life.announce(one);
          if (one.state === 'gone' || (nameOf(life.known) === nameOf(one) && life.known.state === 'draining')) {
            left.add(nameOf(one));
          }
          if (life.known.instance !== '' && current !== nameOf(life.known)) {
            left.add(current);
          }
          t.false(life.known.state === 'ready' && left.has(nameOf(life.known)));
          t.true(life.known.born >= youngest);
          youngest = life.known.born;
        }
      }),
    );
  });

  it('should never return to ready after an instance without a start time was draining or gone', (t) => {
    const instances = fc.constantFrom('a', 'b', 'c');
    const words = fc.oneof(
      fc.record({ instance: instances, state: fc.constantFrom('ready', 'draining'), sequence: fc.nat(9), details: fc.constant(kDetails) }),
      instances.map(goneAnnouncement),
    );
    fc.assert(
      fc.property(fc.array(words as fc.Arbitrary<Announcement>, { maxLength: 30 }), (said) => {
        const life = new TargetLifecycle('10.0.0.1:80');
        const left = new Set<string>();
        for (const one of said) {
          const current = life.known.instance;
          life.announce(one);
          // `draining` counts if it arrives in sequence; `gone` always ends the instance.
          if (one.state === 'gone' || (life.known.instance === one.instance && life.known.state === 'draining')) {
            left.add(one.instance);
          }
          if (current !== '' && current !== life.known.instance) {
            left.add(current);
          }
          t.false(life.known.state === 'ready' && left.has(life.known.instance));
        }
      }),
    );
  });
});
