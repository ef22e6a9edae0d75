/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { type MessageHead, MessageParser } from '@gentiandrum/mesh';
import { describe, it } from '../support/describe.js';

interface Parsed {
  messages: { head: MessageHead; body: string; ended: boolean }[];
  fault: string | undefined;
}

function parse(type: 'request' | 'answer', chunks: readonly string[], maxHeadBytes = 65_536): Parsed {
  const parsed: Parsed = { messages: [], fault: undefined };
  const parser = new MessageParser(type, {
    onHead: (head) => {
      parsed.messages.push({ head, body: '', ended: false });
    },
    onBody: (part) => {
      const last = parsed.messages.at(-1);
      if (last) {
        last.body += part.toString('latin1');
      }
    },
    onEnd: () => {
      const last = parsed.messages.at(-1);
      if (last) {
        last.ended = true;
      }
    },
  });
  parser.maxHeadBytes = maxHeadBytes;
  for (const chunk of chunks) {
    parsed.fault ??= parser.push(Buffer.from(chunk, 'latin1'));
  }
  parser.close();
  return parsed;
}

const kTwoRequests =
  'POST /a/b?c=d HTTP/1.1\r\nHost: app.example\r\nEmpty:\r\nX-Own: 1, 2\r\nTransfer-Encoding: chunked\r\n\r\n' +
  '5\r\nfirst\r\n7\r\n second\r\n0\r\nLate: no header\r\n\r\n' +
  'PUT /next HTTP/1.1\r\nHost: app.example\r\nContent-Length: 3\r\nConnection: close\r\n\r\nend';

describe('the HTTP message parser', () => {
  it('should parse the same requests regardless of chunk boundaries', (t) => {
    const whole = parse('request', [kTwoRequests]);
    t.is(whole.fault, undefined);
    t.deepEqual(
      whole.messages.map(({ head, body, ended }) => ({ method: head.method, target: head.target, keepAlive: head.keepAlive, body, ended })),
      [
        { method: 'POST', target: '/a/b?c=d', keepAlive: true, body: 'first second', ended: true },
        { method: 'PUT', target: '/next', keepAlive: false, body: 'end', ended: true },
      ],
    );
    t.deepEqual(whole.messages[0]?.head.headers, ['Host', 'app.example', 'Empty', '', 'X-Own', '1, 2', 'Transfer-Encoding', 'chunked']);
    for (let at = 1; at < kTwoRequests.length; at++) {
      t.deepEqual(parse('request', [kTwoRequests.slice(0, at), kTwoRequests.slice(at)]), whole);
    }
    t.deepEqual(parse('request', kTwoRequests.split('')), whole);
  });

  const malformed = [
    'GET /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    'GET /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody',
    'GET /a HTTP/1.1\r\nHost: a\r\nContent-Length: four\r\n\r\nbody',
    'GET /a HTTP/1.1\r\nHost: a\r\nBad\u0000Name: b\r\n\r\n',
    'POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n',
    '\u0001\u0002 no request\r\n\r\n',
  ];
  for (const text of malformed) {
    it(`should reject ${JSON.stringify(text)}`, (t) => {
      const { messages, fault } = parse('request', [text]);
      t.is(fault, 'malformed');
      t.false(messages.some(({ ended }) => ended));
    });
  }

  it('should not complete a response with malformed chunks', (t) => {
    const head = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
    for (const body of ['5\r\nfirstXX\r\n0\r\n\r\n', 'g\r\nfirst\r\n0\r\n\r\n', '5\r\nfirst\r\n']) {
      t.false(parse('answer', [head + body]).messages.some(({ ended }) => ended));
    }
  });

  it('should distinguish interim responses from final ones', (t) => {
    const { messages } = parse('answer', ['HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok']);
    t.deepEqual(
      messages.map(({ head, body }) => [head.status, body]),
      [
        [100, ''],
        [200, 'ok'],
      ],
    );
  });

  // The rest of a chunk behind an offer was dropped, so that the middle of a request was parsed as the start of one.
  it('should parse the requests behind offers to upgrade the protocol, regardless of chunk boundaries', (t) => {
    const offer = 'Host: a\r\nConnection: upgrade\r\nUpgrade: other\r\n';
    const text =
      `GET /1 HTTP/1.1\r\n${offer}\r\nPOST /2 HTTP/1.1\r\n${offer}Content-Length: 4\r\n\r\nbody` +
      `GET /3 HTTP/1.1\r\n${offer}\r\nCONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\nGET /4 HTTP/1.1\r\nHost: a\r\n\r\n`;
    const whole = parse('request', [text]);
    t.is(whole.fault, undefined);
    t.deepEqual(
      whole.messages.map(({ head, body, ended }) => [head.target, body, ended]),
      [
        ['/1', '', true],
        ['/2', 'body', true],
        ['/3', '', true],
        ['a:1', '', true],
        ['/4', '', true],
      ],
    );
    for (let at = 1; at < text.length; at++) {
      t.deepEqual(parse('request', [text.slice(0, at), text.slice(at)]), whole);
    }
  });

  it('should reject a response that switches the protocol, which is never requested', (t) => {
    const head = 'HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n';
    t.is(parse('answer', [head]).fault, 'malformed');
    t.is(parse('answer', [`${head}HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok`]).fault, 'malformed');
  });

  it('should reject a head over the limit', (t) => {
    const { messages, fault } = parse('request', [`GET /a HTTP/1.1\r\nHost: a\r\nLong: ${'x'.repeat(500)}\r\n\r\n`], 400);
    t.is(fault, 'head_too_long');
    t.is(messages.length, 0);
  });
});
