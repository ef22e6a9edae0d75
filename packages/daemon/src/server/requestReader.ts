/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Reads what HTTP brings into what the core takes. */

import { Err, Ok, type Payload, type Result } from '@gentiandrum/core';
import { kTimeoutHeader } from '@gentiandrum/protocol';
import type { FastifyRequest } from 'fastify';

const kEmptyBody = Buffer.alloc(0);
/** Headers that belong to one connection, or that the daemon makes anew. */
const kExcludedHeaders: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'transfer-encoding',
  'content-length',
  'upgrade',
  'trailer',
  'te',
  'expect',
  'host',
  kTimeoutHeader,
]);

/** The request's body; GET and HEAD requests with a body are read here, since the server leaves theirs alone. */
export async function readBody(req: FastifyRequest, maxBytes: number): Promise<Buffer | undefined> {
  if (Buffer.isBuffer(req.body)) {
    return req.body;
  }
  const hasBody = req.headers['transfer-encoding'] !== undefined || Number(req.headers['content-length'] ?? 0) > 0;
  if (!hasBody) {
    return kEmptyBody;
  }
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of req.raw as AsyncIterable<Buffer>) {
    size += chunk.byteLength;
    if (size > maxBytes) {
      return undefined;
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** Service and payload of a caller's request: the first segment of the path names the service. */
export function readPayload(req: FastifyRequest, body: Buffer): { service: string; payload: Payload } {
  const url = req.raw.url ?? '/';
  const serviceEnd = url.slice(1).search(/[/?]/);
  const service = serviceEnd < 0 ? url.slice(1) : url.slice(1, serviceEnd + 1);
  const rest = serviceEnd < 0 ? '' : url.slice(serviceEnd + 1);
  const path = rest.startsWith('/') ? rest : `/${rest}`;
  return { service, payload: { method: req.method, path, headers: forwardedHeaders(req), body } };
}

/** Time that the caller allows, in milliseconds. */
export function readTimeout(req: FastifyRequest): Result<number | undefined, string> {
  const text = req.headers[kTimeoutHeader];
  if (text === undefined) {
    return Ok(undefined);
  }
  const ms = Number(text);
  return Number.isInteger(ms) && ms > 0
    ? Ok(ms)
    : Err(`expected ${kTimeoutHeader} to be a whole number of milliseconds over 0, got "${String(text)}"`);
}

/** One value of a header; an error when it came more than once. */
export function readSingleHeader(req: FastifyRequest, name: string): Result<string | undefined, string> {
  const count = req.raw.rawHeaders.filter((text, i) => i % 2 === 0 && text.toLowerCase() === name).length;
  const value = req.headers[name];
  return count > 1 ? Err(`expected one ${name} header, got ${count}`) : Ok(Array.isArray(value) ? value[0] : value);
}

function forwardedHeaders(req: FastifyRequest): Record<string, string | string[]> {
  const headers: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(req.headers)) {
    if (value !== undefined && !kExcludedHeaders.has(name)) {
      headers[name] = value;
    }
  }
  return headers;
}
