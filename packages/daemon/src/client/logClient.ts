/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** The platform's append-only log over HTTP, see docs/LOG-INTERFACE.md. */

import type { AppendResult } from '@gentiandrum/core';
import { appendResponseSchema, type ReadResponse, readResponseSchema } from '@gentiandrum/protocol';
import { exchange, type ExchangeEnd } from './httpExchange.js';
import type { Pools } from './pools.js';

const kAppendTimeoutMs = 1_500;
const kReadTimeoutMs = 1_500;
const kMaxReplyBytes = 16 * 1024 * 1024;
const kPageSize = 1_000;

/** Counts of what went to the log and came from it. */
export interface LogTraffic {
  appends: number;
  reads: number;
  bytes: number;
}

/** Client of the platform's log. */
export class LogClient {
  readonly traffic: LogTraffic = { appends: 0, reads: 0, bytes: 0 };

  constructor(
    private readonly _url: string,
    private readonly _pools: Pools,
  ) {}

  /** Appends one record. No answer means that it may have taken effect. */
  async append(stream: string, value: unknown): Promise<AppendResult> {
    const body = Buffer.from(JSON.stringify({ value }));
    const end = await this._send('POST', `/streams/${stream}/records`, body, kAppendTimeoutMs);
    this.traffic.appends++;
    if (end.kind === 'answered' && end.status === 200) {
      const reply = appendResponseSchema.safeParse(parseJson(end.body));
      return reply.success ? { kind: 'appended', offset: reply.data.offset } : { kind: 'lost' };
    }
    const tookNothing = (end.kind === 'answered' && end.status === 503) || (end.kind === 'lost' && !end.written);
    return { kind: tookNothing ? 'refused' : 'lost' };
  }

  /** Reads records from an offset, waiting up to `waitMs` for the first; undefined when the log doesn't answer. */
  async read(stream: string, from: number, waitMs = 0): Promise<ReadResponse | undefined> {
    const path = `/streams/${stream}/records?from=${from}&wait_ms=${waitMs}&limit=${kPageSize}`;
    const end = await this._send('GET', path, Buffer.alloc(0), kReadTimeoutMs + waitMs);
    this.traffic.reads++;
    if (end.kind !== 'answered' || end.status !== 200) {
      return undefined;
    }
    const reply = readResponseSchema.safeParse(parseJson(end.body));
    return reply.success ? reply.data : undefined;
  }

  private async _send(method: string, path: string, body: Buffer, timeoutMs: number): Promise<ExchangeEnd> {
    const headers = { 'content-type': 'application/json' };
    const end = await exchange(this._pools.to(this._url), { method, path, headers, body }, kMaxReplyBytes, timeoutMs);
    this.traffic.bytes += body.byteLength + path.length + (end.kind === 'answered' ? end.body.byteLength : 0);
    return end;
  }
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}
