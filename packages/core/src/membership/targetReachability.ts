/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Tracks whether the target of this host accepts connections. A target that crashes announces nothing, so the results of connections take
 * precedence over its announcements. Otherwise the idle gate of a crashed target would attract calls: eight such hosts of 71 were offered
 * 300 calls a second, each of which used up an attempt of its request.
 */

/** Failure score at which the target counts as unreachable, and the score of a connection that timed out. */
const kUnreachableScore = 1;
const kTimeoutScore = 0.5;
/** Initial and maximum interval between probes of an unreachable target, in milliseconds. */
const kInitialProbeMs = 100;
const kMaxProbeMs = 1_000;
/** Interval between probes of a target that misses heartbeats, in milliseconds. */
const kMissedHeartbeatProbeMs = 1_000;
/** Number of intervals without a heartbeat after which the target misses heartbeats. */
const kMissedIntervals = 3;
/** Weight of the newest interval in the mean interval, and the lower bound of that mean, in milliseconds. */
const kIntervalWeight = 0.3;
const kMinIntervalMs = 500;

/** Result of a connection attempt, or a heartbeat of the target. */
export type ReachabilityEvidence = 'connected' | 'refused' | 'timed_out' | 'heartbeat';

/** Reachability of one incarnation of a target. Times are monotonic, in milliseconds. */
export class TargetReachability {
  private _reachable = true;
  private _failureScore = 0;
  private _nextProbeAt = -Infinity;
  private _probeIntervalMs = kInitialProbeMs;
  private _heartbeatAt: number | undefined;
  private _intervalMs: number | undefined;

  get reachable(): boolean {
    return this._reachable;
  }

  /** Records evidence; returns whether it changed {@link reachable}. */
  record(evidence: ReachabilityEvidence, now: number): boolean {
    const before = this._reachable;
    switch (evidence) {
      case 'connected':
        this._failureScore = 0;
        this._probeIntervalMs = kInitialProbeMs;
        this._reachable = true;
        break;
      case 'refused':
        this._addFailure(kUnreachableScore, now);
        break;
      case 'timed_out':
        this._addFailure(this._missesHeartbeats(now) ? kUnreachableScore : kTimeoutScore, now);
        break;
      case 'heartbeat':
        this._recordHeartbeat(now);
        break;
    }
    return this._reachable !== before;
  }

  /** Returns whether to probe the target now, and if so schedules the next probe. */
  takeProbe(now: number): boolean {
    if (now < this._nextProbeAt || (this._reachable && !this._missesHeartbeats(now))) {
      return false;
    }
    this._nextProbeAt = now + (this._reachable ? kMissedHeartbeatProbeMs : this._probeIntervalMs);
    this._probeIntervalMs = Math.min(kMaxProbeMs, this._probeIntervalMs * 2);
    return true;
  }

  private _addFailure(score: number, now: number): void {
    this._failureScore += score;
    if (this._reachable && this._failureScore >= kUnreachableScore) {
      this._reachable = false;
      this._probeIntervalMs = kInitialProbeMs;
      this._nextProbeAt = now + kInitialProbeMs;
    }
  }

  /** A heartbeat does not make the target reachable; it only triggers the next probe. */
  private _recordHeartbeat(now: number): void {
    if (this._heartbeatAt !== undefined) {
      const interval = now - this._heartbeatAt;
      this._intervalMs = this._intervalMs === undefined ? interval : this._intervalMs + (interval - this._intervalMs) * kIntervalWeight;
    }
    this._heartbeatAt = now;
    if (!this._reachable) {
      this._nextProbeAt = now;
    }
  }

  private _missesHeartbeats(now: number): boolean {
    if (this._heartbeatAt === undefined || this._intervalMs === undefined) {
      return false;
    }
    return now - this._heartbeatAt > kMissedIntervals * Math.max(kMinIntervalMs, this._intervalMs);
  }
}
