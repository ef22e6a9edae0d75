/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** What the claimant of a key tells another daemon that asks for the answer. */

import type { FetchResult } from '../procedures/effects.js';
import type { AnswerStore } from './answerStore.js';

/** A question for the answer of a key. */
export interface AnswerQuestion {
  key: string;
  body: string;
  /** Who holds the key, as the asking daemon was told: `daemon/incarnation`, or that with a nonce. */
  claimant: string;
}

/** Looks a key up at the daemon `self`, given as `daemon/incarnation`. */
export function lookUpAnswer(answers: AnswerStore, question: AnswerQuestion, self: string): FetchResult {
  const { key, body, claimant } = question;
  if (claimant !== self && !claimant.startsWith(`${self}/`)) {
    return { kind: 'unknown' };
  }
  const state = answers.get(key);
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
