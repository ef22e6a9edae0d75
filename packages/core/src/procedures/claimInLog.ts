/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Appends a claim to the log and reads back the holder of its key. The log's order decides, so daemons may claim for each other. */

import type { ClaimRecord } from '@gentiandrum/protocol';
import type { ClaimIndex } from '../claims/claimIndex.js';
import { perform, type Procedure } from './effects.js';

/** Holder of the key, or `unavailable` when it could not be determined. The claim may have been appended even then. */
export type ClaimedInLog = { kind: 'holder'; holder: ClaimRecord } | { kind: 'unavailable'; detail: string };

/** Claims a key in the log. Idempotent for the same nonce. */
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
