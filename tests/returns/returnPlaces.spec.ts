/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Places for returns: guards against second refusals, against admission beyond the level, and against unbounded state. */

import { type ReturnKey, ReturnPlaces, RootAdmission, seededRandom, type ShedRequest } from '@gentiandrum/core';
import { describe, it } from '../support/describe.js';

const kCapacity = 12;

const kShed: ShedRequest = {
  route: 'r',
  level: 0.375,
  remainingMs: 3_000,
  latencyTargetMs: 1_500,
  preferred: true,
  canEndLater: true,
};

function keyOf(path: string, workspace = 'w'): ReturnKey {
  return { workspace, identity: () => ({ method: 'POST', host: 'app', path, body: Buffer.from(path) }) };
}

/** Places after 10 s with 12 admitted requests per second: a place each 0.25 s. */
function warm(): ReturnPlaces {
  const places = new ReturnPlaces();
  for (let at = 0; at < 10_000; at += 1_000 / 12) {
    places.admitted('r', at);
  }
  return places;
}

interface Tally {
  returned: number;
  refusedAgain: number;
  offered: number;
  admitted: number;
  /** New requests that were admitted. */
  fresh: number;
}

/**
 * One daemon with 12/s of capacity, to which the level limits what is offered, and 1.6 times as many new requests, whose callers return
 * once, after `returnAfter` of the told time.
 */
function simulate(withPlaces: boolean, returnAfter: number | undefined, seconds = 600): Tally {
  const random = seededRandom(7);
  const places = new ReturnPlaces();
  const admission = new RootAdmission();
  const tally: Tally = { returned: 0, refusedAgain: 0, offered: 0, admitted: 0, fresh: 0 };
  const pending: { at: number; path: string }[] = [];
  let nextFresh = 0;
  let offeredPerSecond = kCapacity * 1.6;
  for (let id = 0, now = 0; now < seconds * 1_000; id++) {
    pending.sort((a, b) => a.at - b.at);
    const returning = pending[0] && pending[0].at < nextFresh ? pending.shift() : undefined;
    const at = returning?.at ?? nextFresh;
    offeredPerSecond = offeredPerSecond * Math.exp((now - at) / 3_000) + 1 / 3;
    now = at;
    const level = Math.max(0, 1 - kCapacity / offeredPerSecond);
    nextFresh += returning ? 0 : (-Math.log(1 - random()) * 1_000) / (kCapacity * 1.6);
    const key = keyOf(returning?.path ?? `/${id}`);
    const reserved = withPlaces && places.returns(key, now);
    if (reserved) {
      admission.recordReserved(level, now);
    }
    const admitted = reserved || admission.admits(0, level, random(), now);
    tally.offered++;
    tally.admitted += admitted ? 1 : 0;
    tally.fresh += admitted && !returning ? 1 : 0;
    tally.returned += returning ? 1 : 0;
    tally.refusedAgain += returning && !admitted ? 1 : 0;
    if (admitted) {
      places.admitted('r', now);
    } else if (!returning) {
      const today = kShed.latencyTargetMs * 0.3 * (1 + random());
      const told = (withPlaces ? places.refused(key, { ...kShed, level }, now)?.retryAfterMs : undefined) ?? today;
      if (returnAfter !== undefined && told < kShed.remainingMs / 3) {
        pending.push({ at: now + told * returnAfter, path: `/${id}` });
      }
    }
  }
  return tally;
}

describe('places for returns', () => {
  it('should admit nine of ten callers that return when told, at the rate that the level allows', (t) => {
    const [now, before] = [simulate(true, 1), simulate(false, 1)];
    t.log({ now, before });
    t.true(now.returned > 1_000);
    t.true(now.refusedAgain <= 0.1 * now.returned, `${now.refusedAgain} of ${now.returned}`);
    t.true(before.refusedAgain > 0.3 * before.returned);
    t.true(Math.abs(now.admitted / (600 * kCapacity) - 1) < 0.04, `${now.admitted} admitted`);
  });

  it('should give no advantage to callers that return early', (t) => {
    const { refusedAgain, returned, fresh, offered } = simulate(true, 0.5);
    const newRefused = 1 - fresh / (offered - returned);
    t.log({ refusedAgain, returned, newRefused });
    t.true(refusedAgain / returned > newRefused - 0.03, `${refusedAgain} of ${returned}, new ones ${newRefused}`);
  });

  it('should not admit less where callers never return', (t) => {
    const [never, off] = [simulate(true, undefined), simulate(false, undefined)];
    t.is(never.admitted, off.admitted);
  });

  it('should be valid from shortly before the told time until 300 ms after it, once', (t) => {
    const places = warm();
    const told = places.refused(keyOf('/a'), kShed, 10_000)?.retryAfterMs ?? 0;
    t.false(places.returns(keyOf('/a'), 10_000 + told - 20));
    t.false(places.returns(keyOf('/a', 'other'), 10_000 + told));
    t.false(places.returns(keyOf('/b'), 10_000 + told));
    t.true(places.returns(keyOf('/a'), 10_000 + told + 300));
    t.false(places.returns(keyOf('/a'), 10_000 + told + 300));
  });

  it('should free the rate of a lapsed place, and state a longer time where none is left', (t) => {
    const places = warm();
    const times = Array.from({ length: 8 }, (_, i) => places.refused(keyOf(`/${i}`), kShed, 10_000));
    const kept = times.filter((time) => time?.kept);
    t.true(kept.length >= 3 && kept.length <= 5, `${kept.length}`);
    t.true((times.at(-1)?.retryAfterMs ?? 0) >= 1_000);
    const unused = places.refused(keyOf('/x'), kShed, 10_326)?.kept;
    t.is(places.counts.lapsed, 1);
    t.true(unused === true);
  });

  it('should leave the places that are furthest ahead to more urgent requests', (t) => {
    const places = warm();
    const book = (preferred: boolean): boolean[] =>
      Array.from({ length: 8 }, (_, i) => places.refused(keyOf(`/${i}/${preferred}`), { ...kShed, preferred }, 10_000)?.kept === true);
    const count = (kept: boolean[]): number => kept.filter(Boolean).length;
    t.true(count(book(false)) > 0);
    t.is(count(book(false)), 0);
    t.true(count(book(true)) > 0);
  });

  it('should have no place where nothing was admitted, the level is total, or a return would end too late', (t) => {
    t.is(new ReturnPlaces().refused(keyOf('/a'), kShed, 0), undefined);
    t.is(warm().refused(keyOf('/a'), { ...kShed, level: 1 }, 10_000), undefined);
    t.false(warm().refused(keyOf('/a'), { ...kShed, canEndLater: false }, 10_000)?.kept);
  });

  it('should stay bounded under 100,000 different refused requests', (t) => {
    const places = new ReturnPlaces();
    let largest = 0;
    for (let i = 0; i < 100_000; i++) {
      places.admitted('r', i / 10);
      places.refused(keyOf(`/${i}`), { ...kShed, remainingMs: Infinity, latencyTargetMs: 60_000 }, i / 10);
      largest = Math.max(largest, places.size);
    }
    t.is(largest, 1_024);
    t.false(places.returns(keyOf('/none'), 1_000_000));
    t.is(places.size, 0);
  });
});
