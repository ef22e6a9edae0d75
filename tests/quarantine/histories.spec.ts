/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Seeded histories of a fleet with requests that end their targets, among innocent ones and a lookup that many share. The same load is
 * also played with nothing held back, to show that the histories have such requests in them.
 */

import { type Random, seededRandom } from '@gentiandrum/core';
import { describe, itAlone } from '../support/describe.js';
import { type Kind, QuarantineFleet } from './quarantineFleet.js';

const kHosts = 8;
const kHistoryMs = 10_000;
const kInnocentEveryMs = 8;
const kSharedShare = 0.25;
const kMaxEnds = 3;
const kMaxNotServed = 0.02;
const kNoticedMs = 12;

interface History {
  /** Mean time between two requests of each lethal kind, in milliseconds, one for each kind. */
  lethalEveryMs?: number[];
  idempotent?: boolean;
  /** Mean time between ends of targets by themselves. */
  endsEveryMs?: number;
  restartsEveryMs?: number;
  cut?: { from: number; until: number };
}

interface Result {
  /** Ends by each lethal kind, and how many of its requests had begun before the first of them was known. */
  lethal: { ends: number; early: number }[];
  held: number;
  innocent: number;
  notServed: number;
  ends: number;
}

function kindOf(path: string, runMs: number, lethal = false, idempotent = true): Kind {
  return { identity: { method: 'GET', host: 'app.example', path, body: new Uint8Array() }, lethal, idempotent, runMs };
}

/** Calls `run` at random times of a given mean pause. */
function repeatedly(fleet: QuarantineFleet, random: Random, everyMs: number, run: () => void): void {
  const next = (): void => {
    fleet.time.after(-Math.log(1 - random()) * everyMs, () => {
      if (fleet.time.now < kHistoryMs) {
        run();
        next();
      }
    });
  };
  next();
}

function play(seed: number, { lethalEveryMs = [], idempotent = true, endsEveryMs, restartsEveryMs, cut }: History): Result {
  const random = seededRandom(seed);
  const fleet = new QuarantineFleet(kHosts, random);
  try {
    const shared = kindOf('/s/shared', 15);
    const lethal = lethalEveryMs.map((_, i) => kindOf(`/s/lethal/${i}`, 0, true, idempotent));
    let item = 0;
    repeatedly(fleet, random, kInnocentEveryMs, () => {
      const kind = random() < kSharedShare ? shared : kindOf(`/s/items/${item++}`, 5 + random() * 60);
      fleet.request(fleet.anyHost(), kind);
    });
    lethal.forEach((kind, i) => {
      repeatedly(fleet, random, lethalEveryMs[i] ?? Infinity, () => {
        fleet.request(fleet.anyHost(), kind);
      });
    });
    if (endsEveryMs !== undefined) {
      repeatedly(fleet, random, endsEveryMs, () => {
        fleet.end(fleet.anyHost(), undefined);
      });
    }
    if (restartsEveryMs !== undefined) {
      repeatedly(fleet, random, restartsEveryMs, () => {
        fleet.anyHost().restart();
      });
    }
    if (cut) {
      fleet.time.after(cut.from, () => {
        fleet.cut = true;
      });
      fleet.time.after(cut.until, () => {
        fleet.cut = false;
        fleet.hosts.forEach((host) => {
          fleet.relink(host);
        });
      });
    }
    fleet.time.runUntil(kHistoryMs + 5_000);
    const innocent = fleet.outcomes.filter(({ kind }) => !kind.lethal);
    return {
      lethal: lethal.map((kind) => {
        const ends = fleet.ends.filter((end) => end.kind === kind);
        const known = (ends[0]?.at ?? Infinity) + kNoticedMs;
        return { ends: ends.length, early: fleet.lethalStarts.filter((start) => start.kind === kind && start.at <= known).length };
      }),
      held: fleet.held.size,
      innocent: innocent.length,
      notServed: innocent.filter(({ end }) => end === 'unfinished' || end.kind !== 'answered').length,
      ends: fleet.ends.length,
    };
  } finally {
    fleet.close();
  }
}

function seeds(count: number): number[] {
  return Array.from({ length: count }, (_, i) => i + 1);
}

/** Requests that have begun before the first end is known can't be called back; the one tried after that ends one more. */
function allowedEnds(early: number): number {
  return Math.max(kMaxEnds, early + 1);
}

describe('requests that end their targets, in seeded histories', () => {
  itAlone('should end three targets at most, however fast they come, and cost innocent ones next to nothing', (t) => {
    let histories = 0;
    for (const everyMs of [30, 300, 1_600]) {
      for (const seed of seeds(60)) {
        const { lethal, innocent, notServed } = play(seed, { lethalEveryMs: [everyMs], restartsEveryMs: 4_000 });
        const told = `seed ${seed}, every ${everyMs} ms: ${JSON.stringify({ lethal, innocent, notServed })}`;
        t.true(
          lethal.every(({ ends, early }) => ends <= allowedEnds(early)),
          told,
        );
        t.true(notServed <= innocent * kMaxNotServed, told);
        histories++;
      }
    }
    t.is(histories, 180);
  });

  itAlone('should end three targets a kind at most when several kinds come, repeatable or not', (t) => {
    for (const idempotent of [true, false]) {
      for (const seed of seeds(60)) {
        const { lethal } = play(seed, { lethalEveryMs: [450, 450], idempotent });
        const told = `seed ${seed}: ${JSON.stringify(lethal)}`;
        t.true(
          lethal.every(({ ends, early }) => ends <= allowedEnds(early)),
          told,
        );
      }
    }
  });

  itAlone('should end three targets at most on each side of a cut, and none after it for what one side knew', (t) => {
    for (const seed of seeds(80)) {
      const { lethal } = play(seed, { lethalEveryMs: [300], cut: { from: 20 + seed * 40, until: 6_000 + seed * 20 } });
      const told = `seed ${seed}: ${JSON.stringify(lethal)}`;
      t.true(
        lethal.every(({ ends, early }) => ends <= 2 * allowedEnds(early)),
        told,
      );
    }
  });
});

describe('targets that end by themselves, in seeded histories', () => {
  itAlone('should get no request held back', (t) => {
    let ends = 0;
    let innocent = 0;
    let notServed = 0;
    for (const seed of seeds(200)) {
      const result = play(seed, { endsEveryMs: 550 });
      t.is(result.held, 0, `seed ${seed}: ${JSON.stringify(result)}`);
      ends += result.ends;
      innocent += result.innocent;
      notServed += result.notServed;
    }
    t.true(ends > 2_000);
    t.true(notServed <= innocent * kMaxNotServed, JSON.stringify({ innocent, notServed }));
  });

  itAlone('should get no request held back beside one that is rightly held', (t) => {
    for (const seed of seeds(60)) {
      const { held } = play(seed, { endsEveryMs: 1_500, lethalEveryMs: [400] });
      t.true(held <= 1, `seed ${seed}: ${held} kinds held back`);
    }
  });
});
