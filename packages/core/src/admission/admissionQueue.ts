/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Queue of calls that wait for a slot, the most important first.
 *
 * Order: rank, then invested work (deeper calls first), then age. Once a queue stands, newer calls go first among
 * equals: they still have the time to be answered.
 */

/** What the queue must know of a call. */
export interface QueuedCall {
  id: string;
  rank: number;
  /** Calls made on the way here: the work that would be wasted. */
  depth: number;
  /** Monotonic time at which the call's deadline passes, in milliseconds. */
  deadline: number;
  queuedAt: number;
}

/** Priority queue of one gate. */
export class AdmissionQueue<T extends QueuedCall> {
  /** Sorted, the next call to start last. */
  private readonly _calls: T[] = [];

  /** Number of waiting calls. */
  get size(): number {
    return this._calls.length;
  }

  /** Waiting calls that would start before a call of this rank. */
  countAhead(call: QueuedCall): number {
    return this._calls.length - this._position(call, false);
  }

  /** Adds a call. `newestFirst` tells that a queue stands. */
  add(call: T, newestFirst: boolean): void {
    this._calls.splice(this._position(call, newestFirst), 0, call);
  }

  /** Takes the most important call. */
  takeMostImportant(): T | undefined {
    return this._calls.pop();
  }

  /** The least important call. */
  leastImportant(): T | undefined {
    return this._calls[0];
  }

  /** Takes the least important call. */
  takeLeastImportant(): T | undefined {
    return this._calls.shift();
  }

  /** Takes a call out; false when it does not wait. */
  remove(id: string): boolean {
    const index = this._calls.findIndex((call) => call.id === id);
    if (index < 0) {
      return false;
    }
    this._calls.splice(index, 1);
    return true;
  }

  /** Takes every call out. */
  takeAll(): T[] {
    return this._calls.splice(0);
  }

  private _position(call: QueuedCall, newestFirst: boolean): number {
    let low = 0;
    let high = this._calls.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const other = this._calls[middle];
      if (other && startsAfter(other, call, newestFirst)) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}

/** Whether `waiting` starts after `call`. */
function startsAfter(waiting: QueuedCall, call: QueuedCall, newestFirst: boolean): boolean {
  if (waiting.rank !== call.rank) {
    return waiting.rank > call.rank;
  }
  if (waiting.depth !== call.depth) {
    return waiting.depth < call.depth;
  }
  return newestFirst;
}
