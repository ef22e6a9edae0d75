/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Decaying count of the demand for repeats by rank, and within a rank by how many gates the chain still has to pass. */

/** Half-life of a demand, in milliseconds: long enough for some ten demands at one target while its service refuses calls. */
const kHalfLifeMs = 2_000;
/** Half-life of the total that detects a rise of the demand, in milliseconds, so that a rise counts within 0.5 s. */
const kRiseHalfLifeMs = 200;
/** Demands within the short half-life below which a rise may be chance. */
const kMinRiseCount = 4;
/** Ratio of the short-term to the long-term rate above which the demand has risen. */
const kRiseRatio = 1.5;
/** Maximum number of ranks with a count of their own. */
const kMaxRanks = 64;
/** Count below which a rank is forgotten. */
const kMinCount = 0.05;
/** Bands of a rank end at these multiples of the mean number of gates that its chains still pass. */
const kBandEnds = [2 / 3, 4 / 3] as const;

/** The calls of one rank in one band. */
export interface DemandBand {
  count: number;
  /** Part of a token that the band is entitled to but has not taken. */
  credit: number;
}

/** Rates of demand, per second, at the position of one call. */
export interface DemandPosition {
  /** Demand of more urgent calls. */
  above: number;
  /** Demand of calls of the same rank and band, including this call. */
  own: number;
  /** Demand of all calls. */
  total: number;
  band: DemandBand;
}

interface RankDemand {
  rank: number;
  bands: DemandBand[];
  /** Decaying count of calls with a known number of gates, and the sum of these numbers. */
  known: number;
  gates: number;
}

/** Demand for repeats at one target. */
export class RankedDemand {
  /** Sorted by rank, the most urgent first; an unknown rank is infinite. */
  private _ranks: RankDemand[] = [];
  private _riseCount = 0;
  private _decayedAt = 0;

  /** Counts the demand of one call, and returns its position; `gatesAfter` is undefined if it is unknown. */
  record(rank: number | undefined, gatesAfter: number | undefined, now: number): DemandPosition {
    this._decay(now);
    this._riseCount++;
    const entry = this._entryOf(isPlausible(rank) ? rank : Infinity);
    const band = bandOf(entry, isPlausible(gatesAfter) ? gatesAfter : undefined);
    band.count++;
    let above = 0;
    let total = 0;
    for (const { rank: other, bands } of this._ranks) {
      for (const each of bands) {
        total += each.count;
        above += other < entry.rank || (other === entry.rank && bands.indexOf(each) < entry.bands.indexOf(band)) ? each.count : 0;
      }
    }
    const ratePerCount = this._ratePerCount(total);
    return { above: above * ratePerCount, own: band.count * ratePerCount, total: total * ratePerCount, band };
  }

  /** Rate that a count stands for, per second. After a rise, the long-term counts are scaled up to the short-term rate. */
  private _ratePerCount(total: number): number {
    const rise = (this._riseCount * kHalfLifeMs) / kRiseHalfLifeMs / total;
    const scale = this._riseCount >= kMinRiseCount && rise > kRiseRatio ? rise : 1;
    return (scale * Math.LN2 * 1_000) / kHalfLifeMs;
  }

  private _decay(now: number): void {
    const elapsed = Math.max(0, now - this._decayedAt);
    this._decayedAt = now;
    const factor = 0.5 ** (elapsed / kHalfLifeMs);
    this._riseCount *= 0.5 ** (elapsed / kRiseHalfLifeMs);
    for (const entry of this._ranks) {
      entry.known *= factor;
      entry.gates *= factor;
      for (const band of entry.bands) {
        band.count *= factor;
      }
    }
    this._ranks = this._ranks.filter((entry) => countOf(entry) >= kMinCount);
  }

  private _entryOf(rank: number): RankDemand {
    const index = this._ranks.findIndex((entry) => entry.rank >= rank);
    const found = this._ranks[index];
    if (found?.rank === rank) {
      return found;
    }
    // A band starts with one credit, so that a rare call is not refused while the rates are unknown.
    const entry = { rank, known: 0, gates: 0, bands: [...kBandEnds, Infinity].map(() => ({ count: 0, credit: 1 })) };
    this._ranks.splice(index < 0 ? this._ranks.length : index, 0, entry);
    if (this._ranks.length > kMaxRanks) {
      const rest = this._ranks.filter((other) => other !== entry);
      const rarest = rest.reduce((least, other) => (countOf(other) < countOf(least) ? other : least));
      this._ranks = this._ranks.filter((other) => other !== rarest);
    }
    return entry;
  }
}

/** Band of a call; the mean includes the call, and an unknown number of gates is in the last band. */
function bandOf(entry: RankDemand, gatesAfter: number | undefined): DemandBand {
  const last = entry.bands.length - 1;
  let index = last;
  if (gatesAfter !== undefined) {
    entry.known++;
    entry.gates += gatesAfter;
    const mean = entry.gates / entry.known;
    const found = kBandEnds.findIndex((end) => gatesAfter <= end * mean);
    index = found < 0 ? last : found;
  }
  return entry.bands[index] ?? { count: 0, credit: 0 };
}

function countOf({ bands }: RankDemand): number {
  return bands.reduce((sum, { count }) => sum + count, 0);
}

function isPlausible(value: number | undefined): value is number {
  return value !== undefined && Number.isFinite(value) && value >= 0;
}
