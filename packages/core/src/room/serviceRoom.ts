/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Capacity of one service as one gate knows it, and the factors by which it changes. */

import { coldSlotShare, kLastColdMs } from '../admission/slotGate.js';
import { isSameIncarnation, type TargetRecord } from '../membership/targetRecord.js';
import { monotonicMs } from '../util/clock.js';

/** Relative change from which a change is reported; smaller ones add up until they exceed it. */
const kMinChange = 0.03;
/** Time after the start during which growth is not a change, in milliseconds: the records of the other hosts still arrive. */
const kStartMs = 5_000;
/** Warm-up time of an added target while none is known for the service, in milliseconds. Too long a time only delays growth. */
const kAssumedColdMs = 5_000;
/** Time without being ready after which a target is forgotten, in milliseconds; it then counts as cold when it returns. */
const kForgetMs = 600_000;

/** Sources of a {@link ServiceRoom}. */
export interface ServiceRoomDeps {
  /** Whether this gate's daemon can reach the daemon of a host. */
  isReachable(host: string): boolean;
  /** Start of this gate's daemon, on the monotonic clock. */
  startedAt: number;
  /** Whether the records of all hosts have been received. */
  allHostsKnown(): boolean;
  /** Speed of the target of a host, 1 as usual. */
  speedOf?: ((host: string) => number) | undefined;
}

/** A change of the capacity by 3% or more. */
export interface RoomChange {
  before: number;
  after: number;
  /** `after` divided by `before`. */
  factor: number;
  /** Number of targets that count. */
  hosts: number;
}

interface KnownTarget extends Pick<TargetRecord, 'instance' | 'born'> {
  warmAt: number;
  seenAt: number;
}

/** Capacity of one service, in slots at the usual speed. */
export class ServiceRoom {
  private readonly _known = new Map<string, KnownTarget>();
  /** Capacity when the last change was reported; undefined before the first look. */
  private _reported: number | undefined;
  private _capacity = 0;
  private _nextWarmUpAt = Infinity;
  private _coldMs = kAssumedColdMs;

  constructor(private readonly _deps: ServiceRoomDeps) {}

  /** Capacity at the last look. */
  get capacity(): number {
    return this._capacity;
  }

  /** Time at which a cold target uses more slots, on the monotonic clock; `Infinity` without one. */
  get nextWarmUpAt(): number {
    return this._nextWarmUpAt;
  }

  /** Records a warm-up time that a target of the service has stated, in milliseconds. */
  recordColdMs(ms: number): void {
    this._coldMs = Math.max(this._coldMs, ms);
  }

  /** Computes the capacity from the ready targets of the service; returns the change since the last one reported, if it is large enough. */
  look(ready: readonly TargetRecord[]): RoomChange | undefined {
    const now = monotonicMs();
    this._updateKnown(ready, now);
    const usable = ready.filter(({ host }) => this._deps.isReachable(host));
    const after = usable.reduce((sum, record) => sum + this._capacityOf(record, now), 0);
    this._capacity = after;
    const before = this._reported;
    const starting = now - this._deps.startedAt < kStartMs || !this._deps.allHostsKnown();
    if (before === undefined || before <= 0 || (after > before && starting)) {
      this._reported = after;
      return undefined;
    }
    const factor = after / before;
    if (Math.abs(factor - 1) < kMinChange) {
      return undefined;
    }
    this._reported = after;
    return { before, after, factor, hosts: usable.length };
  }

  /**
   * Targets of the first look, and those that become known during the start, count as warm. Targets that are not ready are kept for a time,
   * because one that becomes reachable again has not restarted.
   */
  private _updateKnown(ready: readonly TargetRecord[], now: number): void {
    const warm = this._reported === undefined || !this._deps.allHostsKnown() || now - this._deps.startedAt < kStartMs;
    for (const { host, instance, born } of ready) {
      const known = this._known.get(host);
      const warmAt = known && isSameIncarnation(known, { instance, born }) ? known.warmAt : now + (warm ? 0 : this._coldMs);
      this._known.set(host, { instance, born, warmAt, seenAt: now });
    }
    for (const [host, { seenAt }] of this._known) {
      if (now - seenAt > kForgetMs) {
        this._known.delete(host);
      }
    }
    this._nextWarmUpAt = Math.min(...ready.map(({ host }) => this._nextStepOf(host, now)), Infinity);
  }

  private _nextStepOf(host: string, now: number): number {
    const warmAt = this._known.get(host)?.warmAt ?? 0;
    if (warmAt <= now) {
      return Infinity;
    }
    return warmAt - kLastColdMs > now ? warmAt - kLastColdMs : warmAt;
  }

  private _capacityOf({ host, slots }: TargetRecord, now: number): number {
    const warmAt = this._known.get(host)?.warmAt ?? 0;
    return slots * (this._deps.speedOf?.(host) ?? 1) * coldSlotShare(warmAt - now);
  }
}
