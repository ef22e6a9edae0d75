/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Answers of keyed calls at the daemon that ran them, for callers that repeat.
 *
 * Bounded in bytes: the oldest answers go first and leave the fact that the call ran, so that a repeat is told
 * `outcome_unknown` and is never run again.
 */

import type { ServeResult } from '../procedures/served.js';

/** What is known of a key here. */
export type KeyState =
  | { kind: 'running'; body: string }
  | { kind: 'answered'; body: string; served: ServeResult }
  | { kind: 'forgotten'; body: string }
  /** The call was given up before it ran; a repeat here may take its claim up again. */
  | { kind: 'abandoned'; body: string; nonce: string }
  /** The claim is being given back to the log; nothing may run under it any more. */
  | { kind: 'releasing'; body: string; nonce: string };

/** Bytes counted for an entry beside its body. */
const kEntryBytes = 400;
const kMaxForgotten = 20_000;
const kMaxAbandoned = 10_000;

type Waiter = (served: ServeResult | undefined) => void;

/** Store of recorded answers. */
export class AnswerStore {
  private readonly _states = new Map<string, KeyState>();
  private readonly _waiters = new Map<string, Set<Waiter>>();
  private readonly _answered = new Set<string>();
  private readonly _forgotten = new Set<string>();
  private readonly _abandoned = new Set<string>();
  private _bytes = 0;

  /** @param _capacity bytes of answers kept */
  constructor(private readonly _capacity: number) {}

  /** Bytes of recorded answers. */
  get bytes(): number {
    return this._bytes;
  }

  /** State of a key. */
  get(key: string): KeyState | undefined {
    return this._states.get(key);
  }

  /** Notes that the call with this key is about to run here. */
  begin(key: string, body: string): void {
    this._abandoned.delete(key);
    this._states.set(key, { kind: 'running', body });
  }

  /** Forgets the key: its call was not run, and another attempt may be made. */
  drop(key: string, served?: ServeResult): void {
    this._states.delete(key);
    this._wake(key, served);
  }

  /** Notes that the call was given up before it ran, although its claim holds or may still land in the log. */
  abandon(key: string, claim: { body: string; nonce: string }, served: ServeResult): void {
    this._states.set(key, { kind: 'abandoned', ...claim });
    this._abandoned.add(key);
    this._wake(key, served);
    this._trim();
  }

  /** Bars an abandoned claim from being taken up again; returns its nonce, or undefined when there is none. */
  beginRelease(key: string): string | undefined {
    const state = this._states.get(key);
    if (state?.kind !== 'abandoned' && state?.kind !== 'releasing') {
      return undefined;
    }
    this._abandoned.delete(key);
    this._states.set(key, { ...state, kind: 'releasing' });
    return state.nonce;
  }

  /** Records the end of a call. */
  record(key: string, served: ServeResult): void {
    const body = this._states.get(key)?.body ?? '';
    this._states.set(key, { kind: 'answered', body, served });
    this._answered.add(key);
    this._bytes += sizeOf(served);
    this._wake(key, served);
    this._trim();
  }

  /** Calls back once the running call of this key ended; undefined when it was given up. Returns how to stop waiting. */
  wait(key: string, waiter: Waiter): () => void {
    const waiters = this._waiters.get(key) ?? new Set<Waiter>();
    waiters.add(waiter);
    this._waiters.set(key, waiters);
    return () => {
      waiters.delete(waiter);
    };
  }

  private _wake(key: string, served: ServeResult | undefined): void {
    const waiters = this._waiters.get(key);
    this._waiters.delete(key);
    for (const waiter of waiters ?? []) {
      waiter(served);
    }
  }

  private _trim(): void {
    for (const key of this._answered) {
      if (this._bytes <= this._capacity) {
        break;
      }
      this._forget(key);
    }
    this._dropOldest(this._forgotten, kMaxForgotten);
    this._dropOldest(this._abandoned, kMaxAbandoned);
  }

  /** What is dropped here is still barred by its claim in the log, or by its settler: its repeat is told `outcome_unknown`. */
  private _dropOldest(keys: Set<string>, most: number): void {
    for (const key of keys) {
      if (keys.size <= most) {
        return;
      }
      keys.delete(key);
      this._states.delete(key);
    }
  }

  private _forget(key: string): void {
    const state = this._states.get(key);
    this._answered.delete(key);
    if (state?.kind !== 'answered') {
      return;
    }
    this._bytes -= sizeOf(state.served);
    this._states.set(key, { kind: 'forgotten', body: state.body });
    this._forgotten.add(key);
  }
}

function sizeOf(served: ServeResult): number {
  return kEntryBytes + (served.kind === 'answer' ? served.answer.body.byteLength : 0);
}
