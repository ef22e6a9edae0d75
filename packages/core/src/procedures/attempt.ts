/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * States of one attempt, and the outcome that the attempts of a call prove together.
 */

import type { ErrorKind, Outcome } from '../errors/errorKind.js';
import type { Choice } from '../routing/targetPicker.js';
import type { TargetResponse } from './serveResult.js';

/** State of an attempt. It remains `offered` until a result arrives; the attempt may have started at the target by then. */
export type AttemptState =
  | { kind: 'planned' }
  | { kind: 'offered' }
  /** The gate or the target rejected it before it started. */
  | { kind: 'refused'; reason: ErrorKind }
  | { kind: 'answered'; answer: TargetResponse }
  /** It may have run, but returned no complete response. */
  | { kind: 'failed'; reason: ErrorKind }
  /** No result was received. `written` is true when any byte may have reached the gate. */
  | { kind: 'lost'; written: boolean }
  | { kind: 'cancelled'; beforeStart: boolean };

/** One attempt of a call. */
export interface Attempt {
  id: string;
  choice: Choice;
  /** Retry allowance passed to the attempt. */
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

/** Outcome of a call without a response: `not_run` only if that is proven for every attempt. */
export function proveOutcome(attempts: readonly Attempt[]): Outcome {
  return attempts.every((attempt) => provablyNotRun(attempt.state)) ? 'not_run' : 'unknown';
}
