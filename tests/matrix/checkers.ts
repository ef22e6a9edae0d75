/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Checkers of the eight guarantees, run after each cell. */

import { bodyText } from './matrixDaemon.js';
import type { Journal } from './journal.js';
import type { ConfigFold } from '@gentiandrum/core';

/** State at the end of a cell, after all events. */
export interface FinalState {
  journal: Journal;
  /** Configuration of each live daemon after it has read the log to its end. */
  folds: Map<string, ConfigFold>;
}

/** Returns a description of each violation. */
export function violations({ journal, folds }: FinalState): string[] {
  return [
    ...retriesBounded(journal),
    ...importantShedLast(journal),
    ...completeResponses(journal),
    ...notRunIsCorrect(journal),
    ...atMostOnce(journal),
    ...closedGateStartsNothing(journal),
    ...gracefulShutdownsInterruptNothing(journal),
    ...configurationIsConsistent(journal, folds),
  ];
}

function retriesBounded({ tries, retries }: Journal): string[] {
  return tries
    .filter(({ request, allowance }) => (retries.get(request) ?? 0) > allowance)
    .map(({ request, allowance }) => `1 retries bounded: ${request} used ${retries.get(request) ?? 0} retries of ${allowance}`);
}

function importantShedLast({ shed, started }: Journal): string[] {
  return shed.flatMap(({ host, rank, at, order }) =>
    started
      .filter((start) => start.host === host && start.at === at && start.order > order && start.rank > rank)
      .map((start) => `2 important shed last: ${host} shed rank ${rank} and then started rank ${start.rank}`),
  );
}

function completeResponses({ tries }: Journal): string[] {
  return tries.flatMap(({ request, served, body }) =>
    served?.kind === 'answer' && served.answer.status === 200 && bodyText(served.answer) !== `answer to ${body}`
      ? [`3 complete responses: ${request} with body ${body} got "${bodyText(served.answer)}"`]
      : [],
  );
}

function notRunIsCorrect({ tries, runs }: Journal): string[] {
  return tries.flatMap(({ request, served, key }) => {
    if (served?.kind !== 'error' || served.outcome !== 'not_run') {
      return [];
    }
    const keyInScope = served.thisTryOnly !== true && served.error !== 'key_mismatch' ? key : undefined;
    const ran = runs.some(
      (run) =>
        run.request === request || (keyInScope !== undefined && run.onceKey === keyInScope && isSameOrEarlier(tries, request, run.request)),
    );
    return ran ? [`4 not run: ${request} received ${served.error} with outcome not_run, but ran`] : [];
  });
}

/** Whether `other` is the same try as `request` or an earlier one. */
function isSameOrEarlier(tries: Journal['tries'], request: string, other: string): boolean {
  const index = (id: string): number => tries.findIndex((attempt) => attempt.request === id);
  return index(other) >= 0 && index(other) <= index(request);
}

function atMostOnce({ runs }: Journal): string[] {
  const counts = new Map<string, number>();
  for (const { onceKey } of runs.filter((run) => !run.idempotent)) {
    counts.set(onceKey, (counts.get(onceKey) ?? 0) + 1);
  }
  return [...counts].filter(([, count]) => count > 1).map(([onceKey, count]) => `5 at most once: ${onceKey} ran ${count} times`);
}

function closedGateStartsNothing({ runs, closed }: Journal): string[] {
  return runs
    .filter(({ host, at }) => at > (closed.get(host) ?? Infinity))
    .map(({ host, request }) => `6 closed gate starts nothing: ${host} started ${request} after it closed`);
}

function gracefulShutdownsInterruptNothing({ stops, runs }: Journal): string[] {
  return stops.flatMap(({ host, cut }) => {
    const interrupted = runs.filter((run) => run.host === host && run.cut);
    return cut > 0 || interrupted.length > 0 ? [`7 graceful shutdown: ${host} interrupted ${cut + interrupted.length} calls`] : [];
  });
}

function configurationIsConsistent({ versions, submitted }: Journal, folds: Map<string, ConfigFold>): string[] {
  const descriptions: string[] = [];
  for (const [daemon, heldVersions] of versions) {
    if (heldVersions.some((version, i) => i > 0 && version < (heldVersions[i - 1] ?? 0))) {
      descriptions.push(`8 configuration: ${daemon} returned to an earlier version: ${heldVersions.join(' ')}`);
    }
  }
  const texts = new Set([...folds.values()].map((fold) => JSON.stringify([fold.version, fold.written])));
  if (texts.size > 1) {
    descriptions.push(`8 configuration: daemons differ at the same offset: ${[...texts].join(' / ')}`);
  }
  for (const { patchId, kind, version } of submitted) {
    for (const [daemon, fold] of folds) {
      const verdict = fold.verdict(patchId);
      if (kind === 'accepted' && (verdict?.kind !== 'accepted' || verdict.version !== version)) {
        descriptions.push(
          `8 configuration: ${patchId} was reported as accepted as version ${version ?? 0}, but ${daemon} has ${JSON.stringify(verdict)}`,
        );
      }
      if ((kind === 'conflict' || kind === 'invalid') && verdict?.kind === 'accepted') {
        descriptions.push(`8 configuration: ${patchId} was reported as ${kind}, but was accepted`);
      }
    }
  }
  return descriptions;
}
