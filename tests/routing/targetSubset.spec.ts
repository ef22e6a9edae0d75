/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against uneven load when many ingresses choose among the targets of a service independently. */

import { Placement, RendezvousRank, seededRandom, subsetFor, type TargetRecord } from '@gentiandrum/core';
import { describe, it, itSerial } from '../support/describe.js';
import { VirtualTime } from '../support/virtualTime.js';

const kZones = 5;
const kIngresses = 200;
const kRoute = { name: 'search', latencyTargetMs: 2_000 };
const kNone: ReadonlySet<string> = new Set();

const zoneOf = (index: number): string => `zone-${index % kZones}`;

function targets(count: number): TargetRecord[] {
  return Array.from({ length: count }, (_, i) => ({
    host: `host-${i}`,
    zone: zoneOf(i),
    peers: '',
    service: 'search',
    instance: `i-${i}`,
    state: 'ready' as const,
    slots: 30,
    epoch: 1,
    revision: 1,
  }));
}

function primaryOf(ingress: number, candidates: readonly TargetRecord[]): readonly TargetRecord[] {
  const host = `host-${ingress}`;
  return subsetFor(host, zoneOf(ingress), candidates, new RendezvousRank(host)).primary;
}

describe('the primary targets of an ingress', () => {
  it('should include all targets of a small service', (t) => {
    t.is(primaryOf(150, targets(3)).length, 3);
    t.is(primaryOf(150, targets(12)).length, 12);
  });

  it('should include the local host and stay in the local zone while that has enough targets', (t) => {
    const primary = primaryOf(3, targets(100));
    t.is(primary[0]?.host, 'host-3');
    t.true(primary.every(({ zone }) => zone === zoneOf(3)));
    t.true(primary.length <= 9);
  });

  it('should include targets of other zones when the local zone has few', (t) => {
    const candidates = targets(100).filter(({ zone }, i) => zone !== 'zone-0' || i === 0);
    const primary = primaryOf(105, candidates);
    t.is(primary.length, 8);
    t.is(primary.filter(({ zone }) => zone === 'zone-0').length, 1);
  });

  it('should include each target at many ingresses', (t) => {
    const candidates = targets(100);
    const uses = new Map<string, number>();
    for (let ingress = 0; ingress < kIngresses; ingress++) {
      primaryOf(ingress, candidates).forEach(({ host }) => uses.set(host, (uses.get(host) ?? 0) + 1));
    }
    t.is(uses.size, candidates.length);
    t.true(Math.min(...uses.values()) >= 8);
  });

  it('should change by a single target when one leaves', (t) => {
    const candidates = targets(100);
    const before = primaryOf(3, candidates);
    const gone = before[4];
    const after = primaryOf(
      3,
      candidates.filter((target) => target !== gone),
    );
    t.is(after.filter((target) => !before.includes(target)).length, 1);
  });
});

describe('placement by many ingresses at once', () => {
  /** Sends calls of half a second, 5 a second from each ingress; returns the most calls to one target, divided by the mean. */
  function busiestOverMean(slow: ReadonlySet<string>): { busiest: number; slowShare: number } {
    const time = new VirtualTime();
    try {
      const random = seededRandom(11);
      const candidates = targets(100);
      const placements = Array.from({ length: kIngresses }, (_, i) => new Placement(`host-${i}`, zoneOf(i), random));
      const inFlight = new Map<string, number>();
      const calls = new Map<string, number>();
      const send = (ingress: number): void => {
        const placement = placements[ingress];
        const target = placement?.choose(candidates, kNone, kRoute);
        if (!placement || !target) {
          return;
        }
        const { host } = target;
        placement.recordSent(host);
        inFlight.set(host, (inFlight.get(host) ?? 0) + 1);
        calls.set(host, (calls.get(host) ?? 0) + 1);
        const tookMs = slow.has(host) ? 4_000 : 500;
        time.after(tookMs, () => {
          inFlight.set(host, (inFlight.get(host) ?? 0) - 1);
          const load = { inFlight: inFlight.get(host) ?? 0, queued: 0, limit: 30, meanMs: tookMs };
          placement.recordResult(host, kRoute.name, { load, tookMs, failed: false });
        });
      };
      for (let at = 0; at < 20_000; at++) {
        time.after(at, () => {
          send(Math.floor(random() * kIngresses));
        });
      }
      time.runUntil(20_000);
      const mean = [...calls.values()].reduce((sum, count) => sum + count, 0) / candidates.length;
      const slowCalls = [...slow].reduce((sum, host) => sum + (calls.get(host) ?? 0), 0);
      return { busiest: Math.max(...calls.values()) / mean, slowShare: slowCalls / (mean * Math.max(1, slow.size)) };
    } finally {
      time.restore();
    }
  }

  itSerial('should load equal targets evenly', (t) => {
    const { busiest } = busiestOverMean(new Set());
    t.true(busiest <= 2.5, String(busiest));
  });

  itSerial('should send slow targets less than their share', (t) => {
    const { slowShare } = busiestOverMean(new Set(['host-10', 'host-11', 'host-12', 'host-13', 'host-14']));
    t.true(slowShare <= 0.7, String(slowShare));
  });
});
