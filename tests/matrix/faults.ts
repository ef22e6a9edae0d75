/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** The faults that each kind of effect admits. A kind without a row here does not compile; a step without a cell fails the run. */

import type { EffectName } from '@gentiandrum/core';

/** A fault of one step. */
export type Fault =
  /** The effect was refused, or never arrived: nothing took effect. */
  | 'refused'
  | 'lost_before'
  /** It took effect, and its reply was lost. */
  | 'lost_after'
  /** It took effect twice. */
  | 'duplicate'
  /** Its reply came late, behind what followed. */
  | 'late'
  /** Another claimant or operator got in just before. */
  | 'rival'
  /** What it reads is older than what is known. */
  | 'stale'
  /** The daemon that performs it was paused past every deadline. */
  | 'pause'
  /** The daemon that performs it died before the effect, or after it. */
  | 'crash_before'
  | 'crash_after'
  /** The daemon at the other end died after the effect arrived. */
  | 'peer_crash'
  /** The target failed, shed, or cut its answer. */
  | 'target_fails'
  | 'target_sheds'
  | 'truncated'
  /** The caller hung up. */
  | 'caller_gone'
  /** Nothing came in time. */
  | 'timeout';

/** Faults of a daemon itself; they can strike at any step. */
const kDaemonFaults: readonly Fault[] = ['pause', 'crash_before', 'crash_after'];
const kRequestFaults: readonly Fault[] = [...kDaemonFaults, 'lost_before', 'lost_after', 'late'];
const kAppendFaults: readonly Fault[] = [...kRequestFaults, 'refused', 'duplicate', 'rival'];

/** Effect → faults. */
export const kFaults: Record<EffectName, readonly Fault[]> = {
  offer: [...kRequestFaults, 'refused', 'duplicate', 'peer_crash'],
  awaitEvent: [...kDaemonFaults, 'caller_gone', 'timeout'],
  cancel: kRequestFaults,
  appendClaim: kAppendFaults,
  readClaims: [...kDaemonFaults, 'refused', 'late'],
  relayClaim: [...kRequestFaults, 'refused', 'rival', 'peer_crash'],
  settleKey: [...kRequestFaults, 'rival', 'peer_crash'],
  fetchAnswer: [...kRequestFaults, 'peer_crash'],
  joinRunning: [...kDaemonFaults, 'timeout'],
  awaitAdmission: kDaemonFaults,
  forward: [...kDaemonFaults, 'lost_before', 'lost_after', 'late', 'target_fails', 'target_sheds', 'truncated', 'timeout'],
  appendPatch: kAppendFaults,
  readConfig: [...kDaemonFaults, 'refused', 'late'],
  readSnapshots: [...kDaemonFaults, 'refused', 'stale'],
  appendSnapshot: [...kDaemonFaults, 'lost_before', 'lost_after', 'late', 'refused', 'duplicate'],
  queryPeers: [...kDaemonFaults, 'lost_before', 'stale'],
  appendMember: [...kDaemonFaults, 'lost_before', 'lost_after', 'refused', 'duplicate'],
  notifyPeers: [...kDaemonFaults, 'lost_before'],
  sleep: kDaemonFaults,
  awaitIdle: [...kDaemonFaults, 'timeout'],
  awaitSenders: [...kDaemonFaults, 'timeout'],
};

/** A fault at a step of a scenario. */
export interface Injection {
  step: number;
  fault: Fault;
}
