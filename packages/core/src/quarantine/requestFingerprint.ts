/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Tells whether two requests are of one kind: the same work, whoever sent them, and with whatever id, key or deadline. The service that
 * a call comes from is no part of it: one request that comes in at hosts of four services would be four kinds, and end targets for each.
 */

import { hashBytes, hashText } from '../util/hashText.js';

/** What a target is asked to do. */
export interface RequestIdentity {
  method: string;
  host: string;
  /** Path with query. */
  path: string;
  body: Uint8Array;
}

/** Separates the parts of a head: none of them can hold it. */
const kSeparator = '\n';
const kRadix = 36;
/** Seeds of the two halves of a fingerprint. */
const kSeeds = [0x51ed270b, 0x2545f491] as const;

/** Hash of all but the body's bytes: a request whose screen is not known needs no look at its body. */
export function screenOf(identity: RequestIdentity): number {
  return hashText(headOf(identity));
}

/**
 * Name of a kind of request, 64 bits as text: with 32 a fleet that holds a hundred kinds back would refuse an innocent request every
 * five minutes at 140,000 calls a second.
 */
export function fingerprintOf(identity: RequestIdentity): string {
  const head = headOf(identity);
  return kSeeds.map((seed) => hashBytes(identity.body, hashText(head, seed)).toString(kRadix)).join('-');
}

/** Joined so that no two identities give one text: the length stands for the body, and no other part holds the separator. */
function headOf({ method, host, path, body }: RequestIdentity): string {
  return [method, host.toLowerCase(), path, body.length].join(kSeparator);
}
