/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** What an answer brings back of the admission levels met on its way: the tightest one, and the service that set it. */

import { kOpenLevel } from './rank.js';

/** The tightest level below a call. */
export interface LevelReport {
  level: number;
  /** Service whose gate set the level; empty when no gate was met. */
  service: string;
  /** Set when the service had no target at all. */
  absent?: boolean;
}

/** Report of a way that met no gate. */
export const kOpenReport: LevelReport = { level: kOpenLevel, service: '' };

/** The tighter of two reports. */
export function tighterReport(a: LevelReport, b: LevelReport): LevelReport {
  if (a.absent === true || b.absent === true) {
    return a.absent === true ? a : b;
  }
  return b.level < a.level || a.service === '' ? b : a;
}
