/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Encodes HTTP/1.1 messages as one buffer where possible, because a write to a socket costs more than copying a short body. */

import { STATUS_CODES } from 'node:http';
import type { Socket } from 'node:net';

/** Longest body that is copied into the buffer of its head, in bytes; longer ones are written separately. */
const kMaxCopiedBodyBytes = 32_768;

/** Encodes a request as buffers to write; `headers` are alternating names and values. */
export function encodeRequest(method: string, target: string, headers: readonly string[], body: Buffer): Buffer[] {
  const bodiless = body.length === 0 && (method === 'GET' || method === 'HEAD');
  return encodeMessage(`${method} ${target} HTTP/1.1\r\n`, headers, bodiless ? undefined : body.length, body);
}

/** Encodes a response as buffers to write; the response to a HEAD request (`isHead`) has no body. */
export function encodeResponse(status: number, headers: readonly string[], body: Buffer, isHead: boolean): Buffer[] {
  const start = `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\n`;
  return encodeMessage(start, headers, status === 204 || status === 304 ? undefined : body.length, isHead ? body.subarray(0, 0) : body);
}

/** Writes the buffers of a message in one batch. */
export function writeParts(socket: Socket, parts: readonly Buffer[]): void {
  const [only] = parts;
  if (parts.length === 1 && only) {
    socket.write(only);
    return;
  }
  socket.cork();
  for (const part of parts) {
    socket.write(part);
  }
  socket.uncork();
}

function encodeMessage(start: string, headers: readonly string[], length: number | undefined, body: Buffer): Buffer[] {
  let head = start;
  for (let i = 0; i < headers.length; i += 2) {
    head += `${headers[i]}: ${headers[i + 1]}\r\n`;
  }
  head += length === undefined ? '\r\n' : `content-length: ${length}\r\n\r\n`;
  if (body.length > kMaxCopiedBodyBytes) {
    return [Buffer.from(head, 'latin1'), body];
  }
  const bytes = Buffer.allocUnsafe(head.length + body.length);
  bytes.write(head, 0, 'latin1');
  bytes.set(body, head.length);
  return [bytes];
}
