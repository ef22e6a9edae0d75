/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Appends claims to the sharded claims streams, and indexes the shards that this daemon uses. */

import {
  type AppendResult,
  claimInLog,
  type ClaimedInLog,
  ClaimIndex,
  type MemberView,
  type ReadResult,
  runProcedure,
} from '@gentiandrum/core';
import { type ClaimRecord, claimStreamName } from '@gentiandrum/protocol';
import { GroupAppender } from '../client/groupAppender.js';
import type { LogClient } from '../client/logClient.js';
import { StreamTail } from '../client/streamTail.js';
import { hash32 } from './digests.js';

interface Shard {
  index: ClaimIndex;
  tail: StreamTail;
  appender: GroupAppender<ClaimRecord>;
}

/** The claims streams as known to one daemon. */
export class ClaimService {
  private readonly _shards = new Map<number, Shard>();
  private readonly _relays = new Map<number, string | undefined>();
  private _relaysChangeCount = -1;

  constructor(
    private readonly _log: LogClient,
    private readonly _view: MemberView,
    private readonly _limits: { claimShards: number; claimsPerShard: number },
  ) {}

  /** Number of indexed claims. */
  get size(): number {
    return [...this._shards.values()].reduce((sum, { index }) => sum + index.size, 0);
  }

  /** Shard of a key, with its index. `relay` is the address of the daemon that batches its claims; undefined for the local daemon. */
  shardOf(key: string): { shard: number; index: ClaimIndex; relay?: string } {
    const shard = hash32(key) % this._limits.claimShards;
    return { shard, index: this._shard(shard).index, relay: this._relay(shard) };
  }

  /** Appends a claim with the next batch of its shard. */
  append(shard: number, record: ClaimRecord): Promise<AppendResult> {
    return this._shard(shard).appender.append(record);
  }

  /** Reads a shard's stream into its index, up to an offset or to its current end. */
  read(shard: number, upTo?: number): Promise<ReadResult> {
    return this._shard(shard).tail.readUpTo(upTo);
  }

  /** Appends a claim on behalf of another daemon and reads back the holder of the key. */
  claimForPeer(record: ClaimRecord): Promise<ClaimedInLog> {
    const { shard, index } = this.shardOf(record.key);
    return runProcedure(claimInLog(record, shard, index), {
      appendClaim: (effect) => this.append(effect.shard, effect.record),
      readClaims: (effect) => this.read(effect.shard, effect.upTo),
    });
  }

  private _shard(number: number): Shard {
    let shard = this._shards.get(number);
    if (!shard) {
      const index = new ClaimIndex(this._limits.claimsPerShard);
      const stream = claimStreamName(number);
      shard = {
        index,
        tail: new StreamTail(this._log, stream, index),
        appender: new GroupAppender((group) => this._log.append(stream, group)),
      };
      this._shards.set(number, shard);
    }
    return shard;
  }

  /** Address of the daemon in this region that batches claims for a shard; undefined when it is the local daemon. */
  private _relay(shard: number): string | undefined {
    if (this._relaysChangeCount !== this._view.changeCount) {
      this._relays.clear();
      this._relaysChangeCount = this._view.changeCount;
    }
    if (!this._relays.has(shard)) {
      this._relays.set(shard, this._findRelay(shard));
    }
    return this._relays.get(shard);
  }

  /** Rendezvous hashing. Correctness does not depend on it: daemons that disagree only make smaller batches. */
  private _findRelay(shard: number): string | undefined {
    const { self } = this._view;
    let relay = self;
    let highest = hash32(`${shard}/${self.id}`);
    for (const member of this._view.all()) {
      const weight = hash32(`${shard}/${member.id}`);
      if (member.state === 'alive' && member.region === self.region && weight > highest) {
        relay = member;
        highest = weight;
      }
    }
    return relay.id === self.id ? undefined : relay.address;
  }
}
