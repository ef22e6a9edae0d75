/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Record of the target on one host, which daemons exchange and store in the platform's log. */

import type { LearnedChains } from '../admission/learnedChains.js';
import type { Suspicion } from '../quarantine/suspicion.js';

/** Lifecycle state that a target announces. `gone` is final for its incarnation; `unknown` applies until its first announcement. */
export type TargetLifecycleState = 'ready' | 'draining' | 'gone' | 'unknown';

/** State of a target for other daemons: `unreachable` while it accepts no connections, regardless of its announcements. */
export type TargetRecordState = TargetLifecycleState | 'unreachable';

/** The record of one host. Only the daemon on that host changes it. */
export interface TargetRecord {
  host: string;
  zone: string;
  /** Address at which the host's daemon accepts connections from other daemons. */
  peers: string;
  service: string;
  /** Id of the target; empty until its first announcement. */
  instance: string;
  /** Start of its incarnation, in milliseconds of the wall clock; 0 or undefined if the target does not report it. */
  born?: number | undefined;
  state: TargetRecordState;
  /** Number of calls that the target runs concurrently. */
  slots: number;
  /** Rate limit that the target states, in requests per second; undefined without one. */
  rateLimit?: number | undefined;
  /** Learned call chains of the target's routes, kept across restarts; undefined until enough calls were observed. */
  learned?: LearnedChains | undefined;
  /** Quarantined request fingerprints that crashed this target, kept for a restart of all daemons. */
  suspects?: readonly Suspicion[] | undefined;
  /** Start of the daemon that wrote the record, in milliseconds of the wall clock. */
  epoch: number;
  /** Increases with each change within the epoch. */
  revision: number;
}

/** Fields that order the records of one host. */
export type RecordVersion = Pick<TargetRecord, 'epoch' | 'revision'>;

export function isSameIncarnation(a: Pick<TargetRecord, 'instance' | 'born'>, b: Pick<TargetRecord, 'instance' | 'born'>): boolean {
  return a.instance === b.instance && (a.born ?? 0) === (b.born ?? 0);
}

/** Whether `a` is a newer record of the same host than `b`. */
export function isNewerRecord(a: RecordVersion, b: RecordVersion): boolean {
  return a.epoch !== b.epoch ? a.epoch > b.epoch : a.revision > b.revision;
}

/** Fields that only change with the version of a record. */
const kVersionedFields = ['zone', 'peers', 'service', 'instance', 'state', 'slots'] as const satisfies (keyof TargetRecord)[];

/**
 * Whether a record in the log was not written by the daemon of its host, as it has the version of the known record but differs from it. A
 * known record may have been marked as gone by this daemon alone, so that it does not prove anything.
 */
export function isContradiction(known: TargetRecord, logged: TargetRecord): boolean {
  const isSameVersion = known.epoch === logged.epoch && known.revision === logged.revision;
  return isSameVersion && known.state !== 'gone' && kVersionedFields.some((field) => known[field] !== logged[field]);
}
