/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Proofs of freshness under faults that try to make an old one look new. Each history is also played with a naive proof, which counts an
 * answer from its arrival, to show that the fault would be found.
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
  /** Life of the receiver that it was meant for: links end with it. */
  life: number;
}

/** A daemon with a clock of its own: monotonic, begins anywhere, and may start again. */
class Daemon {
  freshness: Freshness;
  naiveAt = -Infinity;
  life = 0;
  version = 1;
  frozenUntil = 0;
  cutUntil = 0;
  private _origin: number;

  constructor(
    private readonly _random: () => number,
    bootAt: number,
  ) {
    this._origin = bootAt;
    this.freshness = new Freshness(kSettings, Math.floor(_random() * 1e9));
  }

  /** The own monotonic clock: it begins with the process, and goes on while that is frozen. */
  clock(now: number): number {
    return now - this._origin;
  }

  restart(now: number): void {
    this.life++;
    this._origin = now;
    this.freshness = new Freshness(kSettings, Math.floor(this._random() * 1e9));
    this.naiveAt = -Infinity;
  }
}

interface Judged {
  /** Requests that were let in with a key that had been taken away too long before, by the real proof and by the naive one. */
  wrong: number;
  naiveWrong: number;
  /** Shares of the moments at daemons in touch at which requests are let in. */
  open: number;
  moments: number;
}

/** One history: a log that some daemons read, and messages that are delayed, repeated, held up and lost. */
function play(seed: number, faulty: boolean): Judged {
  const random = seededRandom(seed);
  const daemons = Array.from({ length: kDaemons }, () => new Daemon(random, -Math.floor(random() * 100_000)));
  const judged: Judged = { wrong: 0, naiveWrong: 0, open: 0, moments: 0 };
  let messages: Message[] = [];
  let logVersion = 1;
  let revokedAt = Infinity;
  let logDownUntil = 0;
  const nextRead = Array.from({ length: kReaders }, () => 0);
  const calm = (at: number): boolean => !faulty || (daemons[at]?.frozenUntil ?? 0) + kWithinMs < 0;
  const post = (message: Omit<Message, 'arrivesAt' | 'life'>, now: number): void => {
    const receiver = daemons[message.to];
    const sender = daemons[message.from];
    if (!receiver || !sender) {
      return;
    }
    const held = faulty && random() < 0.2 ? random() * 20_000 : 0;
    const arrivesAt = Math.max(now + 1 + held, receiver.cutUntil, sender.cutUntil);
    messages.push({ ...message, arrivesAt, life: receiver.life });
    if (faulty && random() < 0.1) {
      messages.push({ ...message, arrivesAt: arrivesAt + random() * 10_000, life: receiver.life });
    }
  };
  for (let now = 0; now < kHistoryMs; now += kStepMs) {
    if (faulty) {
      strike(daemons, random, now);
      logDownUntil = random() < 0.002 ? now + random() * 8_000 : logDownUntil;
    }
    if (revokedAt === Infinity && now > 8_000 && random() < 0.02) {
      logVersion++;
      revokedAt = now;
    }
    for (let at = 0; at < kReaders; at++) {
      const reader = daemons[at];
      if (reader && now >= (nextRead[at] ?? 0) && now >= reader.frozenUntil && now >= reader.cutUntil && now >= logDownUntil) {
        nextRead[at] = now + 1_200;
        reader.version = logVersion;
        reader.freshness.inForce(logVersion);
        reader.freshness.note({ at: reader.clock(now), version: logVersion }, logVersion);
        reader.naiveAt = now;
      }
    }
    const due = messages.filter(({ arrivesAt }) => arrivesAt <= now);
    messages = messages.filter(({ arrivesAt }) => arrivesAt > now);
    for (const message of due) {
      const daemon = daemons[message.to];
      if (!daemon) {
        continue;
      }
      if (now < daemon.frozenUntil) {
        messages.push({ ...message, arrivesAt: daemon.frozenUntil });
      } else if (message.kind.type === 'wanted') {
        const reply = daemon.freshness.reply(message.kind.id, daemon.clock(now));
        if (reply) {
          post({ to: message.from, from: message.to, kind: { type: 'proof', reply } }, now);
        }
      } else {
        // Also replies of an earlier life: a link that outlives its process would be the worst case.
        const { reply } = message.kind;
        if (reply.version > daemon.version && random() < 0.7) {
          daemon.version = reply.version;
          daemon.freshness.inForce(reply.version);
        }
        daemon.freshness.noteReply(reply, daemon.version);
        daemon.naiveAt = reply.version <= daemon.version ? now : daemon.naiveAt;
      }
    }
    daemons.forEach((daemon, at) => {
      if (now < daemon.frozenUntil) {
        return;
      }
      const clock = daemon.clock(now);
      const whom = daemon.freshness.whomToAsk(clock, at < kReaders);
      if (whom !== 'none') {
        const to = whom === 'readers' ? Math.floor(random() * kReaders) : Math.floor(random() * kDaemons);
        post({ to, from: at, kind: { type: 'wanted', id: daemon.freshness.request(clock) } }, now);
      }
      const open = daemon.freshness.validUntil > clock;
      const old = daemon.version < logVersion && now > revokedAt + kWithinMs;
      judged.wrong += open && old ? 1 : 0;
      judged.naiveWrong += now - daemon.naiveAt < kWithinMs * 0.9 && old ? 1 : 0;
      if (now > 3_000 && calm(at)) {
        judged.moments++;
        judged.open += open ? 1 : 0;
      }
    });
  }
  return judged;
}

function strike(daemons: readonly Daemon[], random: () => number, now: number): void {
  for (const daemon of daemons) {
    const draw = random();
    if (draw < 0.003) {
      daemon.frozenUntil = now + random() * 12_000;
    } else if (draw < 0.006) {
      daemon.cutUntil = now + random() * 15_000;
    } else if (draw < 0.008) {
      daemon.restart(now);
    }
  }
}

describe('proof of freshness', () => {
  it('should let no revoked key in too late, whatever is held up, repeated, frozen, cut or started again', (t) => {
    let wrong = 0;
    let naiveWrong = 0;
    for (let seed = 1; seed <= kHistories; seed++) {
      const judged = play(seed, true);
      wrong += judged.wrong;
      naiveWrong += judged.naiveWrong > 0 ? 1 : 0;
    }
    t.is(wrong, 0);
    t.true(naiveWrong > kHistories / 10, `the naive proof was fooled in ${naiveWrong} of ${kHistories} histories`);
  });

  it('should be there all the time while nothing fails', (t) => {
    for (let seed = 1; seed <= 5; seed++) {
      const { open, moments } = play(seed, false);
      t.is(open, moments);
    }
  });

  it('should count an answer from its question, and only one to a question of this life', (t) => {
    const freshness = new Freshness(kSettings, 7);
    const id = freshness.request(10_000);
    freshness.noteReply({ id, ageMs: 1_000, version: 3 }, 3);
    t.is(freshness.ageMs(12_000), 3_000);
    freshness.noteReply({ id, ageMs: 1_000, version: 3 }, 3);
    t.is(freshness.ageMs(14_000), 5_000);
    const restarted = new Freshness(kSettings, 1_000_007);
    restarted.request(0);
    restarted.noteReply({ id, ageMs: 0, version: 3 }, 3);
    t.is(restarted.ageMs(100), Infinity);
  });

  it('should not take the proof of a version that is not in force here, until it is', (t) => {
    const freshness = new Freshness(kSettings, 0);
    freshness.note({ at: 100, version: 5 }, 4);
    t.is(freshness.validUntil, -Infinity);
    freshness.inForce(5);
    t.is(freshness.ageMs(200), 100);
  });

  it('should prove a newer version than the proven one, and need nothing where revocation is not strict', (t) => {
    const freshness = new Freshness(kSettings, 0);
    freshness.note({ at: 100, version: 4 }, 6);
    t.is(freshness.ageMs(200), 100);
    const lenient = new Freshness({ strict: false, withinMs: kWithinMs }, 0);
    t.is(lenient.validUntil, Infinity);
    t.is(lenient.whomToAsk(1e9, false), 'none');
  });

  it('should be told to nobody once it is too old to be of use', (t) => {
    const freshness = new Freshness(kSettings, 0);
    freshness.note({ at: 0, version: 1 }, 1);
    t.deepEqual(freshness.reply(9, 1_000), { id: 9, ageMs: 1_000, version: 1 });
    t.is(freshness.reply(9, 4_600), undefined);
  });
});

describe('a proof across a suspension', () => {
  it('should be none: what was proved, asked for or read before has aged by more than the steady clock says', (t) => {
    const freshness = new Freshness(kSettings, 1);
    freshness.note({ at: 1_000, version: 1 }, 1);
    const id = freshness.request(1_100);
    t.false(freshness.waking);
    freshness.suspended(1_200);
    t.true(freshness.waking);
    t.is(freshness.validUntil, -Infinity);
    freshness.noteReply({ id, ageMs: 0, version: 1 }, 1);
    freshness.note({ at: 1_150, version: 1 }, 1);
    t.is(freshness.validUntil, -Infinity);
    freshness.noteReply({ id: freshness.request(1_300), ageMs: 50, version: 1 }, 1);
    t.is(freshness.validUntil, 1_250 + kWithinMs * 0.9);
    t.false(freshness.waking);
  });
});
