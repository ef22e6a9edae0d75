/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Tightest admission level on the path of a call, which its response reports, and the service that set it. */

import { kOpenLevel } from './rank.js';

/** Tightest admission level on the path of a call. */
export interface LevelReport {
  level: number;
  /** Service whose gate set the level; empty when the call passed no gate. */
  service: string;
  /** True when the service had no target. */
  absent?: boolean;
}

/** Report of a call that passed no gate. */
export const kOpenReport: LevelReport = { level: kOpenLevel, service: '' };

/** Returns the tighter of two reports. An absent service is tighter than any level. */
export function tighterReport(a: LevelReport, b: LevelReport): LevelReport {
  if (a.absent === true || b.absent === true) {
    return a.absent === true ? a : b;
  }
  return b.level < a.level || a.service === '' ? b : a;
}
