/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Finds status lines in heads, and in bodies that are received in parts. */

import { bodyParts, containsStatusLine, kMinStatusLineChars, type MessageBody } from '@gentiandrum/core';

interface HeadText {
  reason: string;
  /** Alternating names and values. */
  headers: readonly string[];
}

/** Whether a reason phrase or a header value contains a status line, so that the head may be that of two messages. */
export function isJoinedHead({ reason, headers }: HeadText): boolean {
  return containsStatusLine(reason) || headers.some((text, i) => i % 2 === 1 && containsStatusLine(text));
}

/** Whether a body contains a status line. */
export function hasStatusLine(body: MessageBody): boolean {
  const scanner = new StatusLineScanner();
  return bodyParts(body).some((part) => scanner.push(part));
}

/** Finds a status line in a body, also across its parts. */
export class StatusLineScanner {
  private _end = '';

  /** Scans the next part; returns whether a status line was found. */
  push(part: Buffer): boolean {
    const text = this._end + part.toString('latin1');
    this._end = text.slice(1 - kMinStatusLineChars);
    return containsStatusLine(text);
  }
}
