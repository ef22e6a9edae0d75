/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Submits an operator's patch and learns what became of it. */

import type { PatchRecord } from '@gentiandrum/protocol';
import type { ConfigFold, PatchVerdict } from '../config/configFold.js';
import { perform, type Procedure } from './effects.js';

/** End of a submission. `unsettled`: the log must be asked again, with the same patch id. */
export type SubmitResult = PatchVerdict | { kind: 'unavailable' } | { kind: 'unsettled' };

/** Submits a patch. Repeating it with the same patch id is safe: the log's first copy counts. */
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

/** Keeps a snapshot in the log ahead of what retention drops. The fold is read to its end first. */
export function* refreshSnapshot(): Procedure<boolean> {
  const read = yield* perform('readConfig', {});
  if (read.kind === 'unavailable') {
    return false;
  }
  const appended = yield* perform('appendSnapshot', {});
  return appended.kind === 'appended';
}
