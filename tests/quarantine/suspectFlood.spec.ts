/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against daemons that send each other suspicions without end when there are more than they keep. */

import { Suspects, type Suspicion } from '@gentiandrum/core';
import { describe, it } from '../support/describe.js';

const kDaemons = 3;
/** More than a daemon keeps. */
const kFingerprints = 1_200;
const kPerRecord = 8;
/** Messages if each daemon forwards each suspicion to each other one, once. */
const kMaxMessages = kFingerprints * kDaemons * kDaemons;

function suspicionOf(i: number): Suspicion {
  const mark = { crash: i, at: i % 7, tested: true, cleared: false, released: false };
  return { fingerprint: `f${i}`, screen: i, route: 'r', marks: [mark] };
}

describe('more suspicions than a daemon keeps', () => {
  // Each one that a daemon received anew displaced one that the others sent it again, so that the daemons did nothing else.
  it('should be exchanged a limited number of times, and leave all daemons with the same ones', (t) => {
    const queue: { to: number; suspects: Suspicion[] }[] = [];
    const daemons = Array.from({ length: kDaemons }, (_, self) => {
      const send = (suspects: Suspicion[]): void => {
        for (let to = 0; to < kDaemons; to++) {
          queue.push(...(to === self ? [] : [{ to, suspects }]));
        }
      };
      return new Suspects({
        broadcast: send,
        sendSome: (_count, suspects) => {
          send(suspects);
        },
        onEvent: () => undefined,
      });
    });
    const all = Array.from({ length: kFingerprints }, (_, i) => suspicionOf(i));
    for (const [k, daemon] of daemons.entries()) {
      const from = (k * kFingerprints) / kDaemons;
      const read = [...all.slice(from), ...all.slice(0, from)];
      for (let i = 0; i < read.length; i += kPerRecord) {
        daemon.mergeFromPeer(read.slice(i, i + kPerRecord));
      }
    }
    let messages = 0;
    for (let next = queue.shift(); next && messages < kMaxMessages; next = queue.shift()) {
      messages++;
      daemons[next.to]?.mergeFromPeer(next.suspects);
    }
    t.true(messages < kMaxMessages, `${messages} messages`);
    const kept = daemons.map((daemon) =>
      daemon
        .list()
        .map(({ fingerprint }) => fingerprint)
        .sort(),
    );
    t.is(kept[0]?.length, 1_000);
    kept.forEach((each) => {
      t.deepEqual(each, kept[0]);
    });
  });
});
