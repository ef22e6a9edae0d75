/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { ConfigFold, mergePatch } from '@gentiandrum/core';
import fc from 'fast-check';
import { describe, it } from '../support/describe.js';

const kSeed = 13;

function digest(text: string): string {
  return `${text.length}:${text}`;
}

function record(patchId: string, base: number, patch: unknown): unknown {
  return { patchId: `patch-${patchId}`, base, author: patchId, patch };
}

describe('a configuration fold', () => {
  it('should accept exactly one of two concurrent patches and report the conflicting version and author to the other', (t) => {
    const fold = new ConfigFold();
    fold.apply(0, record('one', 0, { retryRatio: 0.2 }));
    fold.apply(1, record('two', 0, { retryRatio: 0.3 }));
    t.is(fold.version, 1);
    t.is(fold.config.retryRatio, 0.2);
    t.deepEqual(fold.verdict('patch-two'), { kind: 'conflict', current: 1, wonBy: 'one' });
  });

  it('should fold a patch once when the log contains duplicates', (t) => {
    const fold = new ConfigFold();
    fold.apply(0, record('one', 0, { retryRatio: 0.2 }));
    fold.apply(1, record('one', 1, { retryRatio: 0.2 }));
    t.is(fold.version, 1);
  });

  it('should reject a patch that makes the configuration invalid and report the path', (t) => {
    const fold = new ConfigFold();
    fold.apply(0, record('one', 0, { classes: { read: { service: 'nowhere' } } }));
    const verdict = fold.verdict('patch-one');
    t.is(verdict?.kind, 'invalid');
    t.is(verdict?.kind === 'invalid' && verdict.issues[0]?.path, 'classes.read.service');
    t.is(fold.version, 0);
  });

  it('should skip records that are not patches', (t) => {
    const fold = new ConfigFold();
    [null, 7, 'text', {}, { patchId: 'short' }, record('one', 0, { retryRatio: 0.2 })].forEach((value, offset) =>
      fold.apply(offset, value),
    );
    t.is(fold.version, 1);
    t.is(fold.next, 6);
  });

  it('should ignore outdated and damaged snapshots', (t) => {
    const early = new ConfigFold();
    early.apply(0, record('one', 0, { retryRatio: 0.2 }));
    const stale = early.snapshot(digest);
    const fold = new ConfigFold();
    fold.adopt(stale, digest);
    fold.apply(1, record('two', 1, { retryRatio: 0.3 }));
    t.false(fold.adopt(stale, digest));
    t.false(fold.adopt({ ...stale, version: 9, offset: 9 }, digest));
    t.false(fold.adopt('no snapshot', digest));
    t.is(fold.version, 2);
    t.is(fold.config.retryRatio, 0.3);
  });

  it('should reach the same state from any mix of snapshots and records without decreasing the version', (t) => {
    const patch = fc.record({ id: fc.nat(8), base: fc.nat(4), ratio: fc.integer({ min: 0, max: 150 }) });
    const step = fc.record({ kind: fc.constantFrom('record', 'snapshot'), at: fc.nat(30) });
    fc.assert(
      fc.property(fc.array(patch, { maxLength: 25 }), fc.array(step, { maxLength: 40 }), (patches, steps) => {
        const log = patches.map(({ id, base, ratio }) => record(String(id), base, { retryRatio: ratio / 100 }));
        const expected = new ConfigFold();
        const snapshots = log.map((value, offset) => {
          expected.apply(offset, value);
          return expected.snapshot(digest);
        });
        const fold = new ConfigFold();
        let version = 0;
        for (const { kind, at } of steps) {
          if (kind === 'snapshot') {
            fold.adopt(snapshots[at], digest);
          } else if (fold.next < log.length) {
            fold.apply(fold.next, log[fold.next]);
          }
          if (fold.version < version) {
            return false;
          }
          version = fold.version;
        }
        while (fold.next < log.length) {
          fold.apply(fold.next, log[fold.next]);
        }
        return JSON.stringify([fold.version, fold.written]) === JSON.stringify([expected.version, expected.written]);
      }),
      { seed: kSeed, numRuns: 500 },
    );
    t.pass();
  });
});

describe('a merge patch', () => {
  it('should set, replace and remove keys according to RFC 7396', (t) => {
    t.deepEqual(mergePatch({ a: 1, b: { c: 2, d: 3 } }, { a: null, b: { c: 4 }, e: [5] }), { b: { c: 4, d: 3 }, e: [5] });
    t.deepEqual(mergePatch(['a'], { b: 1 }), { b: 1 });
  });
});
