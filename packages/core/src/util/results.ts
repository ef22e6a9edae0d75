/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** The one place that imports ts-results: as CommonJS its names can't be imported one by one at run time. */

import tsResults, { type Result } from 'ts-results';

const { Ok, Err } = tsResults;

export { Err, Ok };
export type { Result };
