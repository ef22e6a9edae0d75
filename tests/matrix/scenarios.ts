/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Scenarios of the matrix, which run procedures of the core alone and concurrently with others. */

import { coldStart, type NamedClass, gracefulShutdown, refreshSnapshot, submitPatch } from '@gentiandrum/core';
import { kConfigStream, type PatchRecord } from '@gentiandrum/protocol';
import { digest } from './matrixLog.js';
import { MatrixWorld } from './matrixWorld.js';
import type { Request } from './request.js';
import type { Injection } from './faults.js';
import type { MatrixDaemon } from './matrixDaemon.js';

export interface Scenario {
  name: string;
  services: Record<string, string[]>;
  relay?: string;
  play: (world: MatrixWorld) => void;
}

const kServices = { alpha: ['a'], beta: ['b', 'c'] };
const kRetryDelayMs = 100;
const kStopDelayMs = 3;
/** Shorter than the target's processing time, so that a competing attempt starts. */
const kCompetingTimeoutMs = 3;

const kReadClass: NamedClass = {
  name: 'read',
  service: 'beta',
  methods: [],
  path: '/**',
  importance: 'normal',
  idempotent: true,
  deadlineMs: 1_000,
  retries: 2,
};
const kHoldClass: NamedClass = { ...kReadClass, name: 'hold', idempotent: false, retries: 0 };
const kHold: Request = { cls: kHoldClass, body: 'hold', key: 'key-1' };
const kRead: Request = { cls: kReadClass, body: 'read' };

/** Sends a request to each of the daemons in turn, the next one after the previous result and a delay. */
function sendAndRepeat(world: MatrixWorld, daemonIds: string[], req: Request): void {
  const [at, ...others] = daemonIds;
  if (at === undefined) {
    return;
  }
  world.send(at, req, () => {
    world.time.after(kRetryDelayMs, () => {
      sendAndRepeat(world, others, req);
    });
  });
}

function patch(patchId: string, base: number, change: Record<string, unknown>): PatchRecord {
  return { patchId, base, author: patchId, patch: change };
}

/** Submits a patch, and retries with the same id while the result is unavailable or unsettled. */
function submit(world: MatrixWorld, daemon: MatrixDaemon, record: PatchRecord, tries = 3): void {
  world.run(daemon, submitPatch(record, daemon.fold), (result) => {
    if ((result.kind === 'unsettled' || result.kind === 'unavailable') && tries > 1) {
      world.time.after(kRetryDelayMs, () => {
        submit(world, daemon, record, tries - 1);
      });
      return;
    }
    world.journal.submitted.push({
      patchId: record.patchId,
      kind: result.kind,
      version: result.kind === 'accepted' ? result.version : undefined,
    });
  });
}

function stop(world: MatrixWorld, daemon: MatrixDaemon): void {
  const close = (): void => {
    daemon.stopping = true;
    daemon.gate.close('stopping');
    world.journal.closed.set(daemon.options.id, Math.min(world.journal.closed.get(daemon.options.id) ?? Infinity, world.time.now));
  };
  const ctx = { announceLeaving: close, closeGate: close, announceLeft: () => undefined, limitMs: 0 };
  world.run(daemon, gracefulShutdown(ctx), ({ cut }) => {
    world.journal.stops.push({ host: daemon.options.id, cut });
  });
}

function startCold(world: MatrixWorld, id: string): void {
  const daemon = world.daemon(id);
  world.run(daemon, coldStart(daemon.fold, 3), () => undefined);
}

export const kScenarios: Scenario[] = [
  {
    name: 'read',
    services: kServices,
    play: (world) => {
      sendAndRepeat(world, ['a', 'a'], kRead);
    },
  },
  {
    name: 'read with a competing attempt',
    services: kServices,
    play: (world) => {
      sendAndRepeat(world, ['a'], { ...kRead, cls: { ...kReadClass, attemptTimeoutMs: kCompetingTimeoutMs } });
    },
  },
  {
    name: 'hold without key',
    services: kServices,
    play: (world) => {
      world.send('a', { cls: kHoldClass, body: 'hold' });
    },
  },
  {
    name: 'hold under an own key',
    services: kServices,
    play: (world) => {
      sendAndRepeat(world, ['a', 'c', 'a'], kHold);
    },
  },
  {
    name: 'two callers with one key',
    services: kServices,
    play: (world) => {
      sendAndRepeat(world, ['a', 'b'], kHold);
      sendAndRepeat(world, ['c', 'a'], kHold);
    },
  },
  {
    name: 'a repeat that joins at the same daemon',
    services: kServices,
    play: (world) => {
      sendAndRepeat(world, ['a', 'b'], kHold);
      sendAndRepeat(world, ['a', 'c'], kHold);
    },
  },
  {
    name: 'hold by a relay',
    services: { ...kServices, gamma: ['d'] },
    relay: 'd',
    play: (world) => {
      sendAndRepeat(world, ['a', 'c', 'a'], kHold);
    },
  },
  {
    name: 'hold under a minted key',
    services: kServices,
    play: (world) => {
      world.daemon('a').settler.openNamespace('ns');
      sendAndRepeat(world, ['b', 'a', 'b'], { ...kHold, key: 'ns/1', minted: { owner: 'a', namespace: 'ns' } });
    },
  },
  {
    name: 'chain of reads',
    services: kServices,
    play: (world) => {
      sendAndRepeat(world, ['b'], { cls: { ...kReadClass, name: 'outer', service: 'alpha' }, body: 'outer', onward: [kRead] });
    },
  },
  {
    name: 'fan-out of failing reads',
    services: kServices,
    play: (world) => {
      const failing = ['one', 'two'].map((body) => ({ cls: kReadClass, body, fails: true }));
      sendAndRepeat(world, ['b'], { cls: { ...kReadClass, name: 'outer', service: 'alpha' }, body: 'outer', onward: failing });
    },
  },
  {
    name: 'hold inside a chain',
    services: { alpha: ['a', 'd'], beta: ['b', 'c'] },
    play: (world) => {
      sendAndRepeat(world, ['b'], {
        cls: { ...kReadClass, name: 'outer', service: 'alpha' },
        body: 'outer',
        onward: [{ cls: kHoldClass, body: 'inner' }],
      });
    },
  },
  {
    name: 'three calls for one slot',
    services: { alpha: ['a'], beta: ['b'] },
    play: (world) => {
      [3, 2, 0].forEach((importance) => {
        world.send('a', { ...kRead, importance, body: `read-${importance}` });
      });
    },
  },
  {
    name: 'planned stop with calls running and waiting',
    services: kServices,
    play: (world) => {
      for (let i = 0; i < 3; i++) {
        world.send('a', { ...kRead, body: `read-${i}` });
      }
      world.time.after(kStopDelayMs, () => {
        stop(world, world.daemon('b'));
      });
    },
  },
  {
    name: 'racing patches',
    services: kServices,
    play: (world) => {
      submit(world, world.daemon('a'), patch('patch-of-a', 0, { retryRatio: 0.2 }));
      submit(world, world.daemon('b'), patch('patch-of-b', 0, { retryRatio: 0.3 }));
    },
  },
  {
    name: 'cold start beside a patch and snapshots',
    services: kServices,
    play: (world) => {
      const log = world.log.stream(kConfigStream);
      log.push(patch('patch-one', 0, { retryRatio: 0.2 }));
      const early = world.daemon('b');
      early.fold.apply(0, log[0]);
      world.log.stream('gentiandrum.snapshots').push(early.fold.snapshot(digest));
      log.push(patch('patch-two', 1, { retryRatio: 0.3 }));
      startCold(world, 'a');
      world.run(early, refreshSnapshot(), () => undefined);
      submit(world, world.daemon('c'), patch('patch-three', 2, { retryRatio: 0.4 }));
    },
  },
];

/** A completed run of a scenario with given faults. */
export interface Cell {
  world: MatrixWorld;
  folds: ReturnType<MatrixWorld['settle']>;
}

const kSettleMs = 60_000;

/** Runs a scenario with injected faults. */
export function play(scenario: Scenario, injections: readonly Injection[]): Cell {
  const world = new MatrixWorld(injections, scenario.services, scenario.relay);
  try {
    scenario.play(world);
    return { world, folds: world.settle(kSettleMs) };
  } catch (err) {
    world.time.restore();
    throw err;
  }
}
