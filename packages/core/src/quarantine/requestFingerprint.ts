/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Fingerprints of requests. Requests for the same work have the same fingerprint, regardless of caller, request id, key and deadline. The
 * calling service is excluded, so that crashes caused by a request count together whichever service it enters through.
 */

import { bodyBytes, hashBody, type ReadableBody } from '../memory/messageBody.js';
import { hashText } from '../util/hashText.js';

/** The parts of a request that its fingerprint covers. */
export interface RequestIdentity {
  method: string;
  host: string;
  /** Path with query. */
  path: string;
  body: ReadableBody;
}

/** Separates the parts of a head. None of the parts can contain it. */
const kSeparator = '\n';
const kRadix = 36;
/** Hash seeds of the two halves of a fingerprint. */
const kSeeds = [0x51ed270b, 0x2545f491] as const;

/** Hash of everything but the body's content: a cheap pre-check that rules out most requests without hashing their bodies. */
export function screenOf(identity: RequestIdentity): number {
  return hashText(headOf(identity));
}

/**
 * Fingerprint of a request: 64 bits as text. With 32 bits, a fleet with a hundred quarantined fingerprints and 140,000 calls a second would
 * refuse an unrelated request every five minutes.
 */
export function fingerprintOf(identity: RequestIdentity): string {
  const head = headOf(identity);
  return kSeeds.map((seed) => hashBody(identity.body, hashText(head, seed)).toString(kRadix)).join('-');
}

/** Joins the parts unambiguously. The body is represented by its length. */
function headOf({ method, host, path, body }: RequestIdentity): string {
  return [method, host.toLowerCase(), path, bodyBytes(body)].join(kSeparator);
}
