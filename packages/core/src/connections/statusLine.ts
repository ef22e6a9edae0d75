/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Finds status lines where none belongs: an incomplete response takes the status line of the next one for a part of its own. */

const kStatusLine = /HTTP\/\d\.\d \d{3}/;
/** Length of the shortest status line, without its line end. */
export const kMinStatusLineChars = 'HTTP/1.1 200'.length;

/** Whether a reason phrase, a header value or a part of a body contains a status line. */
export function containsStatusLine(text: string): boolean {
  return kStatusLine.test(text);
}
