/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Requests that the scenarios send. */

import type { NamedClass } from '@gentiandrum/core';

/** A request of the matrix: what it is, and what its target calls onward. */
export interface Request {
  cls: NamedClass;
  body: string;
  key?: string | undefined;
  minted?: { owner: string; namespace: string };
  importance?: number;
  /** The onward calls of its target, made at once. */
  onward?: Request[];
  /** Its targets always fail. */
  fails?: boolean;
}
