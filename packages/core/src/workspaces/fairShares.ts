/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Shares the admitted part of a priority among workspaces in proportion to the rates of their quotas, max-min fair.
 *
 * A request gets the score `draw x ratio`, where the ratio is the rate of its workspace relative to its quota and to all others. Admitting
 * the scores below a common threshold admits `min(1, threshold / ratio)` of each workspace, which is max-min fair. The result is the
 * quantile of the score among recent ones of the same priority. It is uniform whatever the ratios are, so the total that is shed remains
 * the one given by the level, also where counts are small.
 */

/** Half-life of a request in the count of its workspace, in milliseconds. */
const kHalfLifeMs = 3_000;
/** Time since the last request for which a workspace takes part in the division, in milliseconds. */
const kInUseMs = 3_000;
/** Time since the last request after which the state of a workspace or a priority is evicted, in milliseconds; four half-lives. */
const kEvictMs = 12_000;
/** Interval between updates of the totals, in milliseconds: short against the half-life, so that a request does not visit all workspaces. */
const kUpdateMs = 100;
/** Requests added to the observed and to the expected count. A daemon often sees only one or two requests of a workspace in 3 s. */
const kPriorRequests = 1;
/** Number of recent scores per priority: about 3 s of the requests of one of 60 daemons. */
const kScores = 64;

/** A workspace as needed for the division; a workspace without a quota counts with the mean rate of the others. */
export interface WorkspaceRate {
  name: string;
  ratePerSecond?: number | undefined;
}

/** Position of a request within its priority, and whether its workspace sends more than its part of the current traffic. */
export interface FairPosition {
  /** Uniform from 0 to 1; high positions are shed first. */
  position: number;
  overShare: boolean;
}

interface SentCount {
  count: number;
  ratePerSecond: number | undefined;
  lastAt: number;
}

interface RecentScores {
  scores: number[];
  next: number;
  lastAt: number;
}

/** Fair shares at one daemon. Holds state only for the workspaces and priorities of recent requests. Times are in milliseconds. */
export class FairShares {
  private readonly _sent = new Map<string, SentCount>();
  private readonly _recent = new Map<number, RecentScores>();
  private _updatedAt = -Infinity;
  /** Mean rate of the quotas in use, and the decayed count of requests per unit of rate. */
  private _meanRate = 1;
  private _countPerRate = 0;

  /** Number of workspaces with a count. */
  get size(): number {
    return this._sent.size;
  }

  /** Places a request that is subject to shedding; `draw` is uniform from 0 to 1. Requests without a workspace keep their draw. */
  place(workspace: WorkspaceRate | undefined, priority: number, draw: number, now: number): FairPosition {
    if (!workspace) {
      return { position: draw, overShare: false };
    }
    this._update(now);
    const ratio = this._ratio(workspace);
    this._count(workspace, now);
    return { position: this._position(priority, draw, ratio, now), overShare: ratio > 1 };
  }

  /** Rate of a workspace before this request, relative to its part of all; 1 when it is not known. */
  private _ratio({ name, ratePerSecond }: WorkspaceRate): number {
    const expected = (ratePerSecond ?? this._meanRate) * this._countPerRate;
    return ((this._sent.get(name)?.count ?? 0) + kPriorRequests) / (expected + kPriorRequests);
  }

  private _count({ name, ratePerSecond }: WorkspaceRate, now: number): void {
    const sent = this._sent.get(name) ?? { count: 0, ratePerSecond, lastAt: now };
    sent.count++;
    sent.ratePerSecond = ratePerSecond;
    sent.lastAt = now;
    this._sent.set(name, sent);
  }

  /** Quantile of a score among the recent ones, interpolated between its neighbours; equal to the draw where there are none. */
  private _position(priority: number, draw: number, ratio: number, now: number): number {
    const recent = this._recent.get(priority) ?? { scores: [], next: 0, lastAt: now };
    this._recent.set(priority, recent);
    const score = draw * ratio;
    let below = 0;
    let low = 0;
    let high = ratio;
    for (const other of recent.scores) {
      if (other < score) {
        below++;
        low = Math.max(low, other);
      } else {
        high = Math.min(high, other);
      }
    }
    const position = (below + (high > low ? (score - low) / (high - low) : 0)) / (recent.scores.length + 1);
    recent.scores[recent.next] = score;
    recent.next = (recent.next + 1) % kScores;
    recent.lastAt = now;
    return position;
  }

  private _update(now: number): void {
    if (now - this._updatedAt < kUpdateMs) {
      return;
    }
    const decay = 0.5 ** ((now - this._updatedAt) / kHalfLifeMs);
    this._updatedAt = now;
    evictUnused(this._sent, now);
    evictUnused(this._recent, now);
    for (const sent of this._sent.values()) {
      sent.count *= decay;
    }
    const inUse = [...this._sent.values()].filter(({ lastAt }) => now - lastAt <= kInUseMs);
    const rates = inUse.flatMap(({ ratePerSecond }) => ratePerSecond ?? []);
    this._meanRate = sum(rates) > 0 ? sum(rates) / rates.length : 1;
    const totalRate = sum(rates) + (inUse.length - rates.length) * this._meanRate;
    this._countPerRate = totalRate > 0 ? sum(inUse.map(({ count }) => count)) / totalRate : 0;
  }
}

function evictUnused<K>(entries: Map<K, { lastAt: number }>, now: number): void {
  for (const [key, { lastAt }] of entries) {
    if (now - lastAt > kEvictMs) {
      entries.delete(key);
    }
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
