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

describe('life of a target', () => {
  it('should follow its words, and report only what changed', (t) => {
    const life = new TargetLifecycle('10.0.0.1:80');
    t.true(life.announce(announcement('a', 'ready', 1)));
    t.false(life.announce(announcement('a', 'ready', 2)));
    t.true(life.announce(announcement('a', 'draining', 3)));
    t.false(life.announce(announcement('a', 'ready', 2)));
    t.is(life.known.state, 'draining');
    t.true(life.announce(goneAnnouncement('a')));
    t.is(life.known.state, 'gone');
  });

  it('should keep a goodbye that is the first word of its instance', (t) => {
    const life = new TargetLifecycle('10.0.0.1:80');
    t.true(life.announce(goneAnnouncement('a')));
    t.false(life.announce(announcement('a', 'ready', 9)));
    t.is(life.known.state, 'gone');
  });

  it('should take up a new instance, and none that it took the place of', (t) => {
    const life = new TargetLifecycle('10.0.0.1:80');
    life.announce(announcement('a', 'ready', 5));
    t.true(life.announce(announcement('b', 'ready', 1)));
    t.false(life.announce(announcement('a', 'ready', 6)));
    t.false(life.announce(goneAnnouncement('a')));
    t.is(life.known.instance, 'b');
    t.is(life.known.state, 'ready');
  });

  it('should believe the memory of others of a planned stop and of leaving, but not that a target is ready', (t) => {
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

  it('should take up a target that starts again under its id, whose counts begin anew', (t) => {
    const life = new TargetLifecycle('10.0.0.1:80');
    life.announce({ ...announcement('a', 'ready', 50), born: 1_000 });
    life.announce({ ...announcement('a', 'draining', 51), born: 1_000 });
    t.true(life.announce({ ...announcement('a', 'ready', 1), born: 2_000 }));
    t.is(life.known.state, 'ready');
    t.is(life.known.born, 2_000);
    t.true(life.announce({ ...announcement('a', 'draining', 2), born: 2_000 }));
    t.is(life.known.state, 'draining');
  });

  it('should believe no late announcement of a dead incarnation, also one that this daemon never heard of', (t) => {
    const life = new TargetLifecycle('10.0.0.1:80');
    life.announce({ ...announcement('a', 'ready', 1), born: 2_000 });
    t.false(life.announce({ ...announcement('a', 'draining', 60), born: 1_000 }));
    t.false(life.announce({ ...goneAnnouncement('a'), born: 1_000 }));
    t.false(life.announce({ ...announcement('b', 'ready', 60), born: 1_000 }));
    t.is(life.known.instance, 'a');
    t.is(life.known.state, 'ready');
    t.true(life.announce({ ...announcement('a', 'ready', 2), born: 2_000, details: { ...kDetails, slots: 9 } }));
  });

  it('should not hold a target to what was acknowledged for its earlier incarnation', (t) => {
    const life = new TargetLifecycle('10.0.0.1:80');
    t.true(life.applyRecord({ ...kRecord, born: 1_000, state: 'gone' }));
    t.false(life.announce({ ...announcement('a', 'ready', 9), born: 1_000 }));
    t.true(life.announce({ ...announcement('a', 'ready', 1), born: 2_000 }));
    t.is(life.known.state, 'ready');
    t.false(life.applyRecord({ ...kRecord, born: 1_000, state: 'gone' }));
    t.is(life.known.state, 'ready');
  });

  it('should never be ready again once an incarnation was said to leave, nor an earlier one than the known, whatever comes', (t) => {
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

  it('should never be ready again once an instance that does not say when it was born was said to leave', (t) => {
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
          // A word of leaving counts when it is heard in order, or ends the instance for good.
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
