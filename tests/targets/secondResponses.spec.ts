/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against a caller of the daemon for callers with headers getting a response that its target sent for another request. */

import { STATUS_CODES } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { exchange, Pools } from '@gentiandrum/daemon';
import { kAttemptIdHeader } from '@gentiandrum/protocol';
import { RawTarget, type RawRequest } from '../platform/rawTarget.js';
import { describe, itSerial } from '../support/describe.js';

const kTimeoutMs = 2_000;
const kMaxBytes = 1_000;
const kRequests = 20;
/** Time for data that is written on an idle connection to arrive, in milliseconds. */
const kIdleMs = 2;
const kStatuses = [200, 404, 504];
/** Orders of the header lines: the id first, last and in the middle. */
const kOrders = [
  [0, 1, 2, 3],
  [3, 2, 1, 0],
  [2, 0, 3, 1],
];

/** Data that a target writes: behind its first response, while the connection is idle, and around its response to the next request. */
interface Surplus {
  behind?: string;
  idle?: string;
  ahead?: string;
  end?: string;
}

/** Returns the text of a response; `order` lists the indexes of its header lines. */
type Style = (id: string, status: number, body: string, order?: readonly number[]) => string;
type Place = (start: string, end: string) => Surplus;

/** Returns a style with this name of the header with the id, and this phrase in place of the standard one. */
function styleOf(idHeader: string, ownPhrase?: string): Style {
  return (id, status, body, order = [0, 1, 2, 3]) => {
    const lines = [`${idHeader}: ${id}`, 'Server: raw', `Content-Length: ${body.length}`, 'Date: Sat, 05 Dec 2026 10:00:00 GMT'];
    return `HTTP/1.1 ${status} ${ownPhrase ?? STATUS_CODES[status] ?? ''}\r\n${order.map((i) => lines[i]).join('\r\n')}\r\n\r\n${body}`;
  };
}

const kWithIds = styleOf(kAttemptIdHeader);
const kStyles: Record<string, Style> = {
  'repeats attempt ids': kWithIds,
  'repeats attempt ids and has its own reason phrases': styleOf(kAttemptIdHeader, 'Some Reason'),
  'repeats no attempt ids': styleOf('X-Other-Id', 'Some Reason'),
};

const kWhole: Record<string, Place> = {
  'in one read with the first one': (start, end) => ({ behind: start + end }),
  'while the connection is idle': (start, end) => ({ idle: start + end }),
  'after the next request was sent': (start, end) => ({ ahead: start + end }),
};
const kCut: Record<string, Place> = {
  'follows the first response': (start, end) => ({ behind: start, end }),
  'arrives while the connection is idle': (start, end) => ({ idle: start, end }),
  'precedes the next response': (start, end) => ({ ahead: start, end }),
};

/** Texts of second responses, cut in two. */
function* secondResponses(style: Style, everyOffset: boolean): Generator<[string, string]> {
  for (const status of kStatuses) {
    for (const order of kOrders) {
      const text = style('first', status, 'second', order);
      for (let at = everyOffset ? 1 : text.length; at <= text.length; at++) {
        yield [text.slice(0, at), text.slice(at)];
      }
    }
  }
}

/** Runs a test with a target and a function that sends it a request with this id. */
async function withTarget(
  respond: (id: string, req: RawRequest) => void,
  body: (send: (id: string) => Promise<string>, target: RawTarget) => Promise<void>,
): Promise<void> {
  const target = new RawTarget((req) => {
    respond(req.path.slice(1), req);
  });
  await target.start();
  const pools = new Pools(1);
  const send = async (id: string): Promise<string> => {
    const req = { method: 'GET', path: `/${id}`, headers: { [kAttemptIdHeader]: id }, body: new Uint8Array() };
    const result = await exchange(pools.getTarget(`http://${target.address}`, 1), req, kMaxBytes, kTimeoutMs);
    return result.kind === 'answered' ? `${result.status} ${String(result.body)}` : result.kind;
  };
  try {
    await body(send, target);
  } finally {
    await pools.destroy();
    target.close();
  }
}

/** Sends two requests for each second response to the first one; returns those that got another response than their own. */
async function findMixed(style: Style, place: Place, everyOffset: boolean): Promise<string[]> {
  let surplus: Surplus = {};
  let ownStatus = 500;
  let socket: Socket | undefined;
  const mixed: string[] = [];
  const respond = (id: string, { position, connection }: RawRequest): void => {
    if (id.startsWith('first')) {
      socket = connection;
      connection.write(style(id, 200, id) + (surplus.behind ?? ''));
    } else {
      const own = style(id, ownStatus, id);
      connection.write(position === 0 ? own : `${surplus.ahead ?? ''}${own}${surplus.end ?? ''}`);
    }
  };
  await withTarget(respond, async (send) => {
    let n = 0;
    for (const [start, end] of secondResponses(style, everyOffset)) {
      n++;
      surplus = place(start, end);
      ownStatus = ownStatus === 500 ? 201 : 500;
      const first = await send(`first-${n}`);
      if (surplus.idle !== undefined) {
        socket?.write(surplus.idle);
        await pause(kIdleMs);
      }
      const own = await send(`own-${n}`);
      if (first !== `200 first-${n}` || ![`${ownStatus} own-${n}`, 'lost', 'truncated'].includes(own)) {
        mixed.push(`${JSON.stringify(start)}: ${first}, ${own}`);
      }
    }
  });
  return mixed;
}

for (const [kind, style] of Object.entries(kStyles)) {
  describe(`a target that ${kind} and sends a second response`, () => {
    // Responses were matched to requests by their order alone.
    for (const [when, place] of Object.entries(kWhole)) {
      itSerial(`should not have it delivered when it arrives ${when}`, async (t) => {
        t.deepEqual(await findMixed(style, place, false), []);
      });
    }

    // The parser took the next status line for a part of a head.
    for (const [when, place] of Object.entries(kCut)) {
      itSerial(`should not have it joined with the next response when its first part ${when}`, async (t) => {
        const mixed = await findMixed(style, place, true);
        t.is(mixed.length, 0, mixed.slice(0, 3).join('\n'));
      });
    }
  });
}

describe('a target that sends the beginning of a second status line', () => {
  // The parser reports only the last piece of a reason phrase, which may be the phrase of the other status.
  itSerial('should not have it joined with a response whose status line arrives in two reads', async (t) => {
    for (const status of [200, 302]) {
      for (let at = 1; at < 'HTTP/1.1 404 Not Found'.length; at++) {
        await withTarget(
          (id, { position, connection }) => {
            const text = kWithIds(id, position === 0 ? 200 : 404, id);
            connection.write(position === 0 ? text : `HTTP/1.1 ${status} ${text.slice(0, at)}`);
            setTimeout(() => connection.write(position === 0 ? '' : text.slice(at)), kIdleMs);
          },
          async (send) => {
            t.is(await send('first'), '200 first');
            t.true(['404 own', 'lost', 'truncated'].includes(await send('own')), `${status}, cut at ${at}`);
          },
        );
      }
    }
  });
});

describe('a target that breaks off a response', () => {
  // The first response on a connection needs no id, so it was accepted with the status of the one that was broken off.
  itSerial('should not have it joined with a whole one to the same request', async (t) => {
    for (const style of Object.values(kStyles)) {
      const [head = ''] = style('own', 200, 'broken off').split('broken off');
      for (let at = 1; at < head.length; at++) {
        await withTarget(
          (id, { connection }) => connection.write(head.slice(0, at) + style(id, 504, 'own')),
          async (send) => {
            t.true(['504 own', 'lost', 'truncated'].includes(await send('own')), `cut at ${at}`);
          },
        );
      }
    }
  });
});

describe('connections to a target', () => {
  // A connection for each request costs targets that can identify their responses latency.
  const kConnections = [1, kRequests, kRequests];
  for (const [i, [kind, style]] of Object.entries(kStyles).entries()) {
    itSerial(`should be ${kConnections[i] ?? 0} for ${kRequests} requests when it ${kind}`, async (t) => {
      await withTarget(
        (id, { connection }) => connection.write(style(id, 200, id)),
        async (send, target) => {
          for (let n = 0; n < kRequests; n++) {
            t.is(await send(`own-${n}`), `200 own-${n}`);
          }
          t.is(target.connections, kConnections[i] ?? 0);
          await pause(kIdleMs * 5);
          // Closed otherwise, each connection would hold a local port for a minute.
          t.is(target.resets, target.connections === 1 ? 0 : kRequests);
        },
      );
    });
  }
});
