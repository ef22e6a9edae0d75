/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against a caller getting a status, headers or a body that the target did not send in one response to its request. */

import { type RawRequest, responseText } from '../platform/rawTarget.js';
import { describe, itSerial } from '../support/describe.js';
import { playExtraResponses } from './extraResponsePlay.js';
import { kForms, type ResponseForm, textOf, wholeText, withTarget } from './targetPlay.js';

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

/** Forms with a length, by status. */
const kStatusForms = kStatuses.map((status): ResponseForm => ({
  name: `status ${status}`,
  method: 'POST',
  status,
  body: 'own',
  text: (id) => responseText(id, status, 'own'),
}));

/** Texts of a second response, cut at each offset. */
function* cut(text: string): Generator<[string, string]> {
  for (let at = 1; at < text.length; at++) {
    yield [text.slice(0, at), text.slice(at)];
  }
}

/** Texts of the second response to a request with each status and order of header lines, cut at each offset. */
function* cutResponses(): Generator<[string, string]> {
  for (const status of kStatuses) {
    for (const order of kOrders) {
      yield* cut(responseText('first', status, 'second', order));
    }
  }
}

type Place = (parts: [string, string], first: string, own: string) => { first: string; own: string };

/** The first part comes with the response before it, and the connection was used again with an incomplete message in its parser. */
const kBehindFirst: Place = ([start, end], first, own) => ({ first: first + start, own: own + end });
/** The first part arrives when the next request has been sent, so nothing shows that the connection must not be used. */
const kAheadOfOwn: Place = ([start, end], first, own) => ({ first, own: start + own + end });

/**
 * Sends two requests on a connection for each cut of the second response to the first one, and returns how many got a response that is
 * not their own. `place` joins the parts with the responses to both. A lost response is accepted only from the connection that was used
 * again. Each cut has a client of its own, whose connection has had no other request.
 */
async function countMixed(cuts: Iterable<[string, string]>, firstForm: ResponseForm, ownForm: ResponseForm, place: Place): Promise<number> {
  let parts: [string, string] = ['', ''];
  let mixed = 0;
  const respond = ({ id, position, connection }: RawRequest): void => {
    const isFirst = id === 'first';
    const text = (isFirst ? firstForm : ownForm).text(id);
    const placed = place(parts, text, text);
    connection.write(isFirst ? placed.first : position === 0 ? text : placed.own);
  };
  await withTarget(respond, async ({ run, renewClient }) => {
    for (parts of cuts) {
      for (const { id, form } of [
        { id: 'first', form: firstForm },
        { id: 'own', form: ownForm },
      ]) {
        const text = textOf(await run(id, { method: form.method }));
        const mayBeLost = place === kAheadOfOwn && id === 'own';
        mixed += text === wholeText(id, form.status, form.body) || (mayBeLost && text === 'lost') ? 0 : 1;
      }
      renewClient();
    }
  });
  return mixed;
}

describe('a target that sends a second response to a request in two parts', () => {
  const [plain] = kForms as readonly [ResponseForm, ...ResponseForm[]];

  // The parser took the next status line for a part of a head, and callers got the status of another response.
  itSerial('should not have them joined with the next response when the first part follows a response', async (t) => {
    for (const form of kStatusForms) {
      t.is(await countMixed(cutResponses(), plain, form, kBehindFirst), 0, form.name);
    }
  });

  // The same without a sign on the connection before the next request was sent.
  itSerial('should not have them joined with the next response when the first part precedes it', async (t) => {
    for (const form of kStatusForms) {
      t.is(await countMixed(cutResponses(), plain, form, kAheadOfOwn), 0, form.name);
    }
  });

  // Interim heads, chunks, trailers, and responses whose status or method implies that they have no body end in different places.
  for (const second of kForms) {
    itSerial(`should not have them joined with the next response of any form when they are ${second.name}`, async (t) => {
      for (const own of kForms) {
        for (const place of [kBehindFirst, kAheadOfOwn]) {
          t.is(await countMixed(cut(second.text('first')), second, own, place), 0, own.name);
        }
      }
    });
  }
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
