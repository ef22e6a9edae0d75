/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Record of the events of one cell, for the checkers. */

import type { ServeResult } from '@gentiandrum/core';

/** A try of a request by its caller. */
export interface Try {
  request: string;
  /** Idempotency key, if the caller gave one. */
  key: string | undefined;
  body: string;
  idempotent: boolean;
  rank: number;
  allowance: number;
  /** Result; undefined when the daemon crashed or the caller disconnected. */
  served: ServeResult | undefined;
}

/** A run of a call at a target. */
export interface TargetRun {
  host: string;
  /** Request id at the daemon that received the call. */
  request: string;
  /** Root request of its chain. */
  root: string;
  /** Identifies what must run once: the caller's key, or the position and body of an onward call. */
  onceKey: string;
  idempotent: boolean;
  rank: number;
  at: number;
  cut: boolean;
}

/** Journal of one cell. */
export class Journal {
  readonly tries: Try[] = [];
  readonly runs: TargetRun[] = [];
  /** Number of retries by root request. */
  readonly retries = new Map<string, number>();
  /** Time at which each host's gate closed permanently. */
  readonly closed = new Map<string, number>();
  /** Hosts that completed a graceful shutdown, and the number of calls they interrupted. */
  readonly stops: { host: string; cut: number }[] = [];
  /** Calls that a gate refused because of overload. */
  readonly shed: { host: string; rank: number; at: number; order: number }[] = [];
  readonly started: { host: string; rank: number; at: number; order: number }[] = [];
  /** Configuration versions of each daemon, in order. */
  readonly versions = new Map<string, number[]>();
  /** Results that submitters received. */
  readonly submitted: { patchId: string; kind: string; version?: number }[] = [];
  private _order = 0;

  /** Returns the next sequence number of events. */
  nextOrder(): number {
    return this._order++;
  }

  recordRun(run: TargetRun): void {
    this.runs.push(run);
    this.started.push({ host: run.host, rank: run.rank, at: run.at, order: this.nextOrder() });
  }

  recordRetry(root: string): void {
    this.retries.set(root, (this.retries.get(root) ?? 0) + 1);
  }

  /** Records the current configuration version of a daemon. */
  recordVersion(daemon: string, version: number): void {
    const heldVersions = this.versions.get(daemon) ?? [];
    heldVersions.push(version);
    this.versions.set(daemon, heldVersions);
  }
}
