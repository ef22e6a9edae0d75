/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Responses of every framing, cut at every offset, by a target that then closes or resets the connection, or sends nothing more. */

import { RawTarget } from './rawTarget.js';

const kEnds = ['close', 'reset', 'silence'] as const;
type CutEnd = (typeof kEnds)[number];

/** A response as sent; `{id}` stands for the id of the request, which has as many characters. */
interface SampleResponse {
  name: string;
  method: string;
  status: number;
  body: string;
  text: string;
  /** Whether its end can be told from the loss of the connection. */
  framed: boolean;
}

/** Time in which the target's data is read before the connection is reset or the request aborted, in milliseconds. */
const kReadMs = 2;
/** Ids of four characters. */
const kFirstId = 36 ** 3;
const kWarmUpId = 'warm';

const kBody = 'body of 16 bytes';
const kNames = ['X-Attempt-Id: {id}', 'X-Response-Seal: seal'];
const kInterim = 'HTTP/1.1 103 Early Hints\r\nLink: </style.css>; rel=preload\r\n\r\n';
const kChunks = `7\r\n${kBody.slice(0, 7)}\r\n09;part=last\r\n${kBody.slice(7)}\r\n0\r\n`;

function sample(name: string, framing: string[], body: string, over: Partial<SampleResponse> & { start?: string } = {}): SampleResponse {
  const status = over.status ?? 200;
  const lines = [over.start ?? `HTTP/1.1 ${status} Some Reason`, ...kNames, ...framing];
  return { name, method: 'GET', status, body: kBody, framed: true, text: `${lines.join('\r\n')}\r\n\r\n${body}`, ...over };
}

const kLength = `Content-Length: ${kBody.length}`;
/** Longer than any body that the clients accept. */
const kTooLong = 'Content-Length: 100000000';
const kChunked = 'Transfer-Encoding: chunked';

const kFramed = [
  sample('length', [kLength], kBody),
  sample('length, status 500', [kLength], kBody, { status: 500 }),
  sample('length, close', [kLength, 'Connection: close'], kBody),
  sample('length 0', ['Content-Length: 0'], '', { body: '' }),
  sample('length, HTTP/1.0', [kLength], kBody, { start: 'HTTP/1.0 200 OK' }),
  sample('chunks', [kChunked], `${kChunks}\r\n`),
  sample('chunks, close, status 404', [kChunked, 'Connection: close'], `${kChunks}\r\n`, { status: 404 }),
  sample('chunks and trailers', [kChunked, 'Trailer: X-Sum'], `${kChunks}X-Sum: 1\r\nX-More: 2\r\n\r\n`),
  sample('HEAD', [kLength], '', { method: 'HEAD', body: '' }),
  sample('HEAD, no length', [], '', { method: 'HEAD', body: '' }),
  sample('HEAD, length beyond the limit', [kTooLong], '', { method: 'HEAD', body: '' }),
  sample('status 204', [], '', { status: 204, body: '' }),
  sample('status 304', [kLength], '', { status: 304, body: '' }),
  sample('status 304, length beyond the limit', [kTooLong], '', { status: 304, body: '' }),
];

const kUnframed = [
  sample('no length', [], kBody),
  sample('no length, close', ['Connection: close'], kBody),
  sample('no length, HTTP/1.0', [], kBody, { start: 'HTTP/1.0 200 OK' }),
  sample('no length, status 500', [], kBody, { status: 500 }),
  sample('other coding', ['Transfer-Encoding: gzip'], kBody),
  sample('chunks within another coding', ['Transfer-Encoding: chunked, gzip'], `${kChunks}\r\n`),
  sample('another coding within chunks', ['Transfer-Encoding: gzip, chunked'], `${kChunks}\r\n`),
  sample('two codings in two headers', ['Transfer-Encoding: gzip', kChunked], `${kChunks}\r\n`),
  sample('length and another coding', [kLength, 'Transfer-Encoding: gzip'], kBody),
  sample('length and chunks', [kLength, kChunked], `${kChunks}\r\n`),
  sample('chunks and length', [kChunked, kLength], `${kChunks}\r\n`),
  sample('empty length', ['Content-Length: '], kBody),
  sample('two lengths', ['Content-Length: 1', kLength], kBody),
].map((unframed) => ({ ...unframed, framed: false }));

/** Puts the first two headers of a response last. */
function reordered(response: SampleResponse): SampleResponse {
  const [head = '', ...body] = response.text.split('\r\n\r\n');
  const [start = '', id = '', seal = '', ...rest] = head.split('\r\n');
  const text = [[start, ...rest, seal, id].join('\r\n'), ...body].join('\r\n\r\n');
  return { ...response, name: `${response.name}, reordered`, text };
}

function afterInterim(response: SampleResponse, interim: string): SampleResponse {
  return { ...response, name: `${response.name}, after an interim response`, text: interim + response.text };
}

/** Sent also with another order of headers, and after interim responses. */
const kVaried = [...kFramed, ...kUnframed].filter(({ name }) => ['length', 'chunks', 'status 204', 'no length'].includes(name));

const kSampleResponses: readonly SampleResponse[] = [
  ...kFramed,
  ...kUnframed,
  ...kVaried.map(reordered),
  ...kVaried.map((response) => afterInterim(response, kInterim)),
  ...kVaried.map((response) => afterInterim(response, `${kInterim}HTTP/1.1 102 Processing\r\n\r\n`)),
];

/** A response that is cut at an offset, and what follows. */
export interface Cut {
  response: SampleResponse;
  at: number;
  end: CutEnd;
}

/** All cuts; the last one of each response sends it whole. */
export function* allCuts(): Generator<Cut> {
  for (const end of kEnds) {
    for (const response of kSampleResponses) {
      for (let at = 0; at <= response.text.length; at++) {
        yield { response, at, end };
      }
    }
  }
}

const kWhole: Cut = { response: sample('whole', [kLength], kBody), at: Infinity, end: 'silence' };

/** One connection of a client to the target. */
export interface CutClient {
  /**
   * Sends a request and returns its result: status and body of a whole response, or `failed`. Gives up when `silent`
   * is fulfilled.
   */
  run(id: string, method: string, silent: Promise<void>): Promise<string>;
  close(): void;
}

/** Sends one request for each cut, each with a new client, behind a whole response if `kept`. Returns the wrong results and their number. */
export async function playCuts(
  open: (address: string) => CutClient,
  { kept, parallel }: { kept: boolean; parallel: number },
): Promise<{ cuts: number; wrong: Record<string, number> }> {
  const played = new Map<string, { cut: Cut; written: () => void }>();
  const target = new RawTarget(({ id, connection }) => {
    const { cut, written } = played.get(id) ?? { cut: kWhole, written: () => undefined };
    const text = cut.response.text.replace('{id}', id).slice(0, cut.at);
    switch (cut.end) {
      case 'close':
        connection.end(text);
        return;
      case 'reset':
        connection.write(text);
        setTimeout(() => connection.resetAndDestroy(), kReadMs);
        return;
      case 'silence':
        connection.write(text);
        setTimeout(written, kReadMs);
        return;
    }
  });
  await target.start();
  const wrong: Record<string, number> = {};
  const cuts = allCuts();
  let count = 0;
  const playNext = async (cut: Cut): Promise<void> => {
    const id = (kFirstId + count++).toString(36);
    const client = open(target.address);
    if (kept) {
      await client.run(kWarmUpId, 'GET', new Promise(() => undefined));
    }
    const { response, at, end } = cut;
    const whole = response.framed && at === response.text.length;
    const given = await new Promise<string>((resolve) => {
      const written = new Promise<void>((done) => played.set(id, { cut, written: whole ? () => undefined : done }));
      void client.run(id, response.method, written).then(resolve);
    });
    client.close();
    played.delete(id);
    // Data in front of a reset may be discarded.
    const right = given === (whole ? `${response.status} ${response.body}` : 'failed') || (whole && end === 'reset' && given === 'failed');
    if (!right) {
      const title = `${response.name}: ${whole ? 'whole' : 'cut'}, ${end}: ${given.split(' ')[0]}`;
      wrong[title] = (wrong[title] ?? 0) + 1;
    }
  };
  const work = async (): Promise<void> => {
    for (let next = cuts.next(); next.done !== true; next = cuts.next()) {
      await playNext(next.value);
    }
  };
  await Promise.all(Array.from({ length: parallel }, work));
  target.close();
  return { cuts: count, wrong };
}
