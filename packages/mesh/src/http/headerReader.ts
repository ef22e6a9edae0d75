/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Reads the headers of a message in one pass: extracts those that the daemon uses, and collects those that it forwards. Hop-by-hop
 * headers and headers that the daemon sets itself are not forwarded.
 */

import type { HeaderNames } from '../ports.js';
import { kNoCondition, parseCondition, type TargetCondition } from './targetCondition.js';

/** Headers of a request. */
export interface RequestHeaders {
  host: string;
  requestId: string;
  /** Time until the caller's deadline, in milliseconds; infinite when the caller sends none. */
  remainingMs: number;
  /** Content length, in bytes; 0 when the header is missing. */
  bodyBytes: number;
  /** Whether the caller waits for a "100 Continue" response before it sends the body. */
  expectsContinue: boolean;
  /** Values of the headers that carry a key; forwarded only if no keys are required. */
  credentials: string[];
  /** Headers to forward, as alternating names and values. */
  forwarded: string[];
}

/** Headers of a response. */
export interface ResponseHeaders {
  /** The first value if it is repeated. */
  requestId: string;
  /** Whether the request id or the seal is repeated, so that it does not identify the response. */
  repeatsIdentity: boolean;
  /** Whether the end of the body can be distinguished from a lost connection, and the body is not coded. */
  framed: boolean;
  /** Content length, in bytes; undefined when the header is missing or the status allows no body. */
  bodyBytes: number | undefined;
  /** Whether the response proves that the target has not run the request. */
  notRun: boolean;
  sealed: boolean;
  /** Condition that the target states. */
  condition: TargetCondition;
  /** Value of the header by which the target states its load, the first if it is repeated; undefined when it sends none. */
  load: string | undefined;
  /** Time after which the target asks for a retry, in milliseconds; undefined when it sends none. */
  retryAfterMs: number | undefined;
  /** Keep-alive timeout of the target, in seconds; undefined when it sends none. */
  keepAliveSeconds: number | undefined;
  forwarded: string[];
}

/** Headers that apply to one connection only. */
const kHopByHopHeaders = [
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

const kMsPerSecond = 1_000;

/** Header that carries the key of a workspace. */
export const kCredentialsHeader = 'authorization';

/** Largest number of cached names; the limit is needed because callers may send any. */
const kMaxCachedNames = 500;

/** Caches the lower case of header names. */
class LowerCaseCache {
  private _cache = new Map<string, string>();

  of(name: string): string {
    let lower = this._cache.get(name);
    if (lower === undefined) {
      if (this._cache.size >= kMaxCachedNames) {
        this._cache = new Map();
      }
      lower = name.toLowerCase();
      this._cache.set(name, lower);
    }
    return lower;
  }
}

/** Reads headers with the header names of one platform. */
export class HeaderReader {
  private readonly _lowerCase = new LowerCaseCache();
  private readonly _consumedRequestHeaders: ReadonlySet<string>;
  private readonly _consumedResponseHeaders: ReadonlySet<string>;

  constructor(private readonly _names: HeaderNames) {
    this._consumedRequestHeaders = new Set([
      ...kHopByHopHeaders,
      kCredentialsHeader,
      _names.remainingMs,
      _names.expectedInstance,
      _names.callerService,
      _names.requestId,
      _names.workspace,
    ]);
    this._consumedResponseHeaders = new Set([...kHopByHopHeaders, _names.requestId]);
  }

  /** Reads the headers of a request. If a host or request id header is repeated, the first value counts. */
  readRequest(raw: readonly string[]): RequestHeaders {
    const names = this._names;
    const read: RequestHeaders = {
      host: '',
      requestId: '',
      remainingMs: Infinity,
      bodyBytes: 0,
      expectsContinue: false,
      credentials: [],
      forwarded: [],
    };
    let connection = '';
    for (let i = 0; i < raw.length; i += 2) {
      const name = raw[i] ?? '';
      const value = raw[i + 1] ?? '';
      const lower = this._lowerCase.of(name);
      if (!this._consumedRequestHeaders.has(lower)) {
        read.forwarded.push(name, value);
        read.host ||= lower === 'host' ? value : '';
      } else if (lower === names.requestId) {
        read.requestId ||= value;
      } else if (lower === names.remainingMs) {
        read.remainingMs = parseNonNegative(value) ?? read.remainingMs;
      } else if (lower === kCredentialsHeader) {
        read.credentials.push(value);
      } else if (lower === 'content-length') {
        read.bodyBytes = Number(value);
      } else if (lower === 'expect') {
        read.expectsContinue = value.toLowerCase() === '100-continue';
      } else if (lower === 'connection') {
        connection = connection === '' ? value : `${connection},${value}`;
      }
    }
    read.forwarded = this._withoutConnectionOptions(read.forwarded, connection);
    return read;
  }

  /** Reads the headers of a response. */
  readResponse(raw: readonly string[], status: number): ResponseHeaders {
    const names = this._names;
    const hasBody = status !== 204 && status !== 304;
    const read = noResponseHeaders(hasBody);
    let connection = '';
    let rateLimit: string | undefined;
    let leaving: string | undefined;
    let hasRequestId = false;
    let coding: string | undefined;
    for (let i = 0; i < raw.length; i += 2) {
      const name = raw[i] ?? '';
      const value = raw[i + 1] ?? '';
      const lower = this._lowerCase.of(name);
      if (!this._consumedResponseHeaders.has(lower)) {
        read.forwarded.push(name, value);
        read.repeatsIdentity ||= read.sealed && lower === names.seal;
        read.sealed ||= lower === names.seal;
        read.notRun ||= lower === names.notRun;
        if (lower === names.rateLimit) {
          rateLimit = appendToList(rateLimit, value);
        } else if (lower === names.leaving) {
          leaving = appendToList(leaving, value);
        } else if (lower === names.load) {
          read.load ??= value;
        } else if (lower === 'retry-after') {
          read.retryAfterMs = parseRetryAfter(value);
        }
      } else if (lower === names.requestId) {
        read.repeatsIdentity ||= hasRequestId;
        read.requestId = hasRequestId ? read.requestId : value;
        hasRequestId = true;
      } else if (lower === 'content-length') {
        read.framed = true;
        read.bodyBytes = hasBody ? Number(value) : undefined;
      } else if (lower === 'transfer-encoding') {
        coding = appendToList(coding, value);
      } else if (lower === 'keep-alive') {
        read.keepAliveSeconds = parseKeepAliveTimeout(value);
      } else if (lower === 'connection') {
        connection = connection === '' ? value : `${connection},${value}`;
      }
    }
    if (rateLimit !== undefined || leaving !== undefined) {
      read.condition = parseCondition(rateLimit, leaving);
    }
    if (coding !== undefined) {
      // Other transfer codings are not requested, and not decoded; with them a body may end with its connection (RFC 9112, 6.3).
      read.framed = coding.toLowerCase() === 'chunked';
    }
    read.forwarded = this._withoutConnectionOptions(read.forwarded, connection);
    return read;
  }

  /** Removes the headers that the `connection` header names, as they apply to one connection only. */
  private _withoutConnectionOptions(headers: string[], connection: string): string[] {
    if (connection === '' || connection === 'keep-alive' || connection === 'close') {
      return headers;
    }
    const named = new Set(connection.split(',').map((name) => name.trim().toLowerCase()));
    return headers.filter((_, i) => !named.has(this._lowerCase.of(headers[i - (i % 2)] ?? '')));
  }
}

function parseNonNegative(value: string): number | undefined {
  const number = value === '' ? NaN : Number(value);
  return Number.isFinite(number) && number >= 0 ? number : undefined;
}

/** Headers of a response that sends none. */
function noResponseHeaders(hasBody: boolean): ResponseHeaders {
  return {
    requestId: '',
    repeatsIdentity: false,
    framed: !hasBody,
    bodyBytes: undefined,
    notRun: false,
    sealed: false,
    condition: kNoCondition,
    load: undefined,
    retryAfterMs: undefined,
    keepAliveSeconds: undefined,
    forwarded: [],
  };
}

function appendToList(list: string | undefined, value: string): string {
  return list === undefined ? value : `${list},${value}`;
}

/** Parses a number of seconds. Dates are ignored, because they depend on the clocks of both hosts. */
function parseRetryAfter(value: string): number | undefined {
  const seconds = parseNonNegative(value);
  return seconds === undefined || seconds === 0 ? undefined : seconds * kMsPerSecond;
}

function parseKeepAliveTimeout(value: string): number | undefined {
  const match = /(?:^|[\s,])timeout=(\d+)/i.exec(value);
  return match ? Number(match[1]) : undefined;
}
