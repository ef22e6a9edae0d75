/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { Placement, seededRandom, type TargetRecord } from '@gentiandrum/core';
import { describe, itSerial } from '../support/describe.js';
import { VirtualTime } from '../support/virtualTime.js';

const kRoute = { name: 'search', latencyTargetMs: 200 };
const kNone: ReadonlySet<string> = new Set();
const kUsualMs = 40;
const kIntervalMs = 5;

function record(host: string, zone = 'z1'): TargetRecord {
  return { host, zone, peers: '', service: 's', instance: `i-${host}`, state: 'ready', slots: 20, epoch: 1, revision: 1 };
}

const kTargets = Array.from({ length: 8 }, (_, i) => record(`h${i}`));

interface Speed {
  /** Duration relative to the usual one, and the slowness that the target states for it, in percent. */
  factor: number;
  stated?: number;
}

/** Sends calls at a fixed rate from one ingress; returns the number of calls to `h0` in a period, divided by that of all. */
class Ingress {
  readonly placement = new Placement('ingress', 'z1', seededRandom(5), 'speed');
  private readonly _time = new VirtualTime();

  /** @param _speedOf speed of `h0` at a time */
  constructor(
    private readonly _speedOf: (now: number) => Speed,
    private readonly _targets: readonly TargetRecord[] = kTargets,
  ) {}

  shareUntil(end: number): number {
    let calls = 0;
    let toFirst = 0;
    while (this._time.now < end) {
      const host = this.placement.choose(this._targets, kNone, kRoute)?.host ?? '';
      calls++;
      toFirst += host === 'h0' ? 1 : 0;
      this._send(host);
      this._time.runUntil(this._time.now + kIntervalMs);
    }
    return toFirst / calls;
  }

  close(): void {
    this._time.restore();
  }

  private _send(host: string): void {
    const speed = (): Speed => (host === 'h0' ? this._speedOf(this._time.now) : { factor: 1, stated: 100 });
    const tookMs = kUsualMs * speed().factor;
    this.placement.recordSent(host);
    this._time.after(tookMs, () => {
      const load = { inFlight: 2, queued: 0, limit: 20, meanMs: kUsualMs, slowness: speed().stated };
      this.placement.recordResult(host, kRoute.name, { load, tookMs, failed: false });
    });
  }
}

function withIngress(ingress: Ingress, body: (ingress: Ingress) => void): void {
  try {
    body(ingress);
  } finally {
    ingress.close();
  }
}

describe('placement by speed', () => {
  /** Guards against following the mean duration, which changes only after slow responses, and against never returning to the target. */
  itSerial('should leave a target that becomes 8 times slower within 0.5 s, and return within 2 s of its recovery', (t) => {
    const slow = (now: number): Speed => (now >= 3_000 && now < 6_000 ? { factor: 8, stated: 800 } : { factor: 1, stated: 100 });
    withIngress(new Ingress(slow), (ingress) => {
      t.true(ingress.shareUntil(3_000) > 0.08);
      ingress.shareUntil(3_500);
      const slowShare = ingress.shareUntil(6_000);
      t.true(slowShare <= 1 / 57, `${slowShare} of the calls, more than its capacity`);
      t.true(ingress.shareUntil(8_000) > 0);
      t.true(ingress.shareUntil(10_000) > 0.08);
    });
  });

  /** Guards against a target that attracts calls by stating that it is fast, until its mean duration has followed the slow responses. */
  itSerial('should leave a target that states that it is fast but responds slowly', (t) => {
    const misstated = (now: number): Speed => (now >= 3_000 ? { factor: 3, stated: 40 } : { factor: 1, stated: 100 });
    withIngress(new Ingress(misstated), (ingress) => {
      ingress.shareUntil(3_150);
      const share = ingress.shareUntil(3_650);
      t.true(share < 0.03, `${share} of the calls`);
    });
  });

  /** Guards against ingresses with the same figures that all choose the target with the best one. */
  itSerial('should spread the calls of many ingresses over nearly equal targets', (t) => {
    const random = seededRandom(5);
    const chosen = Array.from({ length: 100 }, () => {
      const placement = new Placement('ingress', 'z1', random, 'speed');
      ['h0', 'h1'].forEach((host) => {
        const load = { inFlight: 2, queued: 0, limit: 20, meanMs: kUsualMs, slowness: 100 };
        placement.recordSent(host);
        placement.recordResult(host, kRoute.name, { load, tookMs: host === 'h0' ? kUsualMs : kUsualMs - 4, failed: false });
      });
      return placement.choose(kTargets.slice(0, 2), kNone, kRoute)?.host;
    });
    const toSlower = chosen.filter((host) => host === 'h0').length;
    t.true(toSlower > 30 && toSlower < 60, `${toSlower} of 100 calls`);
  });

  itSerial('should send nothing to an unreachable target, and nothing to another zone without need', (t) => {
    withIngress(new Ingress(() => ({ factor: 1 }), [...kTargets.slice(0, 2), record('far', 'z2')]), (ingress) => {
      t.true(ingress.shareUntil(5_000) > 0.4);
      ingress.placement.markUnreachable('h0');
      const sentTo = Array.from(
        { length: 20 },
        () => ingress.placement.choose([...kTargets.slice(0, 2), record('far', 'z2')], kNone, kRoute)?.host,
      );
      t.deepEqual([...new Set(sentTo)], ['h1']);
    });
  });

  itSerial('should state the slowness of a target that is never chosen', (t) => {
    withIngress(new Ingress(() => ({ factor: 20, stated: 2_000 })), (ingress) => {
      ingress.shareUntil(1_500);
      const [unchosen] = ingress.placement.unchosenTargets(kTargets);
      t.is(unchosen?.host, 'h0');
      t.true((unchosen?.slowness ?? 0) > 100);
    });
  });
});
