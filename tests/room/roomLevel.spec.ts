/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { GateLevel } from '@gentiandrum/core';
import { describe, it } from '../support/describe.js';
import { type Bin, kBinMs, kLostAtMs, kRemainingPerBin, runRoomModel } from './roomModel.js';

/** Returns the outcomes from 1 s before the loss. */
function loseHosts(load: number, gatesNoticeMs: number): Bin[] {
  return runRoomModel(load, gatesNoticeMs).slice(kLostAtMs / kBinMs - 4);
}

function sum(bins: Bin[], key: keyof Bin): number {
  return bins.reduce((total, bin) => total + bin[key], 0);
}

function admittedShare(bins: Bin[]): number {
  return 1 - sum(bins, 'shed') / sum(bins, 'offered');
}

/** Returns a level after 5 s at a constant offered load without a queue. */
function levelAtLoad(load: number): GateLevel {
  const level = new GateLevel();
  for (let i = 0; i < 50; i++) {
    level.recordWork(load * 100);
    level.step(0, 100);
  }
  return level;
}

describe('level of a gate whose service loses capacity', () => {
  for (const load of [1, 1.2]) {
    it(`should follow the loss of 3 of 23 hosts at load ${load} within 0.5 s, without more failures than the loss explains`, (t) => {
      const bins = loseHosts(load, 200);
      const before = admittedShare(bins.slice(0, 4));
      t.true(admittedShare(bins.slice(6, 8)) <= 0.93 * before);
      const after = bins.slice(4, 16);
      // Requests beyond the remaining capacity, and those sent to the lost hosts within 0.3 s of the loss: in flight, or unnoticed.
      const explained = sum(after, 'offered') - 12 * kRemainingPerBin + (0.3 * 1_000 * 3 * 7) / 100;
      t.true(sum(after, 'failed') + sum(after, 'shed') <= 1.3 * explained);
      t.true(sum(bins.slice(12), 'served') >= 0.9 * kRemainingPerBin * bins.slice(12).length);
    });
  }

  it('should not reject the lost share twice when gates notice the loss after their load has shown it', (t) => {
    const bins = loseHosts(1.2, 2_000).slice(12);
    t.true(bins.every(({ served }) => served >= 0.87 * kRemainingPerBin));
  });

  it('should admit everything while spare capacity covers the loss', (t) => {
    const level = levelAtLoad(0.6);
    level.followRoom(0.8);
    t.is(level.current, 0);
  });

  it('should return to its value when lost capacity returns, however often that repeats', (t) => {
    const level = levelAtLoad(1.02);
    const before = level.current;
    for (let i = 0; i < 50; i++) {
      level.followRoom(0.8);
      t.true(level.current < 0.4);
      level.followRoom(1.25);
    }
    t.true(Math.abs(level.current - before) < 0.05);
  });

  it('should not reject nearly everything when most hosts become unreachable and the load does not grow', (t) => {
    for (const looks of [1, 3, 20]) {
      const level = levelAtLoad(1);
      const factor = 0.04 ** (1 / looks);
      for (let i = 0; i < looks; i++) {
        level.followRoom(factor);
        t.true(level.current <= 0.6, `${looks} looks: ${level.current}`);
        level.recordWork(100 * (1 - level.current));
        level.step(0, 100);
      }
      level.followRoom(25);
      t.true(level.current < 0.2, `${looks} looks, returned: ${level.current}`);
    }
  });

  it('should not admit more than before when capacity returns whose loss was followed in part', (t) => {
    const level = levelAtLoad(1);
    while (level.current < 0.7) {
      level.recordWork(150);
      level.step(0, 100);
    }
    const before = level.current;
    level.followRoom(0.04);
    level.followRoom(25);
    t.true(Math.abs(level.current - before) < 0.01);
  });

  it('should ignore a factor that is not a positive number', (t) => {
    const level = levelAtLoad(1);
    const before = level.current;
    [0, -1, NaN, Infinity].forEach((factor) => {
      level.followRoom(factor);
    });
    t.is(level.current, before);
  });
});
