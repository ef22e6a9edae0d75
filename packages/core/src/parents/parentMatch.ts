/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Result of the search for the run that made a call. */

import type { TrackedRun } from './trackedRun.js';

export type ParentMatch =
  | { kind: 'unknown' }
  /** Only a run that has ended can have made the call. */
  | { kind: 'ended' }
  | {
      kind: 'found';
      /** Attributes on which the candidates agree, or else those without an open call; undefined where they differ. */
      rank: number | undefined;
      workspace: string | undefined;
      /** The most likely runs, in order of decreasing likelihood; never empty. */
      candidates: readonly TrackedRun[];
    };
