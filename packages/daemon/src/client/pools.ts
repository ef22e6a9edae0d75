/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Connection pools by address. */

import { Pool } from 'undici';

const kKeepAliveMs = 60_000;
const kConnectTimeoutMs = 1_000;
const kMaxHeaderBytes = 65_536;

/** Keeps one pool of connections for each address. */
export class Pools {
  private readonly _pools = new Map<string, Pool>();

  /** @param _connections most connections to one address */
  constructor(private readonly _connections: number) {}

  /** The pool for a base address such as `http://10.1.2.3:80`. */
  get(origin: string, connections = this._connections): Pool {
    let pool = this._pools.get(origin);
    if (!pool) {
      pool = new Pool(origin, {
        connections,
        pipelining: 1,
        keepAliveTimeout: kKeepAliveMs,
        keepAliveMaxTimeout: kKeepAliveMs,
        connect: { timeout: kConnectTimeoutMs },
        maxHeaderSize: kMaxHeaderBytes,
      });
      this._pools.set(origin, pool);
    }
    return pool;
  }

  /** Closes the pools whose address is not in use any more. */
  retain(origins: ReadonlySet<string>): void {
    for (const [origin, pool] of this._pools) {
      if (!origins.has(origin)) {
        this._pools.delete(origin);
        void pool.close();
      }
    }
  }

  /** Ends all connections. */
  async destroy(): Promise<void> {
    await Promise.all([...this._pools.values()].map((pool) => pool.destroy()));
  }
}
