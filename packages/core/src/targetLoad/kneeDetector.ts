/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Detects a target that slows down when it is nearly full, by comparing the durations of its runs at two ranges of its slots in use. While
 * a knee is known, fewer slots are used.
 */

/** Share of the slots that is used, because some targets slow down when they are nearly full. */
const kUsedSlotShare = 0.95;
/** Share of the slots that is used while the target's durations show a knee. */
const kKneeSlotShare = 0.9;
/** Range of the slots in use in which a target with a knee is still fast, and the share above which it is slow. */
const kModerateShares = [0.5, 0.85] as const;
const kNearlyFullShare = 0.9;
/** Ratio of the mean duration when nearly full to that at moderate use above which a target has a knee. */
const kKneeRatio = 1.15;
/**
 * Number of runs in each range that a decision needs. For exponentially distributed durations, the ratio of two means of 500 runs has a
 * standard error of 6%.
 */
const kMinRuns = 500;
/**
 * Time after which runs are no longer compared with later ones, and after which more slots are used again, in milliseconds. With fewer
 * slots in use, no run shows whether the target still has a knee.
 */
const kDecisionMs = 30_000;

/** Mean of the durations in one range. */
interface DurationMean {
  runs: number;
  sum: number;
}

/** Detector of one target. */
export class KneeDetector {
  private _moderate: DurationMean = { runs: 0, sum: 0 };
  private _nearlyFull: DurationMean = { runs: 0, sum: 0 };
  private _startedAt = -Infinity;
  private _found = false;

  /** Share of the slots that may be used. */
  get usedShare(): number {
    return this._found ? kKneeSlotShare : kUsedSlotShare;
  }

  /** Records a run with the mean share of the slots in use, and its duration corrected by the slowness of the machine. */
  record(share: number, durationMs: number, now: number): void {
    if (now - this._startedAt >= kDecisionMs) {
      this._restart(now);
    }
    if (share > kNearlyFullShare) {
      add(this._nearlyFull, durationMs);
    } else if (share >= kModerateShares[0] && share <= kModerateShares[1]) {
      add(this._moderate, durationMs);
    }
    const { _moderate: moderate, _nearlyFull: nearlyFull } = this;
    if (!this._found && moderate.runs >= kMinRuns && nearlyFull.runs >= kMinRuns) {
      this._restart(now);
      this._found = nearlyFull.sum / nearlyFull.runs > (moderate.sum / moderate.runs) * kKneeRatio;
    }
  }

  private _restart(now: number): void {
    this._moderate = { runs: 0, sum: 0 };
    this._nearlyFull = { runs: 0, sum: 0 };
    this._startedAt = now;
    this._found = false;
  }
}

function add(mean: DurationMean, durationMs: number): void {
  mean.runs++;
  mean.sum += durationMs;
}
