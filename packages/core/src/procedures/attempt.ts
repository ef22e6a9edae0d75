/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Life of one attempt, and what the attempts of a call together prove.
 */

import type { ErrorKind, Outcome } from '../errors/errorKind.js';
import type { Choice } from '../routing/targetPicker.js';
import type { TargetResponse } from './served.js';

/** State of an attempt. `offered` stands until something is heard: the target may have started by then. */
export type AttemptState =
  | { kind: 'planned' }
  | { kind: 'offered' }
  /** The gate, or the target's own shedding, turned it away before the start. */
  | { kind: 'refused'; reason: ErrorKind }
  | { kind: 'answered'; answer: TargetResponse }
  /** It may have run and gave no whole answer. */
  | { kind: 'failed'; reason: ErrorKind }
  /** Nothing was heard. `written` tells whether a byte may have reached the gate. */
  | { kind: 'lost'; written: boolean }
  | { kind: 'cancelled'; beforeStart: boolean };

/** One attempt of a call. */
export interface Attempt {
  id: string;
  choice: Choice;
  /** Allowance lent to it. */
  allowance: number;
  state: AttemptState;
}

/** Whether the attempt provably never started at the target. */
export function provablyNotRun(state: AttemptState): boolean {
  switch (state.kind) {
    case 'planned':
    case 'refused':
      return true;
    case 'lost':
      return !state.written;
    case 'cancelled':
      return state.beforeStart;
    case 'offered':
    case 'answered':
    case 'failed':
      return false;
  }
}

/** What may be told of a call that got no answer: `not_run` only if that holds for every attempt. */
export function proveOutcome(attempts: readonly Attempt[]): Outcome {
  return attempts.every((attempt) => provablyNotRun(attempt.state)) ? 'not_run' : 'unknown';
}
