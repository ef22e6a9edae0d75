/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Appends a claim and reads back who holds its key. The log's order decides, so any daemon may do this for another. */

import type { ClaimRecord } from '@gentiandrum/protocol';
import type { ClaimIndex } from '../claims/claimIndex.js';
import { perform, type Procedure } from './effects.js';

/** Holder of the key, or that the log could not tell. A claim may have landed in the second case too. */
export type ClaimedInLog = { kind: 'holder'; holder: ClaimRecord } | { kind: 'unavailable'; detail: string };

/** Claims a key in the log. Repeating it with the same nonce is harmless. */
export function* claimInLog(record: ClaimRecord, shard: number, index: ClaimIndex): Procedure<ClaimedInLog> {
  const appended = yield* perform('appendClaim', { shard, record });
  if (appended.kind === 'refused') {
    return { kind: 'unavailable', detail: 'The log took no claim.' };
  }
  const upTo = appended.kind === 'appended' ? appended.offset : undefined;
  const read = yield* perform('readClaims', { shard, upTo });
  if (read.kind === 'unavailable') {
    return { kind: 'unavailable', detail: 'The claim could not be read back.' };
  }
  const holder = index.holder(record.key);
  return holder ? { kind: 'holder', holder } : { kind: 'unavailable', detail: 'The claim was not found in the log.' };
}
