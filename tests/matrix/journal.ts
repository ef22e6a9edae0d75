/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** What happened in one cell, as the checkers need it. */

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
  /** How it ended; undefined when the daemon died, or the caller hung up. */
  served: ServeResult | undefined;
}

/** A run of a call at a target. */
export interface TargetRun {
  host: string;
  /** Request of the daemon where this call came in. */
  request: string;
  /** Root request of its chain. */
  root: string;
  /** What must run once: caller's key, or the meaning of an onward call. */
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
  /** Retries by root request. */
  readonly retries = new Map<string, number>();
  /** Times at which a host's gate was closed for good. */
  readonly closed = new Map<string, number>();
  /** Hosts that ended a planned stop, and what they cut. */
  readonly stops: { host: string; cut: number }[] = [];
  /** Refusals for overload at a gate. */
  readonly shed: { host: string; rank: number; at: number; order: number }[] = [];
  readonly started: { host: string; rank: number; at: number; order: number }[] = [];
  /** Versions held by each daemon, in the order it held them. */
  readonly versions = new Map<string, number[]>();
  /** What submitters were told. */
  readonly submitted: { patchId: string; kind: string; version?: number }[] = [];
  private _order = 0;

  /** Next number in the order of what happened. */
  nextOrder(): number {
    return this._order++;
  }

  /** Notes a run at a target. */
  recordRun(run: TargetRun): void {
    this.runs.push(run);
    this.started.push({ host: run.host, rank: run.rank, at: run.at, order: this.nextOrder() });
  }

  /** Notes a retry. */
  recordRetry(root: string): void {
    this.retries.set(root, (this.retries.get(root) ?? 0) + 1);
  }

  /** Notes the version that a daemon holds. */
  recordVersion(daemon: string, version: number): void {
    const heldVersions = this.versions.get(daemon) ?? [];
    heldVersions.push(version);
    this.versions.set(daemon, heldVersions);
  }
}
