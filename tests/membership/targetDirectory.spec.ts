/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { isContradiction, TargetDirectory, type TargetRecord } from '@gentiandrum/core';
import { describe, it } from '../support/describe.js';

function recordOf(host: string, revision = 1, state: TargetRecord['state'] = 'ready'): TargetRecord {
  return { host, zone: 'z1', peers: '', service: 's', instance: `i-${host}`, state, slots: 5, epoch: 1, revision };
}

function directoryOf(...records: TargetRecord[]): TargetDirectory {
  const directory = new TargetDirectory();
  records.forEach((record) => directory.merge(record));
  return directory;
}

describe('digests of a directory', () => {
  it('should be the same for the same records, regardless of their order and of earlier revisions', (t) => {
    const one = directoryOf(recordOf('h1'), recordOf('h2', 1), recordOf('h2', 2));
    t.deepEqual(one.digests, directoryOf(recordOf('h2', 2), recordOf('h1')).digests);
    t.notDeepEqual(one.digests, directoryOf(recordOf('h1'), recordOf('h2')).digests);
  });

  it('should exclude hosts that announced that they are gone, and removed hosts', (t) => {
    const one = directoryOf(recordOf('h1'), recordOf('h2'), recordOf('h3'));
    one.merge(recordOf('h2', 2, 'gone'));
    one.remove('h3');
    t.deepEqual(one.digests, directoryOf(recordOf('h1')).digests);
  });

  it('should not change when a host is presumed gone, and match again after its next record', (t) => {
    const one = directoryOf(recordOf('h1'), recordOf('h2'));
    one.presumeGone('h2');
    t.deepEqual(
      one.ready('s').map(({ host }) => host),
      ['h1'],
    );
    t.deepEqual(one.digests, directoryOf(recordOf('h1'), recordOf('h2')).digests);
    one.merge(recordOf('h2', 2));
    t.deepEqual(one.digests, directoryOf(recordOf('h1'), recordOf('h2', 2)).digests);
  });
});

describe('a record in the log', () => {
  // A host that this daemon alone presumes gone was taken for one whose record another writer had replaced, and written as gone.
  it('should contradict the known one of the same version unless the host is presumed gone', (t) => {
    t.true(isContradiction(recordOf('h1'), recordOf('h1', 1, 'gone')));
    t.false(isContradiction(recordOf('h1'), recordOf('h1')));
    t.false(isContradiction(recordOf('h1'), recordOf('h1', 2, 'gone')));
    t.false(isContradiction(recordOf('h1', 1, 'gone'), recordOf('h1')));
  });
});
