/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** The parts of quotas that one daemon owns: grants tokens to the daemons where requests enter. State is held for workspaces in use. */

import type { QuotaSettings } from '@gentiandrum/protocol';
import { QuotaBucket, type TokenEnd } from './quotaBucket.js';
import { partLimits, type PartLimits, type QuotaLimits, type QuotaPart } from './quotaParts.js';

/** Time without use after which a bucket is dropped, in windows; it would be as full as one that begins anew. */
const kDroppedWindows = 12;

/** Answer of an owner; `not_owner` when this daemon has no part in the quota, as far as it knows. */
export type GrantEnd = TokenEnd | 'not_owner';

interface Owned {
  bucket: QuotaBucket;
  version: number;
  part: QuotaPart;
}

/** The owned parts of one daemon. */
export class QuotaOwner {
  private readonly _owned = new Map<string, Owned>();
  private _beginsWith: 'nothing' | 'reserve' | 'capacity' = 'nothing';
  private _membersSince: number;
  private _sweptAt: number;

  constructor(
    private readonly _settings: QuotaSettings,
    now: number,
  ) {
    this._membersSince = now;
    this._sweptAt = now;
  }

  /** Workspaces that a bucket is held for. */
  get size(): number {
    return this._owned.size;
  }

  /**
   * The daemon's predecessor on this host did not start within the last window, or there was none: parts begin with their reserve, which
   * is there for one start of all daemons in a window. Until this is known they begin with nothing.
   */
  mayBeginWithReserve(): void {
    this._beginsWith = 'reserve';
  }

  /** The whole deployment starts for the first time: nobody has used anything yet. */
  mayBeginFull(): void {
    this._beginsWith = 'capacity';
  }

  /** Hosts joined or left: parts that this daemon has not used since may have been another's until now. */
  membersChanged(now: number): void {
    this._membersSince = now;
  }

  /** Takes a token of a workspace's part; `limits` are those of configuration `version`. */
  take(workspace: string, part: QuotaPart | undefined, limits: QuotaLimits, version: number, now: number): GrantEnd {
    if (!part) {
      this._owned.delete(workspace);
      return 'not_owner';
    }
    this._sweep(now);
    return this._bucketOf(workspace, part, limits, version, now).take(now);
  }

  /** Takes back tokens of requests that have not run. */
  giveBack(workspace: string, count: number, now: number): void {
    this._owned.get(workspace)?.bucket.giveBack(count, now);
  }

  private _bucketOf(workspace: string, part: QuotaPart, limits: QuotaLimits, version: number, now: number): QuotaBucket {
    const known = this._owned.get(workspace);
    if (known?.version === version && known.part.share === part.share) {
      return known.bucket;
    }
    const own = partLimits(limits, part.share, this._settings);
    known?.bucket.limit(own, now);
    const bucket = known?.bucket ?? this._begin(own);
    this._owned.set(workspace, { bucket, version, part });
    return bucket;
  }

  /** Filled since it can have been nobody else's. */
  private _begin(limits: PartLimits): QuotaBucket {
    return new QuotaBucket(limits, this._startOf(limits), this._membersSince);
  }

  private _startOf({ capacity, start }: PartLimits): number {
    switch (this._beginsWith) {
      case 'nothing':
        return 0;
      case 'reserve':
        return start;
      case 'capacity':
        return capacity;
    }
  }

  private _sweep(now: number): void {
    const dropMs = kDroppedWindows * this._settings.windowSeconds * 1_000;
    if (now - this._sweptAt < dropMs) {
      return;
    }
    this._sweptAt = now;
    for (const [workspace, { bucket }] of this._owned) {
      if (now - bucket.usedAt > dropMs) {
        this._owned.delete(workspace);
      }
    }
  }
}
