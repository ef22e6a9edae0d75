/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Retry allowances of the calls that a daemon delivered to its target.
 *
 * An allowance is divided and never copied: what a child reserves leaves the parent's entry, and only what the child
 * returns unspent comes back. So over a whole chain no more retries happen than the root was granted.
 */

import { kOpenReport, type LevelReport, tighterReport } from '../admission/levelReport.js';

/** Share of an entry that one onward call takes along. */
const kReservedShare = 2 / 3;

interface LedgerEntry {
  remaining: number;
  level: LevelReport;
  retriedBelow: boolean;
  downstreamCalls: number;
  openDownstreamCalls: number;
  /** Time with at least one onward call open, in milliseconds. */
  waitedMs: number;
  waitingSinceMs: number;
}

/** What a ledger entry tells once its call has ended. */
export interface LedgerSummary {
  unspent: number;
  /** Tightest admission level met below. */
  level: LevelReport;
  retriedBelow: boolean;
  downstreamCalls: number;
  /** Time that the target waited for its own onward calls, in milliseconds. */
  waitedMs: number;
}

/** Ledger of the allowances at one daemon. */
export class RetryLedger {
  private readonly _entries = new Map<string, LedgerEntry>();

  /** Number of open entries. */
  get size(): number {
    return this._entries.size;
  }

  /** Opens an entry with the allowance that came with a call. */
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

  /** Whether the entry is open. After a restart of the daemon no earlier entry is. */
  has(id: string): boolean {
    return this._entries.has(id);
  }

  /**
   * Takes a share for an onward call: two thirds of what remains, rounded up, so that two units reach any depth of a
   * plain chain, and parallel siblings of a larger allowance find something left. An unknown entry gives zero.
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

  /** Units left in an entry; zero for an unknown one. */
  remaining(id: string): number {
    return this._entries.get(id)?.remaining ?? 0;
  }

  /** Takes one more unit for a call whose own share is used up; false when none is left. */
  takeOne(id: string): boolean {
    const entry = this._entries.get(id);
    if (!entry || entry.remaining === 0) {
      return false;
    }
    entry.remaining--;
    return true;
  }

  /** Notes that an onward call began; `now` in milliseconds. */
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

  /** Notes the end of an onward call, and takes back what it left unspent. */
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

  /** Closes an entry. Shares still lent at that time are spent: their later return finds no entry. */
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
