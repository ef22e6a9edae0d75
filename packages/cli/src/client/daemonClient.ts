/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** HTTP client of a daemon. */

import { Err, Ok, type Result } from '@gentiandrum/core';
import { request } from 'undici';

const kDefaultTimeoutMs = 10_000;

/** Error of a call to a daemon. */
export type DaemonError =
  /** No usable response from the address. */
  | { kind: 'unreachable'; address: string; cause: string }
  /** The daemon responded with an error; fields of its problem document. */
  | { kind: 'problem'; status: number; error: string; detail: string; body: Record<string, unknown> };

/** Client of one daemon. */
export class DaemonClient {
  constructor(
    readonly address: string,
    private readonly _timeoutMs = kDefaultTimeoutMs,
  ) {}

  /** Sends a GET request and parses the JSON response. */
  get<T>(path: string): Promise<Result<T, DaemonError>> {
    return this._call<T>('GET', path);
  }

  /** Sends a POST request with a JSON body and parses the JSON response. */
  post<T>(path: string, body: unknown): Promise<Result<T, DaemonError>> {
    return this._call<T>('POST', path, JSON.stringify(body));
  }

  private async _call<T>(method: 'GET' | 'POST', path: string, body?: string): Promise<Result<T, DaemonError>> {
    try {
      const options = {
        method,
        body,
        headers: { 'content-type': 'application/json' },
        headersTimeout: this._timeoutMs,
        bodyTimeout: this._timeoutMs,
      };
      const res = await request(`http://${this.address}${path}`, options);
      const responseBody = (await res.body.json()) as Record<string, unknown>;
      if (res.statusCode < 400) {
        return Ok(responseBody as T);
      }
      const { kind, detail, message } = responseBody;
      return Err({
        kind: 'problem',
        status: res.statusCode,
        error: stringOrEmpty(kind),
        detail: stringOrEmpty(detail ?? message),
        body: responseBody,
      });
    } catch (err) {
      return Err({ kind: 'unreachable', address: this.address, cause: err instanceof Error ? err.message : String(err) });
    }
  }
}

/** Formats an error for display. */
export function formatError(error: DaemonError): string {
  switch (error.kind) {
    case 'unreachable':
      return `expected a daemon at ${error.address}, got no response (${error.cause})`;
    case 'problem':
      return `${error.error || `status ${error.status}`}: ${error.detail}`;
  }
}

function stringOrEmpty(value: unknown): string {
  return typeof value === 'string' ? value : '';
}
