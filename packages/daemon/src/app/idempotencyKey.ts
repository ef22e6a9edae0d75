/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Parses the `Idempotency-Key` header. */

const kMaxLength = 255;
/** Key in a namespace that a daemon minted: `daemon.incarnation.number/sequence`. */
const kMintedKey = /^"?((?<owner>[a-z0-9][a-z0-9._-]*)\.(?<incarnation>[0-9a-z]+)\.[0-9a-z]+)\/(?<sequence>\d{1,9})"?$/;
const kPrintableAscii = /^[\x20-\x7e]+$/;

/** Parsed header: `own` keys are chosen by the caller, `minted` keys are numbered in a minted namespace. */
export type ParsedKey =
  | { kind: 'none' }
  | { kind: 'bad' }
  | { kind: 'own'; text: string }
  | { kind: 'minted'; namespace: string; owner: string; incarnation: number; sequence: number };

export function parseIdempotencyKey(text: string | undefined): ParsedKey {
  if (text === undefined) {
    return { kind: 'none' };
  }
  if (text === '' || text.length > kMaxLength || !kPrintableAscii.test(text)) {
    return { kind: 'bad' };
  }
  const minted = kMintedKey.exec(text);
  const { owner, incarnation, sequence } = minted?.groups ?? {};
  if (minted?.[1] === undefined || owner === undefined || incarnation === undefined || sequence === undefined) {
    return { kind: 'own', text };
  }
  return { kind: 'minted', namespace: minted[1], owner, incarnation: parseInt(incarnation, 36), sequence: Number(sequence) };
}
