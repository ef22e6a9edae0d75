/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Hashes: SHA-256 where equality must mean sameness, xxHash where only spread matters. */

import { createHash } from 'node:crypto';
import xxhash from 'xxhash-wasm';

const kDigestBytes = 16;
const kXxhash = await xxhash();

/** Digest of some parts, as base64url text of 128 bits. */
export function digestOf(...parts: (string | Uint8Array)[]): string {
  const hash = createHash('sha256');
  for (const part of parts) {
    hash.update(`${part.length}:`);
    hash.update(part);
  }
  return hash.digest().subarray(0, kDigestBytes).toString('base64url');
}

/** Digest of one text, whole, as hex. */
export function hexDigest(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** 32-bit hash for spreading. */
export function hash32(text: string): number {
  return kXxhash.h32(text);
}

/** 64-bit hash of bytes, as text. */
export function hashBytes64(bytes: Uint8Array): string {
  return bytes.byteLength === 0 ? '' : kXxhash.h64Raw(bytes).toString(36);
}

/** 64-bit hash of a text, as text. */
export function hash64(text: string): string {
  return kXxhash.h64(text).toString(36);
}
