/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Proofs of freshness under faults that could make an old proof look new. Each history also tracks a naive proof, which counts a reply from
 * its arrival, to check that the faults would be detected.
 */

import { Freshness, type ProofReply, seededRandom } from '@gentiandrum/core';
import { describe, it } from '../support/describe.js';

const kWithinMs = 5_000;
const kSettings = { strict: true, withinMs: kWithinMs };
const kDaemons = 12;
const kReaders = 2;
const kStepMs = 50;
const kHistoryMs = 30_000;
const kHistories = 300;

interface Message {
  arrivesAt: number;
  to: number;
  from: number;
  kind: { type: 'wanted'; id: number } | { type: 'proof'; reply: ProofReply };
  /** Generation of the receiver when the message was sent. */
  generation: number;
}

/** A daemon with its own monotonic clock, which restarts with the daemon. */
class Daemon {
  freshness: Freshness;
  naiveProofAt = -Infinity;
  generation = 0;
  version = 1;
  frozenUntil = 0;
  partitionedUntil = 0;
  private _origin: number;

  constructor(
    private readonly _random: () => number,
    bootAt: number,
  ) {
    this._origin = bootAt;
    this.freshness = new Freshness(kSettings, Math.floor(_random() * 1e9));
  }

  /** The local monotonic clock: starts with the process, and continues while the process is frozen. */
  clock(now: number): number {
    return now - this._origin;
  }

  restart(now: number): void {
    this.generation++;
    this._origin = now;
    this.freshness = new Freshness(kSettings, Math.floor(this._random() * 1e9));
    this.naiveProofAt = -Infinity;
  }
}

interface HistoryResult {
  /** Number of times a key was accepted too long after its revocation: by the real proof and by the naive one. */
  stale: number;
  naiveStale: number;
  /** Number of samples on unaffected daemons at which requests are admitted, out of `samples`. */
  open: number;
  samples: number;
}

/** Runs one history: some daemons read the log, and messages are delayed, duplicated, stalled and lost. */
function runHistory(seed: number, faulty: boolean): HistoryResult {
  const random = seededRandom(seed);
  const daemons = Array.from({ length: kDaemons }, () => new Daemon(random, -Math.floor(random() * 100_000)));
  const result: HistoryResult = { stale: 0, naiveStale: 0, open: 0, samples: 0 };
  let messages: Message[] = [];
  let logVersion = 1;
  let revokedAt = Infinity;
  let logDownUntil = 0;
  const nextRead = Array.from({ length: kReaders }, () => 0);
  const isUnaffected = (at: number): boolean => !faulty || (daemons[at]?.frozenUntil ?? 0) + kWithinMs < 0;
  const send = (message: Omit<Message, 'arrivesAt' | 'generation'>, now: number): void => {
    const receiver = daemons[message.to];
    const sender = daemons[message.from];
    if (!receiver || !sender) {
      return;
    }
    const stallMs = faulty && random() < 0.2 ? random() * 20_000 : 0;
    const arrivesAt = Math.max(now + 1 + stallMs, receiver.partitionedUntil, sender.partitionedUntil);
    messages.push({ ...message, arrivesAt, generation: receiver.generation });
    if (faulty && random() < 0.1) {
      messages.push({ ...message, arrivesAt: arrivesAt + random() * 10_000, generation: receiver.generation });
    }
  };
  for (let now = 0; now < kHistoryMs; now += kStepMs) {
    if (faulty) {
      injectFaults(daemons, random, now);
      logDownUntil = random() < 0.002 ? now + random() * 8_000 : logDownUntil;
    }
    if (revokedAt === Infinity && now > 8_000 && random() < 0.02) {
      logVersion++;
      revokedAt = now;
    }
    for (let at = 0; at < kReaders; at++) {
      const reader = daemons[at];
      if (reader && now >= (nextRead[at] ?? 0) && now >= reader.frozenUntil && now >= reader.partitionedUntil && now >= logDownUntil) {
        nextRead[at] = now + 1_200;
        reader.version = logVersion;
        reader.freshness.versionApplied(logVersion);
        reader.freshness.addProof({ at: reader.clock(now), version: logVersion }, logVersion);
        reader.naiveProofAt = now;
      }
    }
    const arrived = messages.filter(({ arrivesAt }) => arrivesAt <= now);
    messages = messages.filter(({ arrivesAt }) => arrivesAt > now);
    for (const message of arrived) {
      const daemon = daemons[message.to];
      if (!daemon) {
        continue;
      }
      if (now < daemon.frozenUntil) {
        messages.push({ ...message, arrivesAt: daemon.frozenUntil });
      } else if (message.kind.type === 'wanted') {
        const reply = daemon.freshness.createReply(message.kind.id, daemon.clock(now));
        if (reply) {
          send({ to: message.from, from: message.to, kind: { type: 'proof', reply } }, now);
        }
      } else {
        // Replies to an earlier generation are delivered too, as the worst case of a link that outlives its process.
        const { reply } = message.kind;
        if (reply.version > daemon.version && random() < 0.7) {
          daemon.version = reply.version;
          daemon.freshness.versionApplied(reply.version);
        }
        daemon.freshness.addReply(reply, daemon.version);
        daemon.naiveProofAt = reply.version <= daemon.version ? now : daemon.naiveProofAt;
      }
    }
    daemons.forEach((daemon, at) => {
      if (now < daemon.frozenUntil) {
        return;
      }
      const clock = daemon.clock(now);
      const scope = daemon.freshness.nextRequestScope(clock, at < kReaders);
      if (scope !== 'none') {
        const to = scope === 'readers' ? Math.floor(random() * kReaders) : Math.floor(random() * kDaemons);
        send({ to, from: at, kind: { type: 'wanted', id: daemon.freshness.startRequest(clock) } }, now);
      }
      const open = daemon.freshness.validUntil > clock;
      const outdated = daemon.version < logVersion && now > revokedAt + kWithinMs;
      result.stale += open && outdated ? 1 : 0;
      result.naiveStale += now - daemon.naiveProofAt < kWithinMs * 0.9 && outdated ? 1 : 0;
      if (now > 3_000 && isUnaffected(at)) {
        result.samples++;
        result.open += open ? 1 : 0;
      }
    });
  }
  return result;
}

function injectFaults(daemons: readonly Daemon[], random: () => number, now: number): void {
  for (const daemon of daemons) {
    const draw = random();
    if (draw < 0.003) {
      daemon.frozenUntil = now + random() * 12_000;
    } else if (draw < 0.006) {
      daemon.partitionedUntil = now + random() * 15_000;
    } else if (draw < 0.008) {
      daemon.restart(now);
    }
  }
}

describe('a proof of freshness', () => {
  it('should never accept a revoked key too late under stalls, duplicates, freezes, partitions and restarts', (t) => {
    let wrong = 0;
    let naiveWrong = 0;
    for (let seed = 1; seed <= kHistories; seed++) {
      const result = runHistory(seed, true);
      wrong += result.stale;
      naiveWrong += result.naiveStale > 0 ? 1 : 0;
    }
    t.is(wrong, 0);
    t.true(naiveWrong > kHistories / 10, `the naive proof failed in ${naiveWrong} of ${kHistories} histories`);
  });

  it('should always be available without faults', (t) => {
    for (let seed = 1; seed <= 5; seed++) {
      const { open, samples } = runHistory(seed, false);
      t.is(open, samples);
    }
  });

  it('should count a reply from its request, and ignore replies to requests of an earlier process', (t) => {
    const freshness = new Freshness(kSettings, 7);
    const id = freshness.startRequest(10_000);
    freshness.addReply({ id, ageMs: 1_000, version: 3 }, 3);
    t.is(freshness.ageMs(12_000), 3_000);
    freshness.addReply({ id, ageMs: 1_000, version: 3 }, 3);
    t.is(freshness.ageMs(14_000), 5_000);
    const restarted = new Freshness(kSettings, 1_000_007);
    restarted.startRequest(0);
    restarted.addReply({ id, ageMs: 0, version: 3 }, 3);
    t.is(restarted.ageMs(100), Infinity);
  });

  it('should not use the proof of a version until that is applied', (t) => {
    const freshness = new Freshness(kSettings, 0);
    freshness.addProof({ at: 100, version: 5 }, 4);
    t.is(freshness.validUntil, -Infinity);
    freshness.versionApplied(5);
    t.is(freshness.ageMs(200), 100);
  });

  it('should accept a proof of an older version than the applied one, and need none when revocation is not strict', (t) => {
    const freshness = new Freshness(kSettings, 0);
    freshness.addProof({ at: 100, version: 4 }, 6);
    t.is(freshness.ageMs(200), 100);
    const lenient = new Freshness({ strict: false, withinMs: kWithinMs }, 0);
    t.is(lenient.validUntil, Infinity);
    t.is(lenient.nextRequestScope(1e9, false), 'none');
  });

  it('should not be sent once it is too old', (t) => {
    const freshness = new Freshness(kSettings, 0);
    freshness.addProof({ at: 0, version: 1 }, 1);
    t.deepEqual(freshness.createReply(9, 1_000), { id: 9, ageMs: 1_000, version: 1 });
    t.is(freshness.createReply(9, 4_600), undefined);
  });
});

describe('a proof across a suspension', () => {
  it('should be invalid, as earlier proofs, requests and reads are older than the monotonic clock shows', (t) => {
    const freshness = new Freshness(kSettings, 1);
    freshness.addProof({ at: 1_000, version: 1 }, 1);
    const id = freshness.startRequest(1_100);
    t.false(freshness.awaitingProof);
    freshness.suspended(1_200);
    t.true(freshness.awaitingProof);
    t.is(freshness.validUntil, -Infinity);
    freshness.addReply({ id, ageMs: 0, version: 1 }, 1);
    freshness.addProof({ at: 1_150, version: 1 }, 1);
    t.is(freshness.validUntil, -Infinity);
    freshness.addReply({ id: freshness.startRequest(1_300), ageMs: 50, version: 1 }, 1);
    t.is(freshness.validUntil, 1_250 + kWithinMs * 0.9);
    t.false(freshness.awaitingProof);
  });
});
