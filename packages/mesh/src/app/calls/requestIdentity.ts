/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Extracts the parts of a request that determine its fingerprint. */

import type { RequestIdentity } from '@gentiandrum/core';

/** Fields that caller requests and peer calls have in common. */
export interface IdentifiedRequest extends Omit<RequestIdentity, 'host'> {
  /** Alternating names and values. */
  headers: readonly string[];
}

/** Returns the parts of a request that determine its fingerprint. */
export function identityOf({ method, path, body, headers }: IdentifiedRequest): RequestIdentity {
  return { method, host: hostOf(headers), path, body };
}

function hostOf(headers: readonly string[]): string {
  for (let i = 0; i + 1 < headers.length; i += 2) {
    if (headers[i]?.length === 4 && headers[i]?.toLowerCase() === 'host') {
      return headers[i + 1] ?? '';
    }
  }
  return '';
}
