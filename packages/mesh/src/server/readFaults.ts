/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Responses to requests that cannot be read. */

import type { ReadFault } from './connectionOwner.js';

/** Returns the HTTP status for a fault. */
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

/** Returns the text in the response body for a fault. */
export function faultDetail(fault: ReadFault): string {
  switch (fault) {
    case 'malformed':
      return 'expected an HTTP/1.1 request, got something else';
    case 'head_too_long':
      return 'request head exceeds the limit';
    case 'head_too_late':
      return 'timed out reading the request head';
    case 'body_too_late':
      return 'timed out reading the request body';
    case 'body_too_long':
      return 'request body exceeds the limit';
    case 'no_memory':
      return 'memory limit for request bodies reached';
  }
}
