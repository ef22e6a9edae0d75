/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * What is held against one kind of request: the ends of targets during which it ran, and what speaks for it since. Daemons learn of
 * these in any order, late and repeatedly, so a suspicion only grows: merging is a union, and each end counts once, by the
 * incarnation that ended.
 */

/** One end of a target during which the kind ran there. */
export interface CrashMark {
  /** Names the incarnation that ended. */
  crash: number;
  /** When, in milliseconds of the wall clock of the host where it ended. */
  at: number;
  /** No other suspect ran beside it, and the daemon knew of two ends before. */
  tested: boolean;
  /** The kind ran to its end somewhere later. */
  cleared: boolean;
  /** The kind may run again: an operator said so, or it ran to its end after it had been held back. */
  released: boolean;
}

/** All that is held against one kind. */
export interface Suspicion {
  /** Name of the kind. */
  fingerprint: string;
  /** Hash by which its requests are found without a look at their bodies. */
  screen: number;
  /** Route of the request that was seen first, for people. */
  route: string;
  marks: readonly CrashMark[];
}

/** What follows for the next request of a kind. */
export type Verdict =
  /** Nothing. */
  | 'clear'
  /** It runs while no other of its kind does. */
  | 'suspect'
  /** The same, and no other suspect on trial runs beside it. */
  | 'trial'
  /** It does not run. */
  | 'quarantined';

/** Ends that one kind may cause before it is held back. */
export const kMaxCrashes = 3;
/** Ends from which on a kind is tried apart from other suspects, so that the next end names the one that caused it. */
const kProbeCrashes = 2;
/** Tested ends that outweigh all that speaks for a kind: one may be chance. */
const kMaxProbedCrashes = 2;
/** Ends that one suspicion tells of, the latest ones: more say nothing more. All daemons keep the same ones, whatever they heard first. */
const kMaxMarks = 8;

/** The ends that still count against a kind. */
export function crashesOf({ marks }: Pick<Suspicion, 'marks'>): number {
  return marks.filter(countsAsCrash).length;
}

/** Whether an end was seen while the kind was on trial: no other can have caused it but by chance. */
export function isConfirmed({ marks }: Pick<Suspicion, 'marks'>): boolean {
  return marks.some((mark) => mark.tested && !mark.released);
}

/** What follows from a suspicion alone, however long ago. */
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
  // A kind that has run to its end before is most likely one that many share, and that is under way whenever a target ends.
  return crashes === 0 || marks.some(({ cleared }) => cleared) ? 'clear' : 'suspect';
}

/** Joins what two daemons know; `undefined` when the second adds nothing. */
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
