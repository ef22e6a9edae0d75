/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** What the claimant of a key tells another daemon that asks for the answer. */

import type { FetchEnd } from '../procedures/effects.js';
import type { ResponseStore } from './responseStore.js';

/** A question for the answer of a key. */
export interface ResponseQuery {
  key: string;
  body: string;
  /** Who holds the key, as the asking daemon was told: `daemon/incarnation`, or that with a nonce. */
  claimant: string;
}

/** Looks a key up at the daemon `self`, given as `daemon/incarnation`. */
export function lookUpResponse(responses: ResponseStore, query: ResponseQuery, self: string): FetchEnd {
  const { key, body, claimant } = query;
  if (claimant !== self && !claimant.startsWith(`${self}/`)) {
    return { kind: 'unknown' };
  }
  const state = responses.get(key);
  if (state && state.body !== body) {
    return { kind: 'mismatch' };
  }
  switch (state?.kind) {
    case 'answered':
      return { kind: 'recorded', served: state.served };
    case 'running':
      return { kind: 'running' };
    case 'abandoned':
    case 'releasing':
      return { kind: 'not_run' };
    case 'forgotten':
    case undefined:
      return { kind: 'unknown' };
  }
}
