/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Requests of the scenarios. */

import type { Call, NamedClass } from '@gentiandrum/core';
import type { OfferTerms } from '@gentiandrum/protocol';

/** A request and the onward calls of its target. */
export interface Request {
  cls: NamedClass;
  body: string;
  key?: string | undefined;
  minted?: { owner: string; namespace: string };
  importance?: number;
  /** Onward calls of its target, made concurrently. */
  onward?: Request[];
  /** Whether its target always fails. */
  fails?: boolean;
}

/** Creates the onward call that a target makes for a call it serves. */
export function onwardCall(id: string, req: Request, terms: OfferTerms, now: number): Call {
  const { root, rootDaemon, rootAddress, rootIncarnation, repeatable, importance, cohort } = terms;
  const depth = terms.depth + 1;
  const derived = !req.cls.idempotent && repeatable;
  const path = `${terms.path}/${req.body}`;
  return {
    id,
    cls: req.cls,
    chain: { root, parent: terms.attempt, importance, cohort, depth, rootDaemon, rootAddress, rootIncarnation, repeatable, path },
    key: derived ? { kind: 'derived', key: `${root}${path}` } : { kind: 'none' },
    bodyDigest: req.body,
    payload: { method: 'POST', path: '/', headers: {}, body: Buffer.from(req.body) },
    deadline: now + req.cls.deadlineMs,
  };
}
