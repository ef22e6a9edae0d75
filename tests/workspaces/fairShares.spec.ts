/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against shedding workspaces for the excess of another, and against a total shed that differs from the level. */

import { FairShares, RootAdmission, seededRandom, type WorkspaceRate } from '@gentiandrum/core';
import { describe, it } from '../support/describe.js';

/** Requests per second of a usual workspace at one daemon: at 73 workspaces one of 60 daemons sees about this many. */
const kUsual = 0.4;

interface Sender extends WorkspaceRate {
  perSecond: number;
}

function others(count: number, times = 1): Sender[] {
  return Array.from({ length: count }, (_, i) => ({ name: `w${i}`, ratePerSecond: 1.6, perSecond: kUsual * times }));
}

/** Share of the requests that is shed, of each sender and of all. */
function shedShares(senders: readonly Sender[], level: number, seconds = 1_200): { each: Map<string, number>; all: number } {
  const random = seededRandom(4);
  const fair = new FairShares();
  const admission = new RootAdmission();
  const counts = new Map(senders.map(({ name }) => [name, { sent: 0, shed: 0 }]));
  const total = senders.reduce((sum, { perSecond }) => sum + perSecond, 0);
  for (let now = 0; now < seconds * 1_000; now += (-Math.log(1 - random()) * 1_000) / total) {
    let at = random() * total;
    const sender = senders.find(({ perSecond }) => (at -= perSecond) < 0) ?? senders[0];
    const count = counts.get(sender?.name ?? '');
    if (sender && count && now > 30_000) {
      count.sent++;
      count.shed += admission.admits(0, level, fair.place(sender, 0, random(), now).position, now) ? 0 : 1;
    }
  }
  const list = [...counts.values()];
  return {
    each: new Map([...counts].map(([name, { sent, shed }]) => [name, shed / sent])),
    all: list.reduce((sum, { shed }) => sum + shed, 0) / list.reduce((sum, { sent }) => sum + sent, 0),
  };
}

function meanOfOthers(each: ReadonlyMap<string, number>): number {
  const shares = [...each].filter(([name]) => name !== 'hot').map(([, shed]) => shed);
  return shares.reduce((sum, shed) => sum + shed, 0) / shares.length;
}

describe('fair shares', () => {
  it('should take the excess from a large workspace at seven times its usual rate', (t) => {
    // The excess of 18 of 51 parts covers the 0.3 that is shed.
    const hot = { name: 'hot', ratePerSecond: 4.8, perSecond: 7 * 3 * kUsual };
    const { each, all } = shedShares([hot, ...others(30)], 0.3);
    t.log(`others ${meanOfOthers(each)}, hot ${each.get('hot')}, all ${all}`);
    t.true(Math.abs(all - 0.3) < 0.02, `${all} shed`);
    t.true(meanOfOthers(each) < 0.04, `${meanOfOthers(each)} of the others shed`);
  });

  it('should give all the same share where even the whole excess of one does not cover the level', (t) => {
    // 0.3 of 37 parts is more than the 6 in excess: max-min admits 25.9 / 31 of the usual rate of each.
    const hot = { name: 'hot', ratePerSecond: 1.6, perSecond: 7 * kUsual };
    const { each, all } = shedShares([hot, ...others(30)], 0.3);
    t.log(`others ${meanOfOthers(each)}, hot ${each.get('hot')}, all ${all}`);
    t.true(Math.abs(all - 0.3) < 0.02, `${all} shed`);
    t.true(meanOfOthers(each) < 0.24, `${meanOfOthers(each)} of the others shed`);
  });

  it('should shed equally where all send the same multiple of their quota, also without a quota', (t) => {
    const senders = others(30, 3).map((sender, i) => (i % 3 === 0 ? { ...sender, ratePerSecond: 6.4, perSecond: 4.8 } : sender));
    const unlimited = { name: 'unlimited', ratePerSecond: undefined, perSecond: 2.4 };
    const { each, all } = shedShares([...senders, unlimited], 0.3);
    t.true(Math.abs(all - 0.3) < 0.02, `${all} shed`);
    for (const [name, shed] of each) {
      t.true(Math.abs(shed - 0.3) < 0.08, `${name}: ${shed} shed`);
    }
  });

  it('should keep the draw of a request without a workspace, and of the first one with a workspace', (t) => {
    const fair = new FairShares();
    t.is(fair.place(undefined, 0, 0.7, 0).position, 0.7);
    t.is(fair.size, 0);
    t.is(fair.place({ name: 'w', ratePerSecond: 1 }, 0, 0.7, 0).position, 0.7);
  });

  it('should keep state for workspaces in use only', (t) => {
    const fair = new FairShares();
    for (let i = 0; i < 10_000; i++) {
      fair.place({ name: `w${i}`, ratePerSecond: 1 }, i, 0.5, i * 100);
    }
    t.true(fair.size <= 122, `${fair.size} workspaces`);
  });
});
