/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Hash functions: SHA-256 where collisions would be harmful, xxHash elsewhere. */

import { createHash } from 'node:crypto';
import xxhash from 'xxhash-wasm';

const kDigestBytes = 16;
const kXxhash = await xxhash();

/** SHA-256 of length-prefixed parts, truncated to 128 bits, in base64url. */
export function digestOf(...parts: (string | Uint8Array)[]): string {
  const hash = createHash('sha256');
  for (const part of parts) {
    hash.update(`${part.length}:`);
    hash.update(part);
  }
  return hash.digest().subarray(0, kDigestBytes).toString('base64url');
}

/** SHA-256 of a text, in hex. */
export function hexDigest(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** 32-bit xxHash, for sharding and ranking. */
export function hash32(text: string): number {
  return kXxhash.h32(text);
}

/** 64-bit xxHash of bytes, in base 36; empty for no bytes. */
export function hashBytes64(bytes: Uint8Array): string {
  return bytes.byteLength === 0 ? '' : kXxhash.h64Raw(bytes).toString(36);
}

/** 64-bit xxHash of a text, in base 36. */
export function hash64(text: string): string {
  return kXxhash.h64(text).toString(36);
}
