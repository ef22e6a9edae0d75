/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against calls that fail although they may be retried and a target would accept them, because another target refused the retry. */

import { type CallEvent, type ErrorKind, kOpenReport, type OfferResult } from '@gentiandrum/core';
import { MatrixWorld } from '../matrix/matrixWorld.js';
import { describe, itSerial } from '../support/describe.js';
import { runRead } from './runRead.js';

const kRetries = 1;

/** Runs a call of a service with the targets b1 and b2; `respond` gives the result of each offer by the target and the number of offers. */
function runCall(respond: (target: string, offerCount: number) => OfferResult): { targets: string[]; served: string } {
  const world = new MatrixWorld([], { beta: ['b1', 'b2'] });
  const procedure = runRead(world, 'b1', { retries: kRetries, deadlineMs: 1_000 });
  const targets: string[] = [];
  const events: CallEvent[] = [];
  let step = procedure.next(undefined);
  while (step.done !== true) {
    const effect = step.value;
    if (effect.type === 'offer') {
      targets.push(effect.to.target);
      events.push({ kind: 'ended', attempt: effect.attempt, result: respond(effect.to.target, targets.length) });
    }
    step = procedure.next(effect.type === 'awaitEvent' ? events.shift() : undefined);
  }
  world.time.restore();
  const { served } = step.value;
  return { targets, served: served.kind === 'error' ? served.error : String(served.answer.status) };
}

function refused(reason: ErrorKind): OfferResult {
  return { kind: 'refused', reason, unspent: kRetries, level: kOpenReport };
}

const kTruncated: OfferResult = { kind: 'failed', reason: 'answer_truncated', retriedBelow: false, unspent: kRetries, level: kOpenReport };
const kAnswered: OfferResult = {
  kind: 'answered',
  answer: { status: 200, headers: {}, body: Buffer.alloc(0) },
  retriedBelow: false,
  unspent: kRetries,
  level: kOpenReport,
};

/** Runs a call to two targets, of which one refuses each offer, and the other truncates its first response. */
function runCallWithRefusingTarget(refusesFirst: boolean, reason: ErrorKind): { targets: string[]; served: string; runs: number } {
  let runs = 0;
  let refusing: string | undefined;
  const result = runCall((target, offerCount) => {
    if (offerCount === 1) {
      refusing = refusesFirst ? target : target === 'b1' ? 'b2' : 'b1';
    }
    if (target === refusing) {
      return refused(reason);
    }
    runs++;
    return runs === 1 ? kTruncated : kAnswered;
  });
  return { ...result, runs };
}

describe('a retry', () => {
  for (const reason of ['overloaded', 'no_target'] as const) {
    itSerial(`should be offered to the target of the failed run when the only other target refuses it as ${reason}`, (t) => {
      const { targets, served, runs } = runCallWithRefusingTarget(false, reason);
      t.deepEqual([served, runs], ['200', 2], targets.join(' '));
    });

    itSerial(`should be offered like a first attempt when a target refused the first attempt as ${reason}, too`, (t) => {
      const { targets, served, runs } = runCallWithRefusingTarget(true, reason);
      t.deepEqual([served, runs], ['200', 2], targets.join(' '));
    });
  }

  itSerial('should not be offered to a target that refused it, nor more than three times', (t) => {
    const { targets, served } = runCall((_target, offerCount) => (offerCount === 1 ? kTruncated : refused('target_leaving')));
    t.is(served, 'attempt_lost');
    t.is(targets.length, 3);
    t.is(new Set(targets.slice(1)).size, 2);
  });
});
