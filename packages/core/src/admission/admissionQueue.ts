/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Priority queue of the calls that wait for a slot.
 *
 * Calls are ordered by rank, then by depth (deeper first), then by age: oldest first, or newest first in a standing
 * queue, where newer calls are more likely to meet their deadline.
 */

/** Properties of a call that determine its position in the queue. */
export interface QueuedCall {
  id: string;
  rank: number;
  /** Number of upstream calls in the chain, whose work is lost when this call is shed. */
  depth: number;
  /** Deadline on the monotonic clock, in milliseconds. */
  deadline: number;
  queuedAt: number;
}

/** Priority queue of one gate. */
export class AdmissionQueue<T extends QueuedCall> {
  /** Sorted calls; the next one to start is the last element. */
  private readonly _calls: T[] = [];

  get size(): number {
    return this._calls.length;
  }

  /** Counts the waiting calls that would start before this call. */
  countAhead(call: QueuedCall): number {
    return this._calls.length - this._position(call, false);
  }

  /** Adds a call. `newestFirst` places it before waiting calls of the same rank and depth. */
  add(call: T, newestFirst: boolean): void {
    this._calls.splice(this._position(call, newestFirst), 0, call);
  }

  /** Removes and returns the most important call. */
  takeMostImportant(): T | undefined {
    return this._calls.pop();
  }

  leastImportant(): T | undefined {
    return this._calls[0];
  }

  /** Removes and returns the least important call. */
  takeLeastImportant(): T | undefined {
    return this._calls.shift();
  }

  /** Removes a call; false when it is not in the queue. */
  remove(id: string): boolean {
    const index = this._calls.findIndex((call) => call.id === id);
    if (index < 0) {
      return false;
    }
    this._calls.splice(index, 1);
    return true;
  }

  /** Removes and returns all calls. */
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

function startsAfter(waiting: QueuedCall, call: QueuedCall, newestFirst: boolean): boolean {
  if (waiting.rank !== call.rank) {
    return waiting.rank > call.rank;
  }
  if (waiting.depth !== call.depth) {
    return waiting.depth < call.depth;
  }
  return newestFirst;
}
