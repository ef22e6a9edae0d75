/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { PeriodicWork } from '@gentiandrum/mesh';
import { describe, it } from '../support/describe.js';

describe('periodic work', () => {
  // An exception in one component ended the work of all, for good.
  it('should be done by the other components when one throws, each time', (t) => {
    const done: string[] = [];
    const failed: unknown[] = [];
    const work = new PeriodicWork(
      {
        first: { check: (elapsedMs) => done.push(`first ${elapsedMs}`) },
        broken: {
          check: () => {
            throw new Error('expected');
          },
        },
        last: { check: () => done.push('last') },
      },
      { warn: (_part, _text, fields) => failed.push(fields?.part) },
    );
    work.run(100);
    work.run(200);
    t.deepEqual(done, ['first 100', 'last', 'first 200', 'last']);
    t.deepEqual(failed, ['broken', 'broken']);
  });
});
