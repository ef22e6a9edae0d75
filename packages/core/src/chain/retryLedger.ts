/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Tracks the retry allowances of the calls that a daemon delivered to its target.
 *
 * An allowance is divided and never copied: a child's share leaves the parent's entry, and only the unspent part returns.
 * A whole chain therefore makes no more retries than its root was granted.
 */

import { kOpenReport, type LevelReport, tighterReport } from '../admission/levelReport.js';

/** Share of the remaining allowance that one downstream call reserves. */
const kReservedShare = 2 / 3;

interface LedgerEntry {
  remaining: number;
  level: LevelReport;
  retriedBelow: boolean;
  downstreamCalls: number;
  openDownstreamCalls: number;
  /** Time with at least one open downstream call, in milliseconds. */
  waitedMs: number;
  waitingSinceMs: number;
}

/** Summary of a closed ledger entry. */
export interface LedgerSummary {
  unspent: number;
  /** Tightest admission level that the downstream calls reported. */
  level: LevelReport;
  retriedBelow: boolean;
  downstreamCalls: number;
  /** Time that the target waited for downstream calls, in milliseconds; overlapping calls count once. */
  waitedMs: number;
}

/** Ledger of the retry allowances at one daemon. */
export class RetryLedger {
  private readonly _entries = new Map<string, LedgerEntry>();

  get size(): number {
    return this._entries.size;
  }

  /** Opens an entry with the allowance of a call. */
  open(id: string, allowance: number): void {
    this._entries.set(id, {
      remaining: allowance,
      level: kOpenReport,
      retriedBelow: false,
      downstreamCalls: 0,
      openDownstreamCalls: 0,
      waitedMs: 0,
      waitingSinceMs: 0,
    });
  }

  /** Whether the entry is open. Entries do not survive a restart of the daemon. */
  has(id: string): boolean {
    return this._entries.has(id);
  }

  /**
   * Reserves two thirds of the remaining allowance, rounded up, for a downstream call. An allowance of two then reaches any
   * depth of a linear chain, and a larger one leaves units for parallel calls. Returns 0 for an unknown entry.
   */
  reserve(id: string): number {
    const entry = this._entries.get(id);
    if (!entry) {
      return 0;
    }
    const share = Math.ceil(entry.remaining * kReservedShare);
    entry.remaining -= share;
    return share;
  }

  /** Remaining units of an entry; 0 for an unknown one. */
  remaining(id: string): number {
    return this._entries.get(id)?.remaining ?? 0;
  }

  /** Takes one more unit for a downstream call that has spent its share; false when none is left. */
  takeOne(id: string): boolean {
    const entry = this._entries.get(id);
    if (!entry || entry.remaining === 0) {
      return false;
    }
    entry.remaining--;
    return true;
  }

  /** Records the start of a downstream call; `now` is in milliseconds. */
  beginDownstreamCall(id: string, now: number): void {
    const entry = this._entries.get(id);
    if (!entry) {
      return;
    }
    entry.downstreamCalls++;
    if (entry.openDownstreamCalls === 0) {
      entry.waitingSinceMs = now;
    }
    entry.openDownstreamCalls++;
  }

  /** Records the result of a downstream call and adds its unspent units to the entry. */
  endDownstreamCall(id: string, now: number, result: { unspent: number; level: LevelReport; final: boolean }): void {
    const entry = this._entries.get(id);
    if (!entry) {
      return;
    }
    entry.remaining += result.unspent;
    entry.level = tighterReport(entry.level, result.level);
    entry.retriedBelow ||= result.final;
    entry.openDownstreamCalls--;
    if (entry.openDownstreamCalls === 0) {
      entry.waitedMs += now - entry.waitingSinceMs;
    }
  }

  /** Closes an entry; undefined for an unknown one. Shares that are still reserved count as spent. */
  close(id: string, now: number): LedgerSummary | undefined {
    const entry = this._entries.get(id);
    if (!entry) {
      return undefined;
    }
    this._entries.delete(id);
    const openMs = entry.openDownstreamCalls > 0 ? now - entry.waitingSinceMs : 0;
    return {
      unspent: entry.remaining,
      level: entry.level,
      retriedBelow: entry.retriedBelow,
      downstreamCalls: entry.downstreamCalls,
      waitedMs: entry.waitedMs + openMs,
    };
  }
}
