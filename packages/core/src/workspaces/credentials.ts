/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Which key a request carries, from the values of its `Authorization` headers. */

/** `Bearer`, in any case, then white space and one key. */
const kBearerPattern = /^bearer[ \t]+([^ \t]+)$/i;

/** The key that a request carries; `unreadable` is one without a readable key, or with two that differ. */
export type PresentedKey = { kind: 'none' } | { kind: 'key'; key: string } | { kind: 'unreadable' };

const kNoKey: PresentedKey = { kind: 'none' };

/** Reads the values of all `Authorization` headers of one request. */
export function readCredentials(values: readonly string[]): PresentedKey {
  if (values.length === 0) {
    return kNoKey;
  }
  const keys = new Set(values.map((value) => kBearerPattern.exec(value.trim())?.[1]));
  const [key] = keys;
  return keys.size === 1 && key !== undefined ? { kind: 'key', key } : { kind: 'unreadable' };
}
