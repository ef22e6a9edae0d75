/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Early refusal where a request enters: a request that would be shed further down is refused before its first hop.
 *
 * Answers bring back the tightest admission level met on their way. The filter keeps one level per request class; it
 * follows the answers within a short time and opens by itself when none come.
 */

import { kOpenLevel } from './rank.js';

/** Time over which a level follows the answers, in milliseconds. */
const kFollowMs = 50;
/** Ranks by which a level opens per millisecond without answers. */
const kOpenPerMs = { goodput: 0.5, recovery: 2 } as const;
const kQuietMs = 200;

interface ClassLevel {
  level: number;
  at: number;
}

/** Levels by request class at one daemon. */
export class RootFilter {
  private readonly _levels = new Map<string, ClassLevel>();

  constructor(private readonly _favour: () => 'goodput' | 'recovery') {}

  /** Level of a class as of `now`. */
  level(className: string, now: number): number {
    const known = this._levels.get(className);
    if (!known) {
      return kOpenLevel;
    }
    const quietMs = Math.max(0, now - known.at - kQuietMs);
    return Math.min(kOpenLevel, known.level + quietMs * kOpenPerMs[this._favour()]);
  }

  /** Whether a root request may enter. */
  admits(className: string, rank: number, now: number): boolean {
    return rank < this.level(className, now);
  }

  /** Takes the level that an answer brought back. */
  learn(className: string, level: number, now: number): void {
    const known = this._levels.get(className);
    if (!known) {
      this._levels.set(className, { level, at: now });
      return;
    }
    const before = this.level(className, now);
    const weight = 1 - Math.exp(-Math.max(1, now - known.at) / kFollowMs);
    known.level = before + (level - before) * weight;
    known.at = now;
  }
}
