/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Converts HTTP requests into the input of the core. */

import type { IncomingHttpHeaders } from 'node:http';
import type { Readable } from 'node:stream';
import { Err, kShortBodyBytes, Ok, type Payload, type Result } from '@gentiandrum/core';
import { kTimeoutHeader } from '@gentiandrum/protocol';
import type { FastifyRequest } from 'fastify';
import type { RequestMemory } from '../app/requestMemory.js';

const kEmptyBody = Buffer.alloc(0);
/** Request headers that are not forwarded: hop-by-hop headers, and those that the daemon sets itself. */
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

/** Result of reading a body. */
export type BodyRead = { kind: 'complete'; body: Buffer } | { kind: 'too_large' } | { kind: 'no_memory' };

/** Returns the body that was parsed with the request; reads it if there is none, as for GET and HEAD. */
export async function readBody(req: FastifyRequest, maxBytes: number, memory: RequestMemory): Promise<BodyRead> {
  if (Buffer.isBuffer(req.body)) {
    return { kind: 'complete', body: req.body };
  }
  return hasBody(req.headers) ? collectBody(req.raw, req.headers, maxBytes, memory) : { kind: 'complete', body: kEmptyBody };
}

/** Reads a body from a stream if there is memory for it; a body that is given up is not read further. Rejects if the stream fails. */
export function collectBody(stream: Readable, headers: IncomingHttpHeaders, maxBytes: number, memory: RequestMemory): Promise<BodyRead> {
  const stated = Number(headers['content-length'] ?? 0);
  if (stated > maxBytes) {
    return Promise.resolve({ kind: 'too_large' });
  }
  if (stated > kShortBodyBytes && !memory.reserveRequest(stated)) {
    return Promise.resolve({ kind: 'no_memory' });
  }
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const giveUp = (kind: 'too_large' | 'no_memory'): void => {
      chunks.length = 0;
      stream.off('data', add);
      stream.pause();
      resolve({ kind });
    };
    const add = (chunk: Buffer): void => {
      size += chunk.byteLength;
      if (size > maxBytes) {
        giveUp('too_large');
      } else if (!memory.holdRequest(size)) {
        giveUp('no_memory');
      } else {
        chunks.push(chunk);
      }
    };
    stream.on('data', add);
    stream.once('end', () => {
      memory.completeRequest();
      resolve({ kind: 'complete', body: joinChunks(chunks) });
    });
    stream.once('error', reject);
    stream.once('close', () => {
      reject(new Error('the connection closed before the end of the body'));
    });
  });
}

function joinChunks(chunks: Buffer[]): Buffer {
  const [first] = chunks;
  return chunks.length === 1 && first ? first : Buffer.concat(chunks);
}

/** Whether a request with these headers has a body. */
export function hasBody(headers: IncomingHttpHeaders): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

/** Splits a caller's request into service and payload; the first path segment names the service. */
export function readPayload(req: FastifyRequest, body: Buffer): { service: string; payload: Payload } {
  const url = req.raw.url ?? '/';
  const serviceEnd = url.slice(1).search(/[/?]/);
  const service = serviceEnd < 0 ? url.slice(1) : url.slice(1, serviceEnd + 1);
  const rest = serviceEnd < 0 ? '' : url.slice(serviceEnd + 1);
  const path = rest.startsWith('/') ? rest : `/${rest}`;
  return { service, payload: { method: req.method, path, headers: forwardedHeaders(req), body } };
}

/** Timeout that the caller requests, in milliseconds. */
export function readTimeout(req: FastifyRequest): Result<number | undefined, string> {
  const text = req.headers[kTimeoutHeader];
  if (text === undefined) {
    return Ok(undefined);
  }
  const ms = Number(text);
  return Number.isInteger(ms) && ms > 0
    ? Ok(ms)
    : Err(`expected ${kTimeoutHeader} to be a positive whole number of milliseconds, got "${String(text)}"`);
}

/** Returns the value of a header; an error if the header occurs more than once. */
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
