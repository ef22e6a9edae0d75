/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against messages that are parsed differently when their bytes arrive in other chunks, with generated streams. */

import { MessageParser, type ParseFault } from '@gentiandrum/mesh';
import fc from 'fast-check';
import { describe, it } from '../support/describe.js';

interface ParsedMessage {
  method: string;
  target: string;
  status: number;
  headers: string[];
  body: string;
  ended: boolean;
}

interface Message {
  text: string;
  method: string;
  target: string;
  status: number;
  body: string;
}

const kStreams = 400;
const kSeed = 20;
const kHeaderLines = [
  'Host: app.example',
  'Host:app.example \t ',
  'Empty:',
  'X-Own: 1, 2',
  'Connection: upgrade\r\nUpgrade: other',
  'Expect: 100-continue',
  'Connection: keep-alive',
];

const targetArbitrary = fc.stringMatching(/^\/[a-z0-9/]{0,12}(\?[a-z]=[a-z0-9]{0,4})?$/);
const headersArbitrary = fc.array(fc.constantFrom(...kHeaderLines), { minLength: 1, maxLength: 4 });
const bodyArbitrary = fc.oneof(
  fc.string({ maxLength: 40 }).map((text) => Buffer.from(text).toString('latin1')),
  fc.constant('GET /inner HTTP/1.1\r\nHost: app.example\r\n\r\n'),
);

function withLength(body: string): string {
  return `Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** Encodes a body in chunks with extensions, and with trailers. */
function inChunks(body: string, size: number): string {
  const chunks = [];
  for (let at = 0; at < body.length; at += size) {
    const part = body.slice(at, at + size);
    chunks.push(`${part.length.toString(16)};name=value\r\n${part}\r\n`);
  }
  return `Transfer-Encoding: chunked\r\n\r\n${chunks.join('')}0\r\nLate: trailer\r\n\r\n`;
}

const framedArbitrary = fc
  .record({ body: bodyArbitrary, chunkBytes: fc.integer({ min: 0, max: 9 }) })
  .map(({ body, chunkBytes }) => ({ body, text: chunkBytes === 0 ? withLength(body) : inChunks(body, chunkBytes) }));

const requestArbitrary: fc.Arbitrary<Message> = fc
  .record({
    method: fc.constantFrom('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'PROPFIND', 'M-SEARCH', 'QUERY'),
    target: targetArbitrary,
    headers: headersArbitrary,
    framed: framedArbitrary,
  })
  .map(({ method, target, headers, framed }) => ({
    text: `${method} ${target} HTTP/1.1\r\n${headers.join('\r\n')}\r\n${framed.text}`,
    method,
    target,
    status: 0,
    body: framed.body,
  }));

const responseArbitrary: fc.Arbitrary<Message> = fc
  .record({ status: fc.constantFrom(200, 404, 500, 503), headers: headersArbitrary, framed: framedArbitrary })
  .map(({ status, headers, framed }) => ({
    text: `HTTP/1.1 ${status} Some Reason\r\n${headers.join('\r\n')}\r\n${framed.text}`,
    method: '',
    target: '',
    status,
    body: framed.body,
  }));

/** Returns the text in chunks that end at the given offsets. */
function cut(text: string, offsets: readonly number[]): string[] {
  const ends = [...new Set(offsets.map((offset) => offset % text.length)), text.length].sort((a, b) => a - b);
  return ends.map((end, i) => text.slice(ends[i - 1] ?? 0, end));
}

function parse(type: 'request' | 'answer', chunks: readonly string[]): { messages: ParsedMessage[]; fault: ParseFault | undefined } {
  const messages: ParsedMessage[] = [];
  const parser = new MessageParser(type, {
    onHead: ({ method, target, status, headers }) => {
      messages.push({ method, target, status, headers, body: '', ended: false });
    },
    onBody: (part) => {
      (messages.at(-1) ?? { body: '' }).body += part.toString('latin1');
    },
    onEnd: () => {
      (messages.at(-1) ?? { ended: false }).ended = true;
    },
  });
  let fault: ParseFault | undefined;
  for (const chunk of chunks) {
    fault ??= parser.push(Buffer.from(chunk, 'latin1'));
  }
  parser.close();
  return { messages, fault };
}

function isSame(a: unknown, b: unknown): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}

function checkStreams(type: 'request' | 'answer', messages: fc.Arbitrary<Message>): void {
  fc.assert(
    fc.property(fc.array(messages, { minLength: 1, maxLength: 4 }), fc.array(fc.nat(), { maxLength: 6 }), (stream, offsets) => {
      const text = stream.map((message) => message.text).join('');
      const whole = parse(type, [text]);
      const expected = stream.map(({ method, target, status, body }) => ({ method, target, status, body, ended: true }));
      const parsed = whole.messages.map(({ method, target, status, body, ended }) => ({ method, target, status, body, ended }));
      return (
        whole.fault === undefined &&
        isSame(parsed, expected) &&
        isSame(parse(type, cut(text, offsets)), whole) &&
        isSame(
          parse(
            type,
            cut(
              text,
              Array.from({ length: text.length }, (_, i) => i),
            ),
          ),
          whole,
        )
      );
    }),
    { numRuns: kStreams, seed: kSeed },
  );
}

describe('generated HTTP messages', () => {
  it('should be parsed as sent when they are requests, however their bytes arrive', (t) => {
    checkStreams('request', requestArbitrary);
    t.pass();
  });

  it('should be parsed as sent when they are responses, however their bytes arrive', (t) => {
    checkStreams('answer', responseArbitrary);
    t.pass();
  });

  it('should have no message completed behind malformed bytes', (t) => {
    const garbage = fc.constantFrom(
      '\u0001\u0002\r\n\r\n',
      'GET\r\n\r\n',
      'GET /a SPDY/9\r\n\r\n',
      'NONE /a HTTP/1.1\r\nHost: a\r\n\r\n',
      '\r\n: x\r\n\r\n',
    );
    fc.assert(
      fc.property(requestArbitrary, garbage, requestArbitrary, fc.array(fc.nat(), { maxLength: 6 }), (before, bytes, after, offsets) => {
        const text = `${before.text}${bytes}${after.text}`;
        const { messages, fault } = parse('request', cut(text, offsets));
        return fault === 'malformed' && messages.filter(({ ended }) => ended).length === 1;
      }),
      { numRuns: kStreams, seed: kSeed },
    );
    t.pass();
  });

  it('should have values without surrounding white space', (t) => {
    const { messages } = parse('request', ['GET /a HTTP/1.1\r\nHost: \t app.example \t \r\nEmpty: \r\n\r\n']);
    t.deepEqual(messages[0]?.headers, ['Host', 'app.example', 'Empty', '']);
  });
});
