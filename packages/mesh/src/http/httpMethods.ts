/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Names of the HTTP methods by their numbers in llhttp. */

/** Number of QUERY in llhttp; the numbers between are methods of RTSP. */
const kQueryMethod = 46;
/** Method names by their number in llhttp. */
const kMethods = [
  'DELETE',
  'GET',
  'HEAD',
  'POST',
  'PUT',
  'CONNECT',
  'OPTIONS',
  'TRACE',
  'COPY',
  'LOCK',
  'MKCOL',
  'MOVE',
  'PROPFIND',
  'PROPPATCH',
  'SEARCH',
  'UNLOCK',
  'BIND',
  'REBIND',
  'UNBIND',
  'ACL',
  'REPORT',
  'MKACTIVITY',
  'CHECKOUT',
  'MERGE',
  'M-SEARCH',
  'NOTIFY',
  'SUBSCRIBE',
  'UNSUBSCRIBE',
  'PATCH',
  'PURGE',
  'MKCALENDAR',
  'LINK',
  'UNLINK',
  'SOURCE',
];

/** Returns the name of a method; undefined for methods of other protocols. */
export function methodName(method: number): string | undefined {
  return method === kQueryMethod ? 'QUERY' : kMethods[method];
}
