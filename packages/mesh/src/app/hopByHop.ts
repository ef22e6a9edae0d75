/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Headers that concern one connection only, or that the daemon sets itself, and so are not passed on. The id of a request is
 * carried beside its headers, and set again on the way to the target and to the caller.
 */

import type { HeaderNames } from '../ports.js';

const kConnectionHeaders = [
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'content-length',
];

/** Decides which headers are passed on. */
export class HeaderFilter {
  private readonly _request: ReadonlySet<string>;
  private readonly _answer: ReadonlySet<string>;

  constructor(names: HeaderNames) {
    this._request = new Set([...kConnectionHeaders, names.remainingMs, names.expectedInstance, names.callerService, names.requestId]);
    this._answer = new Set([...kConnectionHeaders, names.requestId]);
  }

  /** Headers of a caller's request as they go to a target; names and values in turn. */
  ofRequest(raw: readonly string[], connection: string | undefined): string[] {
    const named = namedBy(connection);
    const kept: string[] = [];
    for (let i = 0; i + 1 < raw.length; i += 2) {
      const name = raw[i] ?? '';
      const lower = name.toLowerCase();
      if (!this._request.has(lower) && !named.has(lower)) {
        kept.push(name, raw[i + 1] ?? '');
      }
    }
    return kept;
  }

  /** Headers of a target's answer as they go to the caller; names and values in turn. */
  ofAnswer(headers: Readonly<Record<string, string | string[] | undefined>>): string[] {
    const connection = headers.connection;
    const named = namedBy(Array.isArray(connection) ? connection.join(',') : connection);
    const kept: string[] = [];
    for (const [name, value] of Object.entries(headers)) {
      if (value === undefined || this._answer.has(name) || named.has(name)) {
        continue;
      }
      for (const one of Array.isArray(value) ? value : [value]) {
        kept.push(name, one);
      }
    }
    return kept;
  }
}

const kNone: ReadonlySet<string> = new Set();

function namedBy(connection: string | undefined): ReadonlySet<string> {
  if (connection === undefined || connection === 'keep-alive' || connection === 'close') {
    return kNone;
  }
  return new Set(connection.split(',').map((name) => name.trim().toLowerCase()));
}
