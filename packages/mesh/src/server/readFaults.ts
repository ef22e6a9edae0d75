/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** What callers are told of requests that can't be read. */

import type { ReadFault } from './callerConnection.js';

/** Status of the answer to a request that can't be read. */
export function faultStatus(fault: ReadFault): number {
  switch (fault) {
    case 'malformed':
      return 400;
    case 'head_too_long':
      return 431;
    case 'head_too_late':
    case 'body_too_late':
      return 408;
    case 'body_too_long':
      return 413;
    case 'no_memory':
      return 503;
  }
}

/** Text of that answer. */
export function faultDetail(fault: ReadFault): string {
  switch (fault) {
    case 'malformed':
      return 'expected an HTTP/1.1 request, got something else';
    case 'head_too_long':
      return 'request head over the limit';
    case 'head_too_late':
      return 'request head did not arrive in time';
    case 'body_too_late':
      return 'request body did not arrive in time';
    case 'body_too_long':
      return 'request body over the limit';
    case 'no_memory':
      return 'too many bytes of requests are held';
  }
}
