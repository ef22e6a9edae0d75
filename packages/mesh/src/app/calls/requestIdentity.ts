/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** What a target is asked to do, as requests and calls carry it. */

import type { RequestIdentity } from '@gentiandrum/core';

/** What requests and calls have in common. */
export interface IdentifiedRequest extends Omit<RequestIdentity, 'host'> {
  /** Names and values in turn. */
  headers: readonly string[];
}

/** What tells a request's kind. */
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
