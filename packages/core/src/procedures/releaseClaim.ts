/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Releases the claim of a call that did not run, so that another daemon may run it. */

import type { ResponseStore } from '../claims/responseStore.js';
import { perform, type Procedure } from './effects.js';

/** The claim to release and its claimant. */
export interface ClaimRelease {
  key: string;
  shard: number;
  claimant: string;
  address: string;
}

/** Releases an abandoned claim. The key stays blocked here until the release is read back. Returns whether it was released. */
export function* releaseClaim(release: ClaimRelease, responses: ResponseStore): Procedure<boolean> {
  const { key, shard, claimant, address } = release;
  const body = responses.get(key)?.body ?? '';
  const nonce = responses.beginRelease(key);
  if (nonce === undefined) {
    return false;
  }
  const appended = yield* perform('appendClaim', { shard, record: { key, nonce, claimant, address, body, released: true } });
  if (appended.kind !== 'appended') {
    return false;
  }
  const read = yield* perform('readClaims', { shard, upTo: appended.offset });
  if (read.kind === 'unavailable') {
    return false;
  }
  responses.drop(key);
  return true;
}
