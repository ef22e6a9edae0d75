/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Results of served calls. */

import type { ErrorKind, Outcome } from '../errors/errorKind.js';

/** A complete response of a target. */
export interface TargetResponse {
  status: number;
  headers: Record<string, string | string[]>;
  body: Uint8Array;
}

/** Result of a call for its caller: a target's complete response, or one of the error kinds. */
export type ServeResult =
  | { kind: 'answer'; answer: TargetResponse }
  | {
      kind: 'error';
      error: ErrorKind;
      outcome: Outcome;
      detail: string;
      /** Set when `not_run` applies to this try only: an earlier try under the same key may have run. */
      thisTryOnly?: boolean;
    };

/** Creates an error result. The outcome is the one that the attempts prove, which may differ from the default of the kind. */
export function errorResult(error: ErrorKind, outcome: Outcome, detail: string): ServeResult {
  return { kind: 'error', error, outcome, detail };
}
