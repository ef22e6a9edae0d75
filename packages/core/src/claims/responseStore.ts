/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Stores the results of keyed calls at the daemon that ran them, so that repeated calls get the recorded response.
 *
 * Bounded in bytes: the oldest responses are evicted first. Their keys stay as `forgotten`, so that a repeated call fails with
 * `outcome_unknown` instead of running again.
 */

import type { ServeResult } from '../procedures/serveResult.js';

/** Local state of a key. `body` is the digest of the request body. */
export type KeyState =
  | { kind: 'running'; body: string }
  | { kind: 'answered'; body: string; served: ServeResult }
  | { kind: 'forgotten'; body: string }
  /** The call was abandoned before it ran; a repeated call on this daemon may reuse its claim. */
  | { kind: 'abandoned'; body: string; nonce: string }
  /** The claim was abandoned, and another daemon may have replaced it at the settler; no call may run under it any more. */
  | { kind: 'given_up'; body: string; nonce: string }
  /** The claim is being released in the log; no call may run under it any more. */
  | { kind: 'releasing'; body: string; nonce: string };

/** Estimated size of an entry without its body, in bytes. */
const kEntryBytes = 400;
const kMaxForgotten = 20_000;
const kMaxAbandoned = 10_000;

type Waiter = (served: ServeResult | undefined) => void;

/** Results of keyed calls, by key. */
export class ResponseStore {
  private readonly _states = new Map<string, KeyState>();
  private readonly _waiters = new Map<string, Set<Waiter>>();
  private readonly _answered = new Set<string>();
  private readonly _forgotten = new Set<string>();
  private readonly _abandoned = new Set<string>();
  private _bytes = 0;

  /** @param _capacity maximum size of the recorded results, in bytes */
  constructor(private readonly _capacity: number) {}

  /** Size of the recorded results, in bytes. */
  get bytes(): number {
    return this._bytes;
  }

  get(key: string): KeyState | undefined {
    return this._states.get(key);
  }

  /** Marks the call with this key as running on this daemon. */
  begin(key: string, body: string): void {
    this._abandoned.delete(key);
    this._states.set(key, { kind: 'running', body });
  }

  /** Removes the key of a call that did not run, so that another attempt may be made. */
  drop(key: string, served?: ServeResult): void {
    this._states.delete(key);
    this._notifyWaiters(key, served);
  }

  /** Marks the call as abandoned before it ran, although its claim holds or may still be appended to the log. */
  abandon(key: string, claim: { body: string; nonce: string }, served: ServeResult): void {
    this._states.set(key, { kind: 'abandoned', ...claim });
    this._abandoned.add(key);
    this._notifyWaiters(key, served);
    this._trim();
  }

  /** Prevents reuse of an abandoned claim that a settler granted, so that another daemon may replace it. */
  giveUp(key: string): void {
    const state = this._states.get(key);
    if (state?.kind === 'abandoned') {
      this._states.set(key, { ...state, kind: 'given_up' });
    }
  }

  /** Prevents reuse of an abandoned claim while it is released; returns its nonce, or undefined when there is none. */
  beginRelease(key: string): string | undefined {
    const state = this._states.get(key);
    if (state?.kind !== 'abandoned' && state?.kind !== 'releasing') {
      return undefined;
    }
    this._abandoned.delete(key);
    this._states.set(key, { ...state, kind: 'releasing' });
    return state.nonce;
  }

  /** Records the result of a call. */
  record(key: string, served: ServeResult): void {
    const body = this._states.get(key)?.body ?? '';
    this._states.set(key, { kind: 'answered', body, served });
    this._answered.add(key);
    this._bytes += sizeOf(served);
    this._notifyWaiters(key, served);
    this._trim();
  }

  /** Calls `waiter` when the running call of this key is over, with undefined when it has no result. Returns a cancel function. */
  wait(key: string, waiter: Waiter): () => void {
    const waiters = this._waiters.get(key) ?? new Set<Waiter>();
    waiters.add(waiter);
    this._waiters.set(key, waiters);
    return () => {
      waiters.delete(waiter);
    };
  }

  private _notifyWaiters(key: string, served: ServeResult | undefined): void {
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
      this._evictResponse(key);
    }
    this._evictOldest(this._forgotten, kMaxForgotten);
    this._evictOldest(this._abandoned, kMaxAbandoned);
  }

  /** Removes the oldest keys. Their claim in the log, or their settler, still prevents a second run of the call. */
  private _evictOldest(keys: Set<string>, limit: number): void {
    for (const key of keys) {
      if (keys.size <= limit) {
        return;
      }
      keys.delete(key);
      this._states.delete(key);
    }
  }

  private _evictResponse(key: string): void {
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
