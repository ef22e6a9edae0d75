/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Answers the request of another daemon for the recorded result of a key that this daemon claimed. */

import type { FetchResult } from '../procedures/effects.js';
import type { ResponseStore } from './responseStore.js';

export interface ResponseQuery {
  key: string;
  body: string;
  /** Holder of the key according to the requesting daemon: `daemon/incarnation`, optionally followed by `/nonce`. */
  claimant: string;
}

/**
 * Answers for the daemon `self`, given as `daemon/incarnation`. Claims of another incarnation are unknown. The answer that a claim of a
 * settled key did not run gives the claim up, as the asking daemon may run the call then.
 */
export function answerResponseQuery(responses: ResponseStore, query: ResponseQuery, self: string): FetchResult {
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
    case 'given_up':
    case 'releasing':
      if (isSettled(claimant, self)) {
        responses.giveUp(key);
      }
      return { kind: 'not_run' };
    case 'forgotten':
    case undefined:
      return { kind: 'unknown' };
  }
}

/** Whether a claimant of the daemon `self` holds its key by the grant of a settler, rather than by a claim in the log. */
export function isSettled(claimant: string, self: string): boolean {
  return claimant !== self;
}
