/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { keyHash, loggedKeyHash, readCredentials, WorkspaceTable } from '@gentiandrum/core';
import { findWorkspaceIssues, type Workspace } from '@gentiandrum/protocol';
import fc from 'fast-check';
import { describe, it } from '../support/describe.js';

function workspace(name: string, ...keys: string[]): Workspace {
  return { name, keys, priority: 0, burst: 0 };
}

describe('credentials of a request', () => {
  it('should be one key after the scheme, in any case', (t) => {
    for (const value of ['Bearer k1', 'bearer k1', 'BEARER  k1', '  Bearer\tk1 ']) {
      t.deepEqual(readCredentials([value]), { kind: 'key', key: 'k1' }, value);
    }
  });

  it('should be unreadable without a valid key, or with different keys', (t) => {
    t.deepEqual(readCredentials([]), { kind: 'none' });
    for (const values of [
      [''],
      ['Bearer'],
      ['Bearer '],
      ['Basic k1'],
      ['k1'],
      ['Bearer k1 k2'],
      ['Bearer k1', 'Bearer k2'],
      ['Bearer k1', ''],
    ]) {
      t.deepEqual(readCredentials(values), { kind: 'unreadable' }, values.join('|'));
    }
    t.deepEqual(readCredentials(['Bearer k1', 'bearer k1']), { kind: 'key', key: 'k1' });
  });
});

describe('a workspace table', () => {
  it('should find the workspace of each key, and none for unknown keys', (t) => {
    const keys = fc.uniqueArray(fc.string({ minLength: 1 }), { minLength: 2, maxLength: 30 });
    fc.assert(
      fc.property(keys, ([unknown = '', ...assigned]) => {
        const table = new WorkspaceTable({ workspaces: assigned.map((key, i) => workspace(`w${i}`, key)) });
        assigned.forEach((key, i) => {
          t.is(table.find(key)?.name, `w${i}`);
          t.true(table.hasKey(`w${i}`, keyHash(key)));
        });
        t.is(table.find(unknown), undefined);
      }),
    );
  });

  it('should assign a duplicate key to the first workspace, and report it as a fault', (t) => {
    const workspaces = [workspace('a', 'k1', 'k1'), workspace('b', 'k1', 'k2')];
    const table = new WorkspaceTable({ workspaces });
    t.is(table.find('k1')?.name, 'a');
    t.is(table.find('k2')?.name, 'b');
    t.false(table.hasKey('b', keyHash('k1')));
    t.deepEqual(findWorkspaceIssues({ workspaces }), ['workspaces.1.keys.0: expected a key of one workspace, got one that a has too']);
  });

  it('should require keys only when workspaces are configured', (t) => {
    t.false(new WorkspaceTable({ workspaces: undefined }).required);
    t.true(new WorkspaceTable({ workspaces: [] }).required);
  });

  it('should reveal only an abbreviated hash of a key in log lines', (t) => {
    const key = 'ix6iwjgbt3rrdb9xz77s';
    t.regex(loggedKeyHash(key), /^[0-9a-f]{4}$/);
    t.not(loggedKeyHash(key), loggedKeyHash('3y7a3rmfy673vp95baib'));
  });

  it('should compare at most two keys per look-up with ten thousand keys', (t) => {
    const hashes = new Map<number, number>();
    for (let i = 0; i < 10_000; i++) {
      const hash = keyHash(`key-${i}`);
      hashes.set(hash, (hashes.get(hash) ?? 0) + 1);
    }
    t.true(Math.max(...hashes.values()) <= 2);
  });
});
