/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** JSON merge patches (RFC 7396). */

/** Returns the result of applying a merge patch to a JSON value. Neither argument is modified; `__proto__` keys are ignored. */
export function mergePatch(target: unknown, patch: unknown): unknown {
  if (!isObject(patch)) {
    return patch;
  }
  const merged: Record<string, unknown> = isObject(target) ? { ...target } : {};
  for (const [key, value] of Object.entries(patch)) {
    if (key === '__proto__') {
      continue;
    }
    if (value === null) {
      Reflect.deleteProperty(merged, key);
    } else {
      merged[key] = mergePatch(merged[key], value);
    }
  }
  return merged;
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
