/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Whether the target of this host takes connections. A target that crashes announces nothing, and its last heartbeat may still be
 * under way, so connections decide: one that is refused outweighs whatever was announced, and one that comes about ends the doubt.
 *
 * Without this an empty gate in front of a dead target looks like the best choice of all: eight such hosts of 71 were offered 300
 * calls a second for the rest of a day, each of which used up one of its request's attempts.
 */

/** Doubt from which on the target counts as unreachable, and what a connection that did not come about in time adds to it. */
const kUnreachableScore = 1;
const kTimeoutScore = 0.5;
/** First and longest pause between two probes of an unreachable target, in milliseconds: one that is back is used within a second. */
const kInitialProbeMs = 100;
const kMaxProbeMs = 1_000;
/** Pause between two probes of a target whose heartbeats stay away, in milliseconds. */
const kMissedHeartbeatProbeMs = 1_000;
/** Intervals without a heartbeat after which one is missed: heartbeats may be late by about one. */
const kMissedIntervals = 3;
/** Weight of the newest interval in the mean, and the shortest mean that counts, in milliseconds. */
const kIntervalWeight = 0.3;
const kMinIntervalMs = 500;

/** What was seen of the target: a connection that came about, was refused, or did not come about in time; or its heartbeat. */
export type ReachabilityEvidence = 'connected' | 'refused' | 'timed_out' | 'heartbeat';

/** Follows one incarnation of a target. Times are on the monotonic clock, in milliseconds. */
export class TargetReachability {
  private _reachable = true;
  private _failureScore = 0;
  private _nextProbeAt = -Infinity;
  private _probeIntervalMs = kInitialProbeMs;
  private _heartbeatAt: number | undefined;
  private _intervalMs: number | undefined;

  /** Whether the target takes connections, as far as is known. */
  get reachable(): boolean {
    return this._reachable;
  }

  /** Takes what was seen; true when it changed {@link reachable}. */
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

  /** Whether a connection should be tried now to find out; counts as tried when it says so. */
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

  /** A heartbeat does not make the target reachable, it only makes a probe worth its while. */
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
