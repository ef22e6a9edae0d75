/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Parses the API key of a request from its `Authorization` headers. */

/** `Bearer` in any case, white space, and one key. */
const kBearerPattern = /^bearer[ \t]+([^ \t]+)$/i;

/** The key of a request; `unreadable` when a header has no valid key, or the headers have different keys. */
export type PresentedKey = { kind: 'none' } | { kind: 'key'; key: string } | { kind: 'unreadable' };

const kNoKey: PresentedKey = { kind: 'none' };

/** Parses the values of all `Authorization` headers of one request. */
export function readCredentials(values: readonly string[]): PresentedKey {
  if (values.length === 0) {
    return kNoKey;
  }
  const keys = new Set(values.map((value) => kBearerPattern.exec(value.trim())?.[1]));
  const [key] = keys;
  return keys.size === 1 && key !== undefined ? { kind: 'key', key } : { kind: 'unreadable' };
}
