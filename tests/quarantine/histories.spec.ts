/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Seeded histories of a fleet that serves requests which crash their targets among harmless ones. Guards against more crashes per
 * fingerprint than allowed, and against the quarantine of harmless requests.
 */

import { type Random, seededRandom } from '@gentiandrum/core';
import { describe, itSerial } from '../support/describe.js';
import { type FleetTiming, type RequestType, QuarantineFleet } from './quarantineFleet.js';

const kHosts = 8;
const kHistoryMs = 10_000;
const kHarmlessEveryMs = 8;
const kSharedShare = 0.25;
const kMaxCrashes = 3;
const kMaxNotServed = 0.02;
const kDetectionMs = 12;
/** Run of a lethal request in the histories in which crashed targets return within one run of each other, in milliseconds. */
const kRunMs = 350;
const kReturnTogether: FleetTiming = { lethalMs: kRunMs, restartMs: 3_000, restartSpreadMs: kRunMs };

interface History {
  /** Mean time between two requests of each lethal type, in milliseconds. */
  lethalEveryMs?: number[];
  idempotent?: boolean;
  /** Mean time between spontaneous crashes of targets, in milliseconds. */
  crashesEveryMs?: number;
  restartsEveryMs?: number;
  partition?: { from: number; until: number };
  hosts?: number;
  timing?: FleetTiming;
}

interface Result {
  /** Crashes by each lethal type, and how many of its requests started before the first crash was detected. */
  lethal: { crashes: number; early: number }[];
  quarantined: number;
  harmless: number;
  notServed: number;
  crashes: number;
}

function requestTypeOf(path: string, runMs: number, lethal = false, idempotent = true): RequestType {
  return { identity: { method: 'GET', host: 'app.example', path, body: new Uint8Array() }, lethal, idempotent, runMs };
}

/** Calls `run` at random times with an exponential distribution of the given mean interval. */
function scheduleRepeated(fleet: QuarantineFleet, random: Random, everyMs: number, run: () => void): void {
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

function runHistory(seed: number, history: History): Result {
  const { lethalEveryMs = [], idempotent = true, crashesEveryMs, restartsEveryMs, partition, hosts = kHosts, timing } = history;
  const random = seededRandom(seed);
  const fleet = new QuarantineFleet(hosts, random, timing);
  try {
    const shared = requestTypeOf('/s/shared', 15);
    const lethal = lethalEveryMs.map((_, i) => requestTypeOf(`/s/lethal/${i}`, 0, true, idempotent));
    let item = 0;
    scheduleRepeated(fleet, random, kHarmlessEveryMs, () => {
      const type = random() < kSharedShare ? shared : requestTypeOf(`/s/items/${item++}`, 5 + random() * 60);
      fleet.request(fleet.anyHost(), type);
    });
    lethal.forEach((type, i) => {
      scheduleRepeated(fleet, random, lethalEveryMs[i] ?? Infinity, () => {
        fleet.request(fleet.anyHost(), type);
      });
    });
    if (crashesEveryMs !== undefined) {
      scheduleRepeated(fleet, random, crashesEveryMs, () => {
        fleet.crash(fleet.anyHost(), undefined);
      });
    }
    if (restartsEveryMs !== undefined) {
      scheduleRepeated(fleet, random, restartsEveryMs, () => {
        fleet.anyHost().restart();
      });
    }
    if (partition) {
      fleet.time.after(partition.from, () => {
        fleet.partitioned = true;
      });
      fleet.time.after(partition.until, () => {
        fleet.partitioned = false;
        fleet.hosts.forEach((host) => {
          fleet.relink(host);
        });
      });
    }
    fleet.time.runUntil(kHistoryMs + 5_000);
    const harmless = fleet.outcomes.filter(({ type }) => !type.lethal);
    return {
      lethal: lethal.map((type) => {
        const crashes = fleet.crashes.filter((crash) => crash.type === type);
        const detectedAt = (crashes[0]?.at ?? Infinity) + kDetectionMs;
        return {
          crashes: crashes.length,
          early: fleet.lethalStarts.filter((start) => start.type === type && start.at <= detectedAt).length,
        };
      }),
      quarantined: fleet.quarantined.size,
      harmless: harmless.length,
      notServed: harmless.filter(({ result }) => result === 'unfinished' || result.kind !== 'answered').length,
      crashes: fleet.crashes.length,
    };
  } finally {
    fleet.close();
  }
}

function seeds(count: number): number[] {
  return Array.from({ length: count }, (_, i) => i + 1);
}

/** Requests that started before the first crash was detected cannot be stopped; the probe after them causes one more crash. */
function allowedCrashes(early: number): number {
  return Math.max(kMaxCrashes, early + 1);
}

describe('requests that crash their targets, in seeded histories', () => {
  itSerial('should crash at most three targets at any request rate, with hardly any effect on harmless requests', (t) => {
    let histories = 0;
    for (const everyMs of [30, 300, 1_600]) {
      for (const seed of seeds(60)) {
        const { lethal, harmless, notServed } = runHistory(seed, { lethalEveryMs: [everyMs], restartsEveryMs: 4_000 });
        const details = `seed ${seed}, every ${everyMs} ms: ${JSON.stringify({ lethal, harmless, notServed })}`;
        t.true(
          lethal.every(({ crashes, early }) => crashes <= allowedCrashes(early)),
          details,
        );
        t.true(notServed <= harmless * kMaxNotServed, details);
        histories++;
      }
    }
    t.is(histories, 180);
  });

  itSerial('should crash at most three targets per fingerprint with several lethal types, idempotent or not', (t) => {
    for (const idempotent of [true, false]) {
      for (const seed of seeds(60)) {
        const { lethal } = runHistory(seed, { lethalEveryMs: [450, 450], idempotent });
        const details = `seed ${seed}: ${JSON.stringify(lethal)}`;
        t.true(
          lethal.every(({ crashes, early }) => crashes <= allowedCrashes(early)),
          details,
        );
      }
    }
  });

  itSerial('should crash at most three targets that return within one run of each other', (t) => {
    for (const hosts of [4, kHosts]) {
      for (const seed of seeds(100)) {
        const { lethal } = runHistory(seed, { hosts, lethalEveryMs: [kRunMs], timing: kReturnTogether });
        const details = `seed ${seed}, ${hosts} hosts: ${JSON.stringify(lethal)}`;
        t.true(
          lethal.every(({ crashes, early }) => crashes <= allowedCrashes(early)),
          details,
        );
      }
    }
  });

  itSerial('should crash at most three targets on each side of a network partition, and none afterwards for what one side knew', (t) => {
    for (const seed of seeds(80)) {
      const { lethal } = runHistory(seed, { lethalEveryMs: [300], partition: { from: 20 + seed * 40, until: 6_000 + seed * 20 } });
      const details = `seed ${seed}: ${JSON.stringify(lethal)}`;
      t.true(
        lethal.every(({ crashes, early }) => crashes <= 2 * allowedCrashes(early)),
        details,
      );
    }
  });
});

describe('targets that crash spontaneously, in seeded histories', () => {
  itSerial('should not cause any quarantine', (t) => {
    let crashes = 0;
    let harmless = 0;
    let notServed = 0;
    for (const seed of seeds(200)) {
      const result = runHistory(seed, { crashesEveryMs: 550 });
      t.is(result.quarantined, 0, `seed ${seed}: ${JSON.stringify(result)}`);
      crashes += result.crashes;
      harmless += result.harmless;
      notServed += result.notServed;
    }
    t.true(crashes > 2_000);
    t.true(notServed <= harmless * kMaxNotServed, JSON.stringify({ harmless, notServed }));
  });

  itSerial('should not cause a quarantine besides that of a lethal request', (t) => {
    for (const seed of seeds(60)) {
      const { quarantined } = runHistory(seed, { crashesEveryMs: 1_500, lethalEveryMs: [400] });
      t.true(quarantined <= 1, `seed ${seed}: ${quarantined} fingerprints quarantined`);
    }
  });
});
