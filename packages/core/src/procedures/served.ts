/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** How the service of a call ends. */

import type { ErrorKind, Outcome } from '../errors/errorKind.js';

/** A whole answer of a target. */
export interface TargetResponse {
  status: number;
  headers: Record<string, string | string[]>;
  body: Uint8Array;
}

/** What a daemon tells the caller in the end: a target's whole answer, or an error of the closed list. */
export type ServeResult =
  | { kind: 'answer'; answer: TargetResponse }
  | {
      kind: 'error';
      error: ErrorKind;
      outcome: Outcome;
      detail: string;
      /** Set where `not_run` speaks of this try alone: an earlier try under the same key may have run. */
      thisTryOnly?: boolean;
    };

/** Makes an error end. The outcome is what was proved of the attempts, not what the kind alone would allow. */
export function errorResult(error: ErrorKind, outcome: Outcome, detail: string): ServeResult {
  return { kind: 'error', error, outcome, detail };
}
