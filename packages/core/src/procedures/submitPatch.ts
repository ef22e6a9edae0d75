/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Submission of an operator's configuration patch, and refresh of the configuration snapshot. */

import type { PatchRecord } from '@gentiandrum/protocol';
import type { ConfigFold, PatchVerdict } from '../config/configFold.js';
import { perform, type Procedure } from './effects.js';

/** Result of a submission. After `unsettled`, resubmit with the same patch id to learn the verdict. */
export type SubmitResult = PatchVerdict | { kind: 'unavailable' } | { kind: 'unsettled' };

/** Submits a patch. Idempotent for the same patch id: only the first copy in the log counts. */
export function* submitPatch(record: PatchRecord, fold: ConfigFold): Procedure<SubmitResult> {
  const known = fold.verdict(record.patchId);
  if (known) {
    return known;
  }
  const caughtUp = yield* perform('readConfig', {});
  if (caughtUp.kind === 'unavailable') {
    return { kind: 'unavailable' };
  }
  const expected = fold.verdict(record.patchId) ?? fold.check(record.base, record.patch);
  if (expected.kind !== 'accepted' || fold.verdict(record.patchId)) {
    return expected;
  }
  const appended = yield* perform('appendPatch', { record });
  if (appended.kind === 'refused') {
    return { kind: 'unavailable' };
  }
  const upTo = appended.kind === 'appended' ? appended.offset : undefined;
  const read = yield* perform('readConfig', { upTo });
  const verdict = fold.verdict(record.patchId);
  if (verdict) {
    return verdict;
  }
  return read.kind === 'read' && appended.kind === 'appended' ? { kind: 'unavailable' } : { kind: 'unsettled' };
}

/** Appends a snapshot of the fully read configuration, so that log retention does not drop it. Returns whether it was appended. */
export function* refreshSnapshot(): Procedure<boolean> {
  const read = yield* perform('readConfig', {});
  if (read.kind === 'unavailable') {
    return false;
  }
  const appended = yield* perform('appendSnapshot', {});
  return appended.kind === 'appended';
}
