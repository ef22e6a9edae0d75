/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** What daemons tell each other, and the log, of the target on their host. */

import type { LearnedChains } from '../admission/learnedChains.js';
import type { Suspicion } from '../quarantine/suspicion.js';

/** Life of a target by its own announcements: `gone` is final for its instance, `unknown` holds until the target has spoken. */
export type TargetLifecycleState = 'ready' | 'draining' | 'gone' | 'unknown';

/** Intake of a target as other daemons should see it: `unreachable` while it takes no connections, whatever it announced. */
export type TargetIntakeState = TargetLifecycleState | 'unreachable';

/** The record of one host. Only the daemon on that host changes it. */
export interface TargetRecord {
  /** Name of the host. */
  host: string;
  zone: string;
  /** Address at which the host's daemon takes calls of other daemons. */
  peers: string;
  service: string;
  /** Id of the target; empty until it has spoken. */
  instance: string;
  /** Start of its incarnation, in milliseconds of the wall clock; 0 or absent when it doesn't say. */
  born?: number | undefined;
  state: TargetIntakeState;
  /** Calls that the target works on at once. */
  slots: number;
  /** Kept here for the time after a restart; absent until enough was seen. */
  learned?: LearnedChains | undefined;
  /** Kinds of requests that are held back since the target here ended by them: kept for a start of all daemons. */
  suspects?: readonly Suspicion[] | undefined;
  /** Start of the daemon that wrote the record, in milliseconds of the wall clock. */
  epoch: number;
  /** Number of the change within the epoch. */
  revision: number;
}

/** What orders the records of one host. */
export type RecordVersion = Pick<TargetRecord, 'epoch' | 'revision'>;

/** Whether two records are of the same incarnation of a target. */
export function isSameIncarnation(a: Pick<TargetRecord, 'instance' | 'born'>, b: Pick<TargetRecord, 'instance' | 'born'>): boolean {
  return a.instance === b.instance && (a.born ?? 0) === (b.born ?? 0);
}

/** Whether `a` is a later word of its host than `b`. */
export function isNewerRecord(a: RecordVersion, b: RecordVersion): boolean {
  return a.epoch !== b.epoch ? a.epoch > b.epoch : a.revision > b.revision;
}
