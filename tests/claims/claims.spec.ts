/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { ResponseStore, ClaimIndex, KeySettler, type ServeResult } from '@gentiandrum/core';
import { describe, it } from '../support/describe.js';

function claim(key: string, nonce: string, released?: boolean): Record<string, unknown> {
  return { key, nonce, claimant: `${nonce}/1`, address: nonce, body: 'body', released };
}

function served(bytes: number): ServeResult {
  return { kind: 'answer', answer: { status: 200, headers: {}, body: new Uint8Array(bytes) } };
}

describe('a claim index', () => {
  it('should make the first claim of a key in the log its holder', (t) => {
    const index = new ClaimIndex(10);
    index.apply(0, [claim('k', 'one'), claim('k', 'two')]);
    index.apply(1, [claim('k', 'three')]);
    t.is(index.holder('k')?.nonce, 'one');
  });

  it('should release a key only for its holder', (t) => {
    const index = new ClaimIndex(10);
    index.apply(0, [claim('k', 'one')]);
    index.apply(1, [claim('k', 'two', true)]);
    t.is(index.holder('k')?.nonce, 'one');
    index.apply(2, [claim('k', 'one', true)]);
    index.apply(3, [claim('k', 'three')]);
    t.is(index.holder('k')?.nonce, 'three');
  });

  it('should apply each entry once and ignore invalid entries', (t) => {
    const index = new ClaimIndex(10);
    index.apply(0, 'nothing');
    index.apply(1, [claim('k', 'one')]);
    index.apply(1, [claim('k', 'one', true)]);
    t.is(index.holder('k')?.nonce, 'one');
    t.is(index.next, 2);
  });

  it('should stay within its capacity', (t) => {
    const index = new ClaimIndex(10);
    for (let i = 0; i < 100; i++) {
      index.apply(i, [claim(`k${i}`, 'one')]);
    }
    t.is(index.size, 10);
    t.truthy(index.holder('k99'));
  });
});

describe('a response store', () => {
  it('should stay within its capacity, and keep the key of an evicted response', (t) => {
    const store = new ResponseStore(10_000);
    for (let i = 0; i < 20; i++) {
      store.begin(`k${i}`, 'body');
      store.record(`k${i}`, served(1_000));
    }
    t.true(store.bytes <= 10_000);
    t.is(store.get('k0')?.kind, 'forgotten');
    t.is(store.get('k19')?.kind, 'answered');
  });

  it('should notify waiters of the result, or that there is none', (t) => {
    const store = new ResponseStore(10_000);
    const received: (ServeResult | undefined)[] = [];
    store.begin('k', 'body');
    store.wait('k', (served) => received.push(served));
    store.record('k', served(1));
    store.begin('l', 'body');
    store.wait('l', (served) => received.push(served));
    store.drop('l');
    t.deepEqual(received, [served(1), undefined]);
  });
});

describe('a key settler', () => {
  const bid = (sequence: number, claimant: string, body = 'body'): Parameters<KeySettler['settleMinted']>[0] => ({
    key: `ns/${sequence}`,
    body,
    claimant,
    address: claimant,
  });

  it('should grant a numbered key to a single claimant', (t) => {
    const settler = new KeySettler();
    settler.openNamespace('ns');
    t.is(settler.settleMinted(bid(1, 'a')).kind, 'granted');
    t.is(settler.settleMinted(bid(1, 'a')).kind, 'granted');
    t.is(settler.settleMinted(bid(1, 'b')).kind, 'held');
    t.is(settler.settleMinted(bid(1, 'b', 'other')).kind, 'mismatch');
  });

  it('should not settle keys of unknown namespaces or evicted sequence numbers', (t) => {
    const settler = new KeySettler();
    t.is(settler.settleMinted(bid(1, 'a')).kind, 'unknown');
    settler.openNamespace('ns');
    for (let i = 1; i <= 10_001; i++) {
      settler.settleMinted(bid(i, 'a'));
    }
    t.is(settler.settleMinted(bid(1, 'b')).kind, 'unknown');
  });

  it('should settle derived keys only while their root request is being served', (t) => {
    const settler = new KeySettler();
    t.is(settler.settleDerived('root', bid(1, 'a')).kind, 'unknown');
    settler.openRoot('root');
    t.is(settler.settleDerived('root', bid(1, 'a')).kind, 'granted');
    t.is(settler.settleDerived('root', bid(1, 'b')).kind, 'held');
    settler.closeRoot('root');
    t.is(settler.settleDerived('root', bid(1, 'a')).kind, 'unknown');
  });
});
