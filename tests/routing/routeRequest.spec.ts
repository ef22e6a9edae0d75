/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { type CallResult, type Offer, type RouteResult, routeRequest, type TargetRecord } from '@gentiandrum/core';
import fc from 'fast-check';
import { describe, it } from '../support/describe.js';

const kAnswered: CallResult = { kind: 'answered', answer: { status: 200, headers: [], body: Buffer.alloc(0) } };
const kFailed: CallResult = { kind: 'answered', answer: { status: 500, headers: [], body: Buffer.alloc(0) } };
const kLost: CallResult = { kind: 'lost', reason: 'link lost' };
const kRefused: CallResult = { kind: 'not_run', reason: 'overloaded', retryAfterMs: 10 };
const kShed: CallResult = { kind: 'not_run', reason: 'target_refused', retryAfterMs: 10 };

function record(host: string): TargetRecord {
  return { host, zone: 'z', peers: '', service: 's', instance: `i-${host}`, state: 'ready', slots: 1, epoch: 1, revision: 1 };
}

function runRoute(idempotent: boolean, maxAttempts: number, results: readonly CallResult[]): { offers: Offer[]; result: RouteResult } {
  const hosts = ['a', 'b', 'c', 'd', 'e'].map(record);
  const procedure = routeRequest(
    { idempotent, maxAttempts },
    {
      choose: (excluded) => hosts.find(({ host }) => !excluded.has(host)),
      remainingMs: () => 1_000,
      verdict: () => 'clear',
      maySendSuspect: () => true,
      minUsefulMs: () => 5,
    },
  );
  const offers: Offer[] = [];
  let step = procedure.next();
  while (step.done !== true) {
    offers.push(step.value);
    step = procedure.next(results[offers.length - 1] ?? kRefused);
  }
  return { offers, result: step.value };
}

describe('routing procedure', () => {
  it('should not repeat a non-idempotent request that may have run', (t) => {
    for (const first of [kAnswered, kFailed, kLost]) {
      const { offers, result } = runRoute(false, 3, [first, kAnswered]);
      t.is(offers.length, 1);
      t.is(result, first);
    }
  });

  it('should offer a request only once more after a target refuses it for its rate limit', (t) => {
    const limited: CallResult = { kind: 'not_run', reason: 'rate_limited', retryAfterMs: 120 };
    t.is(runRoute(false, 3, [limited, kAnswered]).result, kAnswered);
    const { offers, result } = runRoute(false, 3, [limited, limited, kAnswered]);
    t.is(offers.length, 2);
    t.is(result, limited);
  });

  it('should offer a request to no other target when its chain cannot end in time, since none of them can help', (t) => {
    const tooLate: CallResult = { kind: 'not_run', reason: 'too_late', retryAfterMs: 0 };
    const { offers, result } = runRoute(true, 3, [tooLate, kAnswered]);
    t.is(offers.length, 1);
    t.is(result, tooLate);
  });

  it('should try another target when the request provably did not run', (t) => {
    for (const first of [kRefused, kShed]) {
      t.is(runRoute(false, 3, [first, kAnswered]).result, kAnswered);
    }
  });

  it('should repeat an idempotent request on another target', (t) => {
    for (const first of [kFailed, kLost]) {
      const { offers, result } = runRoute(true, 2, [first, kAnswered]);
      t.is(result, kAnswered);
      t.deepEqual(
        offers.map(({ target, repeat }) => [target.host, repeat]),
        [
          ['a', false],
          ['b', true],
        ],
      );
    }
  });

  it('should report "not run" only when no offer may have run, and respect the maximum number of attempts', (t) => {
    const anyResult = fc.constantFrom(kAnswered, kFailed, kLost, kRefused, kShed);
    fc.assert(
      fc.property(
        fc.boolean(),
        fc.integer({ min: 1, max: 3 }),
        fc.array(anyResult, { minLength: 5, maxLength: 5 }),
        (idempotent, maxAttempts, results) => {
          const { offers, result } = runRoute(idempotent, maxAttempts, results);
          const received = results.slice(0, offers.length);
          const ran = received.filter(({ kind }) => kind !== 'not_run').length;
          return (result.kind !== 'not_run' || ran === 0) && ran <= (idempotent ? maxAttempts : 1);
        },
      ),
    );
    t.pass();
  });

  it('should return the response of a failing target when no other target accepts the repeat', (t) => {
    t.is(runRoute(true, 2, [kFailed, kRefused, kRefused, kRefused, kRefused]).result, kFailed);
  });
});
