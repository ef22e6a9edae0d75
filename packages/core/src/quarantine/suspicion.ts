/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * The crashes during which requests with one fingerprint were in flight, with flags for those that are cleared or released. Daemons
 * receive updates in any order and repeatedly, so merging is a union: flags are only ever set, and each crashed incarnation counts once.
 */

import type { SuspectRun } from './suspectRuns.js';

/** A target crash during which a request with the fingerprint was in flight there. */
export interface CrashMark {
  /** Identifies the incarnation that crashed. */
  crash: number;
  /** Time of the crash, in milliseconds of the wall clock of the host where it happened. */
  at: number;
  /** The request was running as a probe, so it most likely caused the crash. */
  tested: boolean;
  /** A request with the fingerprint completed on some host later. */
  cleared: boolean;
  /** Released from quarantine: by an operator, or because a request completed while the fingerprint was quarantined. */
  released: boolean;
}

/** Crashes that requests with one fingerprint may have caused. */
export interface Suspicion {
  fingerprint: string;
  /** Hash of the request without its body's content, for a cheap first look-up. */
  screen: number;
  /** Route of the first request seen; informational. */
  route: string;
  marks: readonly CrashMark[];
  /** Runs that may be in flight. Exchanged with the marks, but kept apart from them, as they expire. */
  runs?: readonly SuspectRun[] | undefined;
}

/** How the next request with a fingerprint is treated. */
export type Verdict =
  /** It runs without restrictions. */
  | 'clear'
  /** It runs while no other request with the fingerprint runs on the target. */
  | 'suspect'
  /** It runs as a probe: in addition, no other probe runs on the target. */
  | 'trial'
  /** It does not run. */
  | 'quarantined';

/** Number of crashes at which a fingerprint is quarantined. */
export const kMaxCrashes = 3;
/** Number of crashes at which requests with a fingerprint run as probes, so that a further crash identifies its cause. */
const kProbeCrashes = 2;
/** Number of crashes during probes at which a fingerprint is quarantined; a single one may be a coincidence. */
const kMaxProbedCrashes = 2;
/** Maximum number of marks per suspicion. The latest crashes are kept, so all daemons keep the same marks regardless of arrival order. */
export const kMaxMarks = 8;

/** Number of crashes that still count: a release clears any of them, a completed request only those outside a probe. */
export function crashesOf({ marks }: Pick<Suspicion, 'marks'>): number {
  return marks.filter(countsAsCrash).length;
}

/** Whether a target crashed while it ran a probe, and the mark has not been released. */
export function isConfirmed({ marks }: Pick<Suspicion, 'marks'>): boolean {
  return marks.some((mark) => mark.tested && !mark.released);
}

/** The verdict that follows from the marks alone, regardless of their age. */
export function verdictOf(suspicion: Pick<Suspicion, 'marks'>): Verdict {
  const { marks } = suspicion;
  const crashes = crashesOf(suspicion);
  const probedCrashes = marks.filter((mark) => mark.tested && !mark.released).length;
  if (probedCrashes >= kMaxProbedCrashes || crashes >= kMaxCrashes) {
    return 'quarantined';
  }
  if (crashes >= kProbeCrashes) {
    return 'trial';
  }
  // A fingerprint that has completed before is most likely a common request that is often in flight when a target crashes.
  return crashes === 0 || marks.some(({ cleared }) => cleared) ? 'clear' : 'suspect';
}

/** Returns the union of two sets of marks; undefined when `received` adds nothing. */
export function mergeMarks(known: readonly CrashMark[], received: readonly CrashMark[]): CrashMark[] | undefined {
  const knownById = new Map(known.map((mark) => [mark.crash, mark]));
  const mergedById = new Map(knownById);
  for (const mark of received) {
    const existing = knownById.get(mark.crash);
    mergedById.set(mark.crash, existing ? mergeMark(existing, mark) : mark);
  }
  const marks = [...mergedById.values()].sort((a, b) => a.at - b.at || a.crash - b.crash).slice(-kMaxMarks);
  return marks.every((mark) => isSameMark(knownById.get(mark.crash), mark)) ? undefined : marks;
}

function countsAsCrash({ tested, cleared, released }: CrashMark): boolean {
  return !released && (tested || !cleared);
}

function mergeMark(a: CrashMark, b: CrashMark): CrashMark {
  return {
    crash: a.crash,
    at: Math.min(a.at, b.at),
    tested: a.tested || b.tested,
    cleared: a.cleared || b.cleared,
    released: a.released || b.released,
  };
}

function isSameMark(a: CrashMark | undefined, b: CrashMark): boolean {
  return a?.at === b.at && a.tested === b.tested && a.cleared === b.cleared && a.released === b.released;
}
