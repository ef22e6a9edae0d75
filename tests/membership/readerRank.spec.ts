/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { ReaderRank, type ReaderRole } from '@gentiandrum/core';
import { describe, it } from '../support/describe.js';

const kWindowMs = 1_000;
const kHosts = Array.from({ length: 40 }, (_, i) => ({ host: `host-${i}` }));
const kNoneUnreachable = (): boolean => false;

/** All hosts of one zone; each report reaches all of them. */
class Zone {
  private readonly _ranks = new Map(kHosts.map(({ host }) => [host, new ReaderRank('zone-1', host, kWindowMs)]));

  report(host: string, healthy: boolean, now: number): void {
    this._ranks.forEach((rank) => {
      rank.recordReport(host, healthy, now);
    });
  }

  determineRole(host: string, now: number, isUnreachable: (host: string) => boolean = kNoneUnreachable): ReaderRole {
    const rank = this._ranks.get(host);
    if (!rank) {
      throw new Error(`expected a host of the zone, got ${host}`);
    }
    return rank.determineRole(kHosts, isUnreachable, now);
  }

  /** Returns the hosts that consider themselves readers, starting with the first reader. */
  readers(now: number, isUnreachable: (host: string) => boolean = kNoneUnreachable): string[] {
    const roles = kHosts.map(({ host }) => ({ host, role: this.determineRole(host, now, isUnreachable) }));
    return roles
      .filter(({ role }) => role.kind === 'reader')
      .sort((a, b) => Number(b.role.kind === 'reader' && b.role.first) - Number(a.role.kind === 'reader' && a.role.first))
      .map(({ host }) => host);
  }
}

describe('readers of a zone', () => {
  it('should be the same two hosts at every daemon, one of them the first reader', (t) => {
    const zone = new Zone();
    const [first = '', second = '', ...more] = zone.readers(0);
    t.deepEqual(more, []);
    for (const { host } of kHosts) {
      const role = zone.determineRole(host, 0);
      t.deepEqual(role.kind === 'member' ? role.readers : [first, second], [first, second]);
    }
  });

  it('should differ between zones', (t) => {
    const firsts = Array.from(
      { length: 20 },
      (_, i) =>
        kHosts.find(({ host }) => new ReaderRank(`zone-${i}`, host, kWindowMs).determineRole(kHosts, kNoneUnreachable, 0).kind === 'reader')
          ?.host,
    );
    t.true(new Set(firsts).size > 5);
  });

  it('should be replaced immediately when they are unreachable', (t) => {
    const zone = new Zone();
    const [first, second] = zone.readers(0);
    const isUnreachable = (host: string): boolean => host === first || host === second;
    const replaced = kHosts.filter(({ host }) => !isUnreachable(host) && zone.determineRole(host, 0, isUnreachable).kind === 'reader');
    t.is(replaced.length, 2);
  });

  it('should be replaced when they send no reports for one window, and become readers again when they do', (t) => {
    const zone = new Zone();
    const [first = '', second = ''] = zone.readers(0);
    zone.report(second, true, 900);
    t.is(zone.readers(900).length, 2);
    zone.report(second, true, 1_500);
    t.deepEqual(zone.readers(1_600).filter((host) => host !== first).length, 2);
    zone.report(first, true, 1_700);
    t.deepEqual(zone.readers(1_700), [first, second]);
  });

  it('should each be replaced by one other host when the log does not respond to them', (t) => {
    const zone = new Zone();
    const [first = '', second = ''] = zone.readers(0);
    zone.report(first, false, 100);
    const readers = zone.readers(100);
    t.true(readers.includes(first), 'the failing reader keeps trying');
    t.true(readers.includes(second));
    t.is(readers.length, 3);
  });

  it('should remain few when the log is unavailable', (t) => {
    const zone = new Zone();
    const tried = new Set<string>();
    for (let now = 0; now < 60_000; now += 500) {
      for (const host of zone.readers(now)) {
        tried.add(host);
      }
      tried.forEach((host) => {
        zone.report(host, false, now);
      });
    }
    t.true(tried.size <= 5, String(tried.size));
  });

  it('should count as healthy for one window after a report', (t) => {
    const rank = new ReaderRank('zone-1', 'host-1', kWindowMs);
    t.false(rank.hasHealthyReader(0));
    rank.recordReport('host-2', false, 100);
    t.false(rank.hasHealthyReader(200));
    rank.recordReport('host-3', true, 200);
    t.true(rank.hasHealthyReader(1_100));
    t.false(rank.hasHealthyReader(1_300));
  });
});
