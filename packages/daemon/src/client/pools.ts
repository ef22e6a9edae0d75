/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** HTTP connection pools, one for each origin. */

import { Pool } from 'undici';
import { TargetPool } from './targetPool.js';

const kKeepAliveMs = 60_000;
const kConnectTimeoutMs = 1_000;
const kMaxHeaderBytes = 65_536;
const kOptions: Pool.Options = {
  pipelining: 1,
  keepAliveTimeout: kKeepAliveMs,
  keepAliveMaxTimeout: kKeepAliveMs,
  connect: { timeout: kConnectTimeoutMs },
  maxHeaderSize: kMaxHeaderBytes,
};

export class Pools {
  private readonly _pools = new Map<string, Pool>();

  /** @param _connections default maximum number of connections to one origin */
  constructor(private readonly _connections: number) {}

  /** Returns the pool for an origin such as `http://10.1.2.3:80`; creates it on first use. */
  get(origin: string): Pool {
    return this._pools.get(origin) ?? this._add(origin, new Pool(origin, { ...kOptions, connections: this._connections }));
  }

  /** Returns the pool for a target with this maximum number of connections. */
  getTarget(origin: string, connections: number): Pool {
    return this._pools.get(origin) ?? this._add(origin, new TargetPool(origin, { ...kOptions, connections }));
  }

  /** Closes the pools of all other origins, each after its requests in flight. */
  retain(origins: ReadonlySet<string>): void {
    for (const [origin, pool] of this._pools) {
      if (!origins.has(origin)) {
        this._pools.delete(origin);
        void pool.close();
      }
    }
  }

  /** Closes all connections at once, also those with requests in flight. */
  async destroy(): Promise<void> {
    await Promise.all([...this._pools.values()].map((pool) => pool.destroy()));
  }

  private _add(origin: string, pool: Pool): Pool {
    this._pools.set(origin, pool);
    return pool;
  }
}
