/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against a caller getting a response of which a link to another daemon carried only a part. */

import { Duplex } from 'node:stream';
import type { Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { bodyParts, type CallResult, kShortBodyBytes } from '@gentiandrum/core';
import { MessageWriter, type PeerCall, PeerCalls, PeerLink, type PeerMessage } from '@gentiandrum/mesh';
import { describe, it } from '../support/describe.js';

const kCall: PeerCall = {
  route: 'r',
  service: 's',
  waitMs: 1,
  remainingMs: 1,
  repeat: false,
  inner: false,
  idempotent: true,
  rank: 0,
  instance: 'i',
  callerService: 'c',
  requestId: 'q',
  method: 'GET',
  path: '/',
  headers: [],
  body: Buffer.alloc(0),
  suspicion: undefined,
  workspace: undefined,
};
const kReport = { inFlight: 1, queued: 0, limit: 5, meanMs: 3, level: 0, inner: undefined, height: 0, chargeMs: 0 };
const kId = 1;
/** Number of bytes at both ends of a frame in which each is cut. */
const kEdgeBytes = 100;

/** What a peer sends for a response whose body is sent in as many parts as needed. */
function framesOf(body: Buffer, partBytes: number): Buffer[] {
  const writer = new MessageWriter();
  const answer = { status: 200, headers: ['x-a', 'b'], body };
  const messages: PeerMessage[] = [{ type: 'answer', id: kId, answer, report: kReport }];
  for (let at = 0; body.length > kShortBodyBytes && at < body.length; at += partBytes) {
    messages.push({ type: 'part', of: 'answer', id: kId, bytes: body.subarray(at, at + partBytes) });
  }
  return messages.map((message) => writer.encode(message));
}

/** Offsets at which the frames are cut: each one near their ends, and the middle of them. */
function* cutsOf(frames: readonly Buffer[]): Generator<number> {
  let start = 0;
  for (const { length } of frames) {
    for (let at = 0; at < length; at++) {
      if (at < kEdgeBytes || at >= length - kEdgeBytes || at === Math.floor(length / 2)) {
        yield start + at;
      }
    }
    start += length;
  }
  yield start;
}

/** Results of a call whose link receives `bytes` and is lost then. */
async function resultsOf(bytes: Buffer): Promise<CallResult[]> {
  const results: CallResult[] = [];
  const calls = new PeerCalls(() => ({ cancel: () => undefined }));
  const socket = new Duplex({
    read: () => undefined,
    write: (_chunk, _encoding, done) => {
      done();
    },
  });
  const link = new PeerLink(Object.assign(socket, { setNoDelay: () => socket }) as unknown as Socket, {
    onMessage: (from, message) => {
      calls.receive(from, message as Parameters<PeerCalls['receive']>[1]);
    },
    onClose: (closed, reason) => {
      calls.linkLost(closed, reason);
    },
    onUnresponsive: () => undefined,
  });
  calls.offer(
    (use) => {
      use(link);
    },
    kCall,
    (result) => results.push(result),
  );
  await nextTurn();
  socket.emit('data', bytes);
  socket.emit('close');
  return results;
}

function textOf(result: CallResult, body: Buffer): string {
  if (result.kind !== 'answered') {
    return result.kind;
  }
  const given = Buffer.concat(bodyParts(result.answer.body));
  return given.equals(body) ? `whole ${result.answer.status}` : `${given.length} bytes`;
}

describe('a link that is lost within a response', () => {
  for (const [name, bytes] of [
    ['empty', 0],
    ['short', 100],
    ['long', kShortBodyBytes + 1],
  ] as const) {
    it(`should end the call as lost at any byte of it, with ${name === 'empty' ? 'an' : 'a'} ${name} body`, async (t) => {
      const body = Buffer.alloc(bytes, 'body');
      const frames = framesOf(body, Math.ceil(kShortBodyBytes / 3));
      const stream = Buffer.concat(frames);
      const cuts = [...cutsOf(frames)];
      t.log(`${cuts.length} cuts`);
      for (const at of cuts) {
        const results = await resultsOf(stream.subarray(0, at));
        const texts = results.map((result) => textOf(result, body));
        t.deepEqual(texts, [at === stream.length ? 'whole 200' : 'lost'], `cut at ${at} of ${stream.length}`);
      }
    });
  }
});
