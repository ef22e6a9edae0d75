/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Bodies of requests and responses. Long bodies stay in the parts in which they were received, because joining them doubles their memory. */

import { hashBytes } from '../util/hashText.js';

/** A complete body: one buffer, or several parts in order. */
export type MessageBody = Buffer | readonly Buffer[];

/** A body whose bytes are only read. */
export type ReadableBody = Uint8Array | readonly Uint8Array[];

/** Size of the blocks that are hashed one after the other, in bytes; makes the hash independent of how a body is divided into parts. */
const kHashBlockBytes = 65_536;

/** Parts of a body in order. */
export function bodyParts(body: MessageBody): readonly Buffer[] {
  return Buffer.isBuffer(body) ? [body] : body;
}

/** Length of a body, in bytes. */
export function bodyBytes(body: ReadableBody): number {
  if (body instanceof Uint8Array) {
    return body.length;
  }
  let bytes = 0;
  for (const part of body) {
    bytes += part.length;
  }
  return bytes;
}

/** Returns the hash of a body as an unsigned 32-bit integer. */
export function hashBody(body: ReadableBody, seed: number): number {
  let hash = seed;
  for (const block of blocksOf(body)) {
    hash = hashBytes(block, hash);
  }
  return hash;
}

/** Yields the body in blocks of equal size, the last of which may be shorter; an empty body is one empty block. */
function* blocksOf(body: ReadableBody): Generator<Uint8Array, void, undefined> {
  if (body instanceof Uint8Array && body.length <= kHashBlockBytes) {
    yield body;
    return;
  }
  const block = Buffer.allocUnsafe(kHashBlockBytes);
  let used = 0;
  for (const part of body instanceof Uint8Array ? [body] : body) {
    for (let at = 0; at < part.length;) {
      const copied = Math.min(part.length - at, kHashBlockBytes - used);
      block.set(part.subarray(at, at + copied), used);
      at += copied;
      used += copied;
      if (used === kHashBlockBytes) {
        yield block;
        used = 0;
      }
    }
  }
  if (used > 0) {
    yield block.subarray(0, used);
  }
}
