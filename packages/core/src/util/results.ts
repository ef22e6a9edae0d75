/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Reexports ts-results, a CommonJS module that does not support named imports at run time. */

import tsResults, { type Result } from 'ts-results';

const { Ok, Err } = tsResults;

export { Err, Ok };
export type { Result };
