/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Adapts the admission level of this host's gate to the capacity of its service, as the records and links of this daemon show it. */

import {
  type ChainModel,
  type GateLevel,
  monotonicMs,
  type RoomChange,
  ServiceRoom,
  type TargetDirectory,
  type TargetRecord,
} from '@gentiandrum/core';
import type { MeshSettings } from '@gentiandrum/protocol';
import type { EventLog } from '../eventLog.js';

/** Minimum interval between two looks, in milliseconds. */
const kLookIntervalMs = 100;

/** Daemon services that the follower depends on. */
export interface RoomFollowerDeps {
  settings: Pick<MeshSettings, 'id' | 'load'>;
  directory: TargetDirectory;
  chains: ChainModel;
  allHostsKnown(): boolean;
  events: Pick<EventLog, 'info'>;
  /** Speed of the target of a host, 1 as usual. */
  speedOf?: ((host: string) => number) | undefined;
}

/** Follows the capacity of the service of this host's target. */
export class RoomFollower {
  private readonly _unreachable = new Set<string>();
  private readonly _startedAt = monotonicMs();
  private _room: ServiceRoom;
  private _service = '';
  private _ready: readonly TargetRecord[] = [];
  private _reachabilityChanged = false;
  private _lookedAt = -Infinity;
  private _change = 1;

  constructor(private readonly _deps: RoomFollowerDeps) {
    this._room = this._createRoom();
  }

  /** Creates the follower if the settings enable it. */
  static create(deps: RoomFollowerDeps): RoomFollower | undefined {
    return deps.settings.load.followRoom ? new RoomFollower(deps) : undefined;
  }

  /** Capacity at the last look and factor of the last change, for metrics. */
  get state(): { capacity: number; change: number } {
    return { capacity: this._room.capacity, change: this._change };
  }

  /**
   * Whether to keep a link to a host: to the ready hosts of the own service. Calls need no links among them, and without a link this daemon
   * would not learn that a host has failed, or that it is reachable again.
   */
  wantsLink({ service, state }: TargetRecord): boolean {
    return state === 'ready' && this._deps.directory.get(this._deps.settings.id)?.service === service;
  }

  /** Records that a link to a host was lost or opened, or that a connection attempt failed. */
  setReachable(host: string, reachable: boolean): void {
    if (reachable) {
      this._reachabilityChanged = this._unreachable.delete(host) || this._reachabilityChanged;
    } else if (!this._unreachable.has(host)) {
      this._unreachable.add(host);
      this._reachabilityChanged = true;
      this._deps.chains.forgetHost(host);
    }
  }

  /** Adapts the level if the capacity has changed; `coldMs` is the remaining warm-up time of the own target. */
  check(level: GateLevel, coldMs: number): void {
    const own = this._deps.directory.get(this._deps.settings.id);
    const now = monotonicMs();
    if (own?.state !== 'ready' || now - this._lookedAt < kLookIntervalMs) {
      return;
    }
    this._setService(own.service);
    this._room.recordColdMs(coldMs);
    const ready = this._deps.directory.ready(own.service);
    if (ready === this._ready && !this._reachabilityChanged && now < this._room.nextWarmUpAt) {
      return;
    }
    this._ready = ready;
    this._reachabilityChanged = false;
    this._lookedAt = now;
    const change = this._room.look(ready);
    if (change) {
      this._follow(change, level);
    }
  }

  private _follow({ before, after, factor, hosts }: RoomChange, level: GateLevel): void {
    const levelBefore = level.current;
    level.followRoom(factor);
    this._change = factor;
    this._deps.events.info('gate', 'The capacity of the service changed.', {
      before,
      after,
      hosts,
      levelBefore,
      levelAfter: level.current,
    });
  }

  private _setService(service: string): void {
    if (this._service !== service) {
      this._service = service;
      this._room = this._createRoom();
    }
  }

  private _createRoom(): ServiceRoom {
    const { settings, speedOf } = this._deps;
    return new ServiceRoom({
      isReachable: (host) => host === settings.id || !this._unreachable.has(host),
      startedAt: this._startedAt,
      allHostsKnown: () => this._deps.allHostsKnown(),
      speedOf,
    });
  }
}
