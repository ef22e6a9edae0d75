/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Encodes HTTP/1.1 messages as one buffer where possible, because a write to a socket costs more than copying a short body. */

import { STATUS_CODES } from 'node:http';
import type { Socket } from 'node:net';
import { bodyBytes, bodyParts, type MessageBody } from '@gentiandrum/core';

/** Longest body that is copied into the buffer of its head, in bytes; longer ones are written separately. */
const kMaxCopiedBodyBytes = 32_768;

const kNoBody = Buffer.alloc(0);

/** Encodes a request as buffers to write; `headers` are alternating names and values. */
export function encodeRequest(method: string, target: string, headers: readonly string[], body: MessageBody): Buffer[] {
  const bytes = bodyBytes(body);
  const bodiless = bytes === 0 && (method === 'GET' || method === 'HEAD');
  return encodeMessage(`${method} ${target} HTTP/1.1\r\n`, headers, bodiless ? undefined : bytes, body);
}

/** Encodes a response as buffers to write; the response to a HEAD request (`isHead`) has no body. */
export function encodeResponse(status: number, headers: readonly string[], body: MessageBody, isHead: boolean): Buffer[] {
  const start = `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\n`;
  return encodeMessage(start, headers, status === 204 || status === 304 ? undefined : bodyBytes(body), isHead ? kNoBody : body);
}

/** Writes the buffers of a message in one batch; `onWritten` is called once they have been handed to the system, or the socket failed. */
export function writeParts(socket: Socket, parts: readonly Buffer[], onWritten?: () => void): void {
  const [only] = parts;
  if (parts.length === 1 && only) {
    socket.write(only, onWritten);
    return;
  }
  socket.cork();
  parts.forEach((part, i) => {
    socket.write(part, i === parts.length - 1 ? onWritten : undefined);
  });
  socket.uncork();
}

function encodeMessage(start: string, headers: readonly string[], length: number | undefined, body: MessageBody): Buffer[] {
  let head = start;
  for (let i = 0; i < headers.length; i += 2) {
    head += `${headers[i]}: ${headers[i + 1]}\r\n`;
  }
  head += length === undefined ? '\r\n' : `content-length: ${length}\r\n\r\n`;
  if (!Buffer.isBuffer(body) || body.length > kMaxCopiedBodyBytes) {
    return [Buffer.from(head, 'latin1'), ...bodyParts(body)];
  }
  const bytes = Buffer.allocUnsafe(head.length + body.length);
  bytes.write(head, 0, 'latin1');
  bytes.set(body, head.length);
  return [bytes];
}
