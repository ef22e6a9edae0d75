/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against a caller getting a status, headers or a body that the target did not send in one response to its request. */

import { MemoryAccount } from '@gentiandrum/core';
import { type PeerCall, type RunResult, TargetClient } from '@gentiandrum/mesh';
import { platformDialect } from '@gentiandrum/platform';
import { kDate, RawTarget, type RawRequest, responseText } from '../platform/rawTarget.js';
import { describe, itSerial } from '../support/describe.js';
import { playExtraResponses } from './extraResponsePlay.js';

const kMaxConnections = 10;
const kRemainingMs = 500;
const kCheckMs = 20;
const kSeed = 1;
const kPlayMs = 4_000;
const kCallers = 30;
const kStatuses = [200, 404, 500, 504];
/** Orders of the header lines: the id first, last and in the middle. */
const kOrders = [
  [0, 1, 2, 3],
  [3, 2, 1, 0],
  [2, 0, 3, 1],
];

const kCall: PeerCall = {
  route: 'r',
  service: 'reads',
  waitMs: 100,
  remainingMs: kRemainingMs,
  repeat: false,
  inner: false,
  idempotent: false,
  rank: undefined,
  instance: 'i-1',
  callerService: 'other',
  workspace: undefined,
  suspicion: undefined,
  requestId: '',
  method: 'POST',
  path: '/a/x',
  headers: [],
  body: Buffer.alloc(0),
};

interface Play {
  target: RawTarget;
  run: (requestId: string, call?: Partial<PeerCall>) => Promise<RunResult['result']>;
}

/** Runs a test with a client of a target that responds as `respond` does. */
async function withTarget(respond: (req: RawRequest) => void, body: (play: Play) => Promise<void>): Promise<void> {
  const target = new RawTarget(respond);
  await target.start();
  const ignore = (): undefined => undefined;
  const client = new TargetClient(
    target.address,
    'i-1',
    () => kMaxConnections,
    platformDialect.headers,
    {
      onReachability: ignore,
      onCondition: ignore,
      onLoad: ignore,
      onNoRateLimit: ignore,
      onResponseRefused: ignore,
      onUnsolicited: ignore,
      onCrash: ignore,
    },
    new MemoryAccount(2 ** 26),
  );
  const checking = setInterval(() => {
    client.check();
  }, kCheckMs);
  try {
    await body({
      target,
      run: (requestId, call = {}) =>
        new Promise((resolve) => {
          client.run({ ...kCall, requestId, ...call }, kRemainingMs, ({ result }) => {
            resolve(result);
          });
        }),
    });
  } finally {
    clearInterval(checking);
    client.close();
    target.close();
  }
}

/** Status, headers and body of a result as text; how it ended if it is no response. */
function textOf(result: RunResult['result']): string {
  return result.kind === 'answered' ? `${result.answer.status} ${result.answer.headers.join()} ${String(result.answer.body)}` : result.kind;
}

/** Text of a whole response. */
function wholeText(id: string, status: number, body: string): string {
  return `${status} X-Response-Seal,seal.${id},Date,${kDate} ${body}`;
}

/** Texts of the second response to a request, cut at each offset. */
function* cutResponses(id: string): Generator<[string, string]> {
  for (const status of kStatuses) {
    for (const order of kOrders) {
      const text = responseText(id, status, 'second', order);
      for (let at = 1; at < text.length; at++) {
        yield [text.slice(0, at), text.slice(at)];
      }
    }
  }
}

/**
 * Sends two requests for each cut of the second response to the first one, and returns how many got a response that is not their own.
 * `place` joins the parts with the responses to both.
 */
async function countMixed(
  ownStatus: number,
  place: (parts: [string, string], first: string, own: string) => { first: string; own: string },
): Promise<number> {
  let parts: [string, string] = ['', ''];
  let mixed = 0;
  const respond = ({ id, position, connection }: RawRequest): void => {
    const isFirst = id.startsWith('first');
    const text = responseText(id, isFirst ? 200 : ownStatus, isFirst ? 'first' : 'own');
    const placed = place(parts, text, text);
    connection.write(isFirst ? placed.first : position === 0 ? text : placed.own);
  };
  await withTarget(respond, async ({ run }) => {
    let n = 0;
    for (parts of cutResponses('first')) {
      const first = textOf(await run(`first-${n}`));
      const own = textOf(await run(`own-${n}`));
      mixed += first === wholeText(`first-${n}`, 200, 'first') || first === 'lost' ? 0 : 1;
      mixed += own === wholeText(`own-${n}`, ownStatus, 'own') || own === 'lost' ? 0 : 1;
      n++;
    }
  });
  return mixed;
}

describe('a target that sends a second response to a request in two parts', () => {
  // The connection was used again with an incomplete message in its parser, which took the next status line for a part of a head.
  itSerial('should not have them joined with the next response when the first part follows a response', async (t) => {
    for (const status of kStatuses) {
      const mixed = await countMixed(status, ([start, end], first, own) => ({ first: first + start, own: own + end }));
      t.is(mixed, 0, `status ${status}`);
    }
  });

  // The first part arrives when the next request has been sent, so nothing shows that the connection must not be used.
  itSerial('should not have them joined with the next response when the first part precedes it', async (t) => {
    for (const status of kStatuses) {
      const mixed = await countMixed(status, ([start, end], first, own) => ({ first, own: start + own + end }));
      t.is(mixed, 0, `status ${status}`);
    }
  });
});

describe('a target that responds late to an earlier request', () => {
  // An id that is sent twice on one connection does not identify the response.
  itSerial('should not have that response taken for the one to a request with the same id', async (t) => {
    const respond = ({ id, position, connection }: RawRequest): void => {
      const late = position > 0 ? responseText(id, 200, 'late') : '';
      connection.write(late + responseText(id, 504, 'own'));
    };
    await withTarget(respond, async ({ run }) => {
      t.is(textOf(await run('same')), wholeText('same', 504, 'own'));
      t.is(textOf(await run('same')), wholeText('same', 504, 'own'));
    });
  });

  // Without an id, any response was taken for the one to the request.
  itSerial('should not have that response taken for the one to a request without an id', async (t) => {
    const respond = ({ id, position, connection }: RawRequest): void => {
      const late = position > 0 ? responseText('earlier', 200, 'late') : '';
      connection.write(late + responseText(id, 200, 'own'));
    };
    await withTarget(respond, async ({ run }) => {
      await run('earlier');
      t.is(textOf(await run('')), wholeText('', 200, 'own'));
    });
  });
});

describe('callers of targets that send second responses', () => {
  // Statuses of other responses reached callers with the body of their own one, a success instead of a failure among them.
  itSerial('should get a status and a body that were sent in one response to their request', async (t) => {
    const { wrong, whole, secondResponses } = await playExtraResponses({ seed: kSeed, ms: kPlayMs, callers: kCallers, extra: 'both' });
    t.deepEqual(wrong, []);
    t.true(whole > 0 && secondResponses > 0);
  });
});
