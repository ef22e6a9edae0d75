/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Faults by effect. The compiler requires an entry for every effect, and the tests require a cell for every fault of an effect. */

import type { EffectName } from '@gentiandrum/core';

/** A fault of one step. */
export type Fault =
  /** The effect was refused or never arrived, so nothing took effect. */
  | 'refused'
  | 'lost_before'
  /** It took effect, and its reply was lost. */
  | 'lost_after'
  /** It took effect twice. */
  | 'duplicate'
  /** Its reply arrived late, after subsequent events. */
  | 'late'
  /** Another claimant or operator acted first. */
  | 'rival'
  /** It returned data older than the known state. */
  | 'stale'
  /** The performing daemon was paused beyond every deadline. */
  | 'pause'
  /** The performing daemon crashed before or after the effect. */
  | 'crash_before'
  | 'crash_after'
  /** The remote daemon crashed after the effect arrived. */
  | 'peer_crash'
  /** The target failed, shed the call, or truncated its response. */
  | 'target_fails'
  | 'target_sheds'
  | 'truncated'
  /** The caller disconnected. */
  | 'caller_gone'
  /** Nothing arrived in time. */
  | 'timeout';

/** Faults of a daemon itself; possible at any step. */
const kDaemonFaults: readonly Fault[] = ['pause', 'crash_before', 'crash_after'];
const kRequestFaults: readonly Fault[] = [...kDaemonFaults, 'lost_before', 'lost_after', 'late'];
const kAppendFaults: readonly Fault[] = [...kRequestFaults, 'refused', 'duplicate', 'rival'];

/** Possible faults of each effect. */
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

/** A fault to inject at a step of a scenario. */
export interface Injection {
  step: number;
  fault: Fault;
}
