/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Tells the end of a target from the end of a connection. Both look alike to the request that was under way, but a target that ended
 * loses all connections at once and refuses the next one. So the end of a run whose connection was cut waits until the next
 * connection has come about or not; on the same host that takes a round trip.
 */

import { monotonicMs } from '@gentiandrum/core';
import type { PeerCall } from './callCodec.js';

/** Longest wait for the next connection, in milliseconds; a target that is alive and busy may take as long to accept it. */
const kLongestMs = 250;
/**
 * Time for which calls that were broken off, or lost in another way, still count as under way, in milliseconds: a caller that leaves
 * does not end the run, and word of the target's end may come late.
 */
const kRecentMs = 1_000;
/** Such calls that are kept at most. */
const kMaxRecent = 200;
/** Time for the other connections of an ended target to bring what was on its way, in milliseconds. */
const kSettleMs = 5;

/** A call that may still be running though nobody waits for it. */
interface RecentCall {
  call: PeerCall;
  at: number;
}

/** A run whose connection was cut. */
interface CutRun {
  call: PeerCall;
  tell: (ended: boolean) => void;
}

/** What an inquiry uses of its client. */
export interface InquiryTools {
  /** Opens a connection, and reports to the inquiry; false when there may be no further one. */
  probe(): boolean;
  /** Ends all connections to a target that has ended: their runs come to the inquiry too. */
  cutAll(): void;
  /** The target ended while these calls ran there; told before any of them is. */
  onCrash(calls: readonly PeerCall[]): void;
}

/** One inquiry after the other into one incarnation of a target. */
export class CrashInquiry {
  private _cutRuns: CutRun[] = [];
  private _timer: NodeJS.Timeout | undefined;
  private _refused = false;
  private _recent: RecentCall[] = [];

  constructor(private readonly _tools: InquiryTools) {}

  /** A run lost its connection: `tell` is called once it is known whether its target ended. */
  add(call: PeerCall, tell: (ended: boolean) => void): void {
    this._cutRuns.push({ call, tell });
    if (this._timer) {
      return;
    }
    this._timer = setTimeout(() => {
      // A process that stood still has the refusal in hand, and reads it before what is due next.
      this._timer = setTimeout(() => {
        this._conclude(false);
      }, 0);
    }, kLongestMs);
    if (!this._tools.probe()) {
      this._conclude(false);
    }
  }

  /** The target took the connection that the inquiry asked for. */
  connected(): void {
    if (!this._refused) {
      this._conclude(false);
    }
  }

  /** The target refused a connection. */
  refused(): void {
    if (this._refused) {
      return;
    }
    if (!this._timer) {
      this._report([]);
      return;
    }
    this._refused = true;
    clearTimeout(this._timer);
    this._timer = setTimeout(() => {
      this._tools.cutAll();
      this._conclude(true);
    }, kSettleMs);
  }

  /** A run was broken off from here, or brought no whole answer: the target may be at work on it. */
  abandoned(call: PeerCall): void {
    this._recent.push({ call, at: monotonicMs() });
    if (this._recent.length > kMaxRecent) {
      this._recent.shift();
    }
  }

  /** Nothing more will be known. */
  close(): void {
    this._conclude(this._refused);
  }

  private _conclude(ended: boolean): void {
    clearTimeout(this._timer);
    this._timer = undefined;
    this._refused = false;
    const runs = this._cutRuns;
    this._cutRuns = [];
    if (ended) {
      this._report(runs.map(({ call }) => call));
    }
    for (const { call, tell } of runs) {
      if (!ended) {
        this.abandoned(call);
      }
      tell(ended);
    }
  }

  private _report(calls: readonly PeerCall[]): void {
    const since = monotonicMs() - kRecentMs;
    const recent = this._recent.filter(({ at }) => at > since).map(({ call }) => call);
    this._recent = [];
    if (calls.length + recent.length > 0) {
      this._tools.onCrash([...calls, ...recent]);
    }
  }
}
