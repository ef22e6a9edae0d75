/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** HTTP client of the platform's append-only log, see docs/LOG-INTERFACE.md. */

import type { AppendResult } from '@gentiandrum/core';
import { appendResponseSchema, type ReadResponse, readResponseSchema } from '@gentiandrum/protocol';
import { exchange, type ExchangeResult } from './httpExchange.js';
import type { Pools } from './pools.js';

const kAppendTimeoutMs = 1_500;
const kReadTimeoutMs = 1_500;
const kMaxResponseBytes = 16 * 1024 * 1024;
const kPageSize = 1_000;

/** Counters of the traffic to and from the log. */
export interface LogTraffic {
  appends: number;
  reads: number;
  bytes: number;
}

export class LogClient {
  readonly traffic: LogTraffic = { appends: 0, reads: 0, bytes: 0 };

  constructor(
    private readonly _url: string,
    private readonly _pools: Pools,
  ) {}

  /** Appends one record. Returns `refused` if the log appended nothing, `lost` if the append may have taken effect. */
  async append(stream: string, value: unknown): Promise<AppendResult> {
    const body = Buffer.from(JSON.stringify({ value }));
    const result = await this._send('POST', `/streams/${stream}/records`, body, kAppendTimeoutMs);
    this.traffic.appends++;
    if (result.kind === 'answered' && result.status === 200) {
      const parsed = appendResponseSchema.safeParse(parseJson(result.body));
      return parsed.success ? { kind: 'appended', offset: parsed.data.offset } : { kind: 'lost' };
    }
    const notAppended = (result.kind === 'answered' && result.status === 503) || (result.kind === 'lost' && !result.written);
    return { kind: notAppended ? 'refused' : 'lost' };
  }

  /** Reads records from an offset, waiting up to `waitMs` for the first one; undefined if there is no valid response. */
  async read(stream: string, from: number, waitMs = 0): Promise<ReadResponse | undefined> {
    const path = `/streams/${stream}/records?from=${from}&wait_ms=${waitMs}&limit=${kPageSize}`;
    const result = await this._send('GET', path, Buffer.alloc(0), kReadTimeoutMs + waitMs);
    this.traffic.reads++;
    if (result.kind !== 'answered' || result.status !== 200) {
      return undefined;
    }
    const parsed = readResponseSchema.safeParse(parseJson(result.body));
    return parsed.success ? parsed.data : undefined;
  }

  private async _send(method: string, path: string, body: Buffer, timeoutMs: number): Promise<ExchangeResult> {
    const headers = { 'content-type': 'application/json' };
    const req = { method, path, headers, body, endsItself: true };
    const result = await exchange(this._pools.get(this._url), req, kMaxResponseBytes, timeoutMs);
    this.traffic.bytes += body.byteLength + path.length + (result.kind === 'answered' ? result.body.byteLength : 0);
    return result;
  }
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}
