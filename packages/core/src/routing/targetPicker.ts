/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Chooses a target by utilisation, with penalties for other availability zones and regions: the best of two random candidates in each
 * locality. Ejects failing targets up to a cap, and ramps up new ones with a slow start.
 */

import type { Random } from '../util/random.js';
import { TargetStats } from './targetStats.js';

/** A target that accepts requests. */
export interface Candidate {
  target: string;
  /** Daemon on the target's host, and its address. */
  daemon: string;
  incarnation: number;
  address: string;
  service: string;
  zone: string;
  region: string;
  slots: number;
  /** Whether the daemon is suspected to have failed, because it missed a ping. */
  suspected?: boolean;
}

/** Whether the daemon of a candidate responded to the latest ping. */
export function isResponsive({ suspected }: Candidate): boolean {
  return suspected !== true;
}

/** A chosen candidate, and the scores that decided. */
export interface Choice {
  candidate: Candidate;
  stats: TargetStats;
  /** Scores of the compared targets; the lowest wins. */
  weighed: { target: string; score: number }[];
  reason: 'own_zone' | 'other_zone' | 'other_region';
}

/** Added to the score of a target in another availability zone, or in another region. */
const kZonePenalty = 0.3;
const kRegionPenalty = 1;
/** Largest share of a service's targets that may be ejected at the same time. */
const kMaxEjected = 1 / 3;
const kSlowStartMs = 5_000;
const kSlowStartFloor = 0.2;

/** Chooses targets for one daemon. */
export class TargetPicker {
  private readonly _stats = new Map<string, TargetStats>();

  constructor(
    private readonly _zone: string,
    private readonly _region: string,
    private readonly _random: Random,
  ) {}

  /**
   * Chooses among the `candidates` that are not in `tried`: ejected ones only if no other is left, and suspected ones only if there are not
   * even ejected ones. A daemon that was stalled for half a second is suspected; most such daemons respond again.
   */
  pick(candidates: readonly Candidate[], tried: ReadonlySet<string>, now: number): Choice | undefined {
    const untried = candidates.filter((candidate) => !tried.has(candidate.target));
    const responsive = untried.filter(isResponsive);
    const eligible = responsive.filter((candidate) => !this._isEjected(candidate, now));
    const [pool = untried] = [eligible, responsive].filter(({ length }) => length > 0);
    const scored = [
      ...this._sample(pool.filter((c) => c.zone === this._zone)),
      ...this._sample(pool.filter((c) => c.zone !== this._zone && c.region === this._region)),
      ...this._sample(pool.filter((c) => c.region !== this._region)),
    ].map((candidate) => ({ candidate, score: this._score(candidate, now) }));
    const best = scored.reduce<(typeof scored)[number] | undefined>((a, b) => (a && a.score <= b.score ? a : b), undefined);
    if (!best) {
      return undefined;
    }
    return {
      candidate: best.candidate,
      stats: this.statsOf(best.candidate, now),
      weighed: scored.map(({ candidate, score }) => ({ target: candidate.target, score: Math.round(score * 1000) / 1000 })),
      reason: this._reason(best.candidate),
    };
  }

  /** Returns the statistics of a target; a new incarnation of its daemon starts with empty ones. */
  statsOf(candidate: Candidate, now: number): TargetStats {
    const key = `${candidate.target}@${candidate.incarnation}`;
    let stats = this._stats.get(key);
    if (!stats) {
      stats = new TargetStats(now, candidate.slots);
      this._stats.set(key, stats);
    }
    return stats;
  }

  /** Records a failure of a target, and ejects it if its failures require it and the cap permits. */
  recordFailure(failing: Candidate, all: readonly Candidate[], now: number): void {
    const stats = this.statsOf(failing, now);
    if (!stats.recordFailure()) {
      return;
    }
    const ejected = all.filter((candidate) => this._isEjected(candidate, now)).length;
    if (ejected + 1 <= Math.max(1, Math.floor(all.length * kMaxEjected)) && all.length > 1) {
      stats.eject(now);
    }
  }

  /** Removes the statistics of all targets that are not in `candidates`. */
  retain(candidates: readonly Candidate[]): void {
    const keep = new Set(candidates.map((candidate) => `${candidate.target}@${candidate.incarnation}`));
    for (const key of this._stats.keys()) {
      if (!keep.has(key)) {
        this._stats.delete(key);
      }
    }
  }

  private _isEjected(candidate: Candidate, now: number): boolean {
    return this.statsOf(candidate, now).isEjected(now);
  }

  /** Returns two random candidates, or all if there are at most two. */
  private _sample(pool: Candidate[]): Candidate[] {
    if (pool.length <= 2) {
      return pool;
    }
    const first = Math.floor(this._random() * pool.length);
    const shift = 1 + Math.floor(this._random() * (pool.length - 1));
    return [pool[first], pool[(first + shift) % pool.length]].filter((candidate) => candidate !== undefined);
  }

  private _score(candidate: Candidate, now: number): number {
    const stats = this.statsOf(candidate, now);
    const age = now - stats.startedAt;
    const ramp = Math.min(1, Math.max(kSlowStartFloor, age / kSlowStartMs));
    return stats.utilisation(now) / ramp + this._penalty(candidate);
  }

  private _penalty(candidate: Candidate): number {
    if (candidate.zone === this._zone) {
      return 0;
    }
    return candidate.region === this._region ? kZonePenalty : kRegionPenalty;
  }

  private _reason(candidate: Candidate): Choice['reason'] {
    if (candidate.zone === this._zone) {
      return 'own_zone';
    }
    return candidate.region === this._region ? 'other_zone' : 'other_region';
  }
}
