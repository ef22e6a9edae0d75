/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { MessageReader, MessageWriter, NameReader, NameWriter, type PeerMessage } from '@gentiandrum/mesh';
import fc from 'fast-check';
import { describe, it } from '../support/describe.js';

describe('names shared by a link', () => {
  it('should send a text in plain at first, define its number the second time, and send the number from then on', (t) => {
    const writer = new NameWriter();
    t.is(writer.write('route'), 'route');
    t.deepEqual(writer.write('route'), ['route']);
    t.is(writer.write('route'), 0);
    t.is(writer.write('other'), 'other');
  });

  it('should decode every text, regardless of their number and order', (t) => {
    const texts = fc.array(fc.oneof(fc.nat(1_500).map(String), fc.string()), { minLength: 500, maxLength: 6_000 });
    fc.assert(
      fc.property(texts, (sent) => {
        const writer = new NameWriter();
        const reader = new NameReader();
        for (const text of sent) {
          t.is(reader.read(writer.write(text)), text);
        }
      }),
      { numRuns: 30 },
    );
  });

  it('should clear the dictionary when it is full', (t) => {
    const writer = new NameWriter();
    const reader = new NameReader();
    for (let i = 0; i < 5_000; i++) {
      const text = `name ${i}`;
      t.is(reader.read(writer.write(text)), text);
      t.is(reader.read(writer.write(text)), text);
      t.is(reader.read(writer.write(text)), text);
    }
  });

  it('should reject a number that is not defined', (t) => {
    t.throws(() => new NameReader().read(3), { message: 'expected a name that is defined on this link, got 3' });
  });
});

describe('messages of a link', () => {
  const call: Extract<PeerMessage, { type: 'call' }> = {
    type: 'call',
    id: 7,
    call: {
      route: 'r-search',
      service: 'reads',
      waitMs: 40,
      remainingMs: 800,
      repeat: false,
      inner: true,
      idempotent: true,
      instance: 'i-1',
      callerService: 'front',
      requestId: '9c41d07be2a35f68',
      method: 'GET',
      path: '/a/x?page=2',
      headers: ['Host', 'app.example', 'User-Agent', 'field-client/1.9.3', 'Accept', '*/*', 'Accept-Encoding', 'identity'],
      rank: undefined,
      suspicion: undefined,
      workspace: undefined,
      body: Buffer.alloc(0),
    },
  };

  it('should decode a call each time that it is sent', (t) => {
    const writer = new MessageWriter();
    const reader = new MessageReader();
    for (let i = 0; i < 4; i++) {
      t.deepEqual(reader.push(writer.encode(call)), [call]);
    }
  });

  it('should decode the workspace of a call, and messages about proofs and tokens', (t) => {
    const workspace = { name: 'crew', keyHash: 0xfffffffe, version: 12, validMs: 900 };
    const messages: PeerMessage[] = [
      { ...call, call: { ...call.call, rank: 2, workspace } },
      { ...call, call: { ...call.call, rank: 0, workspace: { ...workspace, validMs: Infinity } } },
      { type: 'proof_wanted', id: 2 ** 31 },
      { type: 'proof', id: 2 ** 31, ageMs: 12.5, version: 12 },
      { type: 'token_wanted', id: 3, workspace: 'crew' },
      { type: 'token', id: 3, workspace: 'crew', result: { granted: true } },
      { type: 'token', id: 4, workspace: 'crew', result: { granted: false, waitMs: 17 } },
      { type: 'token', id: 5, workspace: 'crew', result: 'not_owner' },
      { type: 'tokens_back', tokens: { crew: 2, office: 1 } },
    ];
    const writer = new MessageWriter();
    const reader = new MessageReader();
    for (let i = 0; i < 3; i++) {
      t.deepEqual(
        messages.flatMap((message) => reader.push(writer.encode(message))),
        messages,
      );
    }
  });

  it('should need less than half of the bytes once all names are defined', (t) => {
    const writer = new MessageWriter();
    const first = writer.encode(call).length;
    writer.encode(call);
    t.true(writer.encode(call).length < first / 2);
  });

  it('should decode messages regardless of chunk boundaries', (t) => {
    const writer = new MessageWriter();
    const bytes = Buffer.concat([writer.encode(call), writer.encode(call), writer.encode(call)]);
    fc.assert(
      fc.property(fc.array(fc.nat(bytes.length - 1), { maxLength: 6 }), (cuts) => {
        const reader = new MessageReader();
        const edges = [0, ...[...cuts].sort((a, b) => a - b), bytes.length];
        const messages = edges.slice(1).flatMap((end, i) => reader.push(bytes.subarray(edges[i], end)));
        t.deepEqual(messages, [call, call, call]);
      }),
    );
  });
});
