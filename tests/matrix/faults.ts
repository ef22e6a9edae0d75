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
const kAnywhere: readonly Fault[] = ['pause', 'crash_before', 'crash_after'];
const kRequest: readonly Fault[] = [...kAnywhere, 'lost_before', 'lost_after', 'late'];
const kAppend: readonly Fault[] = [...kRequest, 'refused', 'duplicate', 'rival'];

/** Effect → faults. */
export const kFaults: Record<EffectName, readonly Fault[]> = {
  offer: [...kRequest, 'refused', 'duplicate', 'peer_crash'],
  awaitEvent: [...kAnywhere, 'caller_gone', 'timeout'],
  cancel: kRequest,
  appendClaim: kAppend,
  readClaims: [...kAnywhere, 'refused', 'late'],
  relayClaim: [...kRequest, 'refused', 'rival', 'peer_crash'],
  settleKey: [...kRequest, 'rival', 'peer_crash'],
  fetchAnswer: [...kRequest, 'peer_crash'],
  joinRunning: [...kAnywhere, 'timeout'],
  awaitAdmission: kAnywhere,
  forward: [...kAnywhere, 'lost_before', 'lost_after', 'late', 'target_fails', 'target_sheds', 'truncated', 'timeout'],
  appendPatch: kAppend,
  readConfig: [...kAnywhere, 'refused', 'late'],
  readSnapshots: [...kAnywhere, 'refused', 'stale'],
  appendSnapshot: [...kAnywhere, 'lost_before', 'lost_after', 'late', 'refused', 'duplicate'],
  queryPeers: [...kAnywhere, 'lost_before', 'stale'],
  appendMember: [...kAnywhere, 'lost_before', 'lost_after', 'refused', 'duplicate'],
  notifyPeers: [...kAnywhere, 'lost_before'],
  sleep: kAnywhere,
  awaitIdle: [...kAnywhere, 'timeout'],
  awaitSenders: [...kAnywhere, 'timeout'],
};

/** A fault at a step of a scenario. */
export interface Injection {
  step: number;
  fault: Fault;
}
