/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { Placement, seededRandom, type TargetRecord } from '@gentiandrum/core';
import { describe, itSerial } from '../support/describe.js';
import { VirtualTime } from '../support/virtualTime.js';

const kRoute = { name: 'search', latencyTargetMs: 200 };
const kNone: ReadonlySet<string> = new Set();

function record(host: string, zone: string): TargetRecord {
  return { host, zone, peers: '', service: 's', instance: `i-${host}`, state: 'ready', slots: 10, epoch: 1, revision: 1 };
}

const kNear = record('near', 'z1');
const kFar = record('far', 'z2');

function withPlacement(body: (placement: Placement, time: VirtualTime) => void): void {
  const time = new VirtualTime();
  try {
    body(new Placement('near', 'z1', () => 0), time);
  } finally {
    time.restore();
  }
}

function recordResponse(placement: Placement, host: string, route: string, tookMs: number): void {
  placement.recordSent(host);
  placement.recordResult(host, route, { tookMs, failed: false });
}

describe('placement', () => {
  itSerial('should stay in its zone unless the latency there exceeds the cost of another zone', (t) => {
    withPlacement((placement) => {
      t.is(placement.choose([kFar, kNear], kNone, kRoute), kNear);
      recordResponse(placement, 'near', 'search', 60);
      recordResponse(placement, 'far', 'search', 40);
      t.is(placement.choose([kFar, kNear], kNone, kRoute), kNear);
      for (let i = 0; i < 30; i++) {
        recordResponse(placement, 'near', 'search', 300);
      }
      t.is(placement.choose([kFar, kNear], kNone, kRoute), kFar);
    });
  });

  itSerial('should leave a target that states a rate limit once calls reach the limit, and return when it ends', (t) => {
    withPlacement((placement, time) => {
      const limited = { ...kNear, rateLimit: 8 };
      t.is(placement.choose([kFar, limited], kNone, kRoute), limited);
      for (let i = 0; i < 10; i++) {
        placement.recordSent('near', limited.rateLimit);
        placement.recordResult('near', 'search', { failed: false });
      }
      t.is(placement.choose([kFar, limited], kNone, kRoute), kFar);
      time.runUntil(time.now + 2_000);
      t.is(placement.choose([kFar, limited], kNone, kRoute), limited);
      const report = { inFlight: 0, queued: 0, limit: 10, meanMs: 20 };
      placement.recordResult('near', 'search', { load: { ...report, rateLoad: 1.5 }, failed: false });
      t.is(placement.choose([kFar, limited], kNone, kRoute), kFar);
      placement.recordResult('near', 'search', { load: report, failed: false });
      t.is(placement.choose([kFar, kNear], kNone, kRoute), kNear);
    });
  });

  itSerial('should leave its zone for a free target only when the target there is full', (t) => {
    withPlacement((placement) => {
      const load = (inFlight: number): void => {
        placement.recordSent('near');
        placement.recordResult('near', 'search', { load: { inFlight, queued: 0, limit: 10, meanMs: 50 }, tookMs: 50, failed: false });
      };
      load(7);
      t.is(placement.choose([kFar, kNear], kNone, kRoute), kNear);
      load(10);
      t.is(placement.choose([kFar, kNear], kNone, kRoute), kFar);
    });
  });

  itSerial('should not leave its zone because of slower routes there', (t) => {
    withPlacement((placement) => {
      for (let i = 0; i < 30; i++) {
        recordResponse(placement, 'near', 'report', 2_000);
        recordResponse(placement, 'near', 'search', 50);
      }
      t.is(placement.choose([kFar, kNear], kNone, kRoute), kNear);
    });
  });

  itSerial('should assume the mean latency for an unknown host', (t) => {
    withPlacement((placement) => {
      recordResponse(placement, 'near', 'search', 150);
      t.is(placement.choose([kFar, kNear], kNone, kRoute), kNear);
    });
  });

  itSerial('should leave its zone after repeated failures, not after a single one, and return later', (t) => {
    withPlacement((placement, time) => {
      const finishCall = (failed: boolean): void => {
        placement.recordSent('near');
        placement.recordResult('near', 'search', { tookMs: failed ? undefined : 50, failed });
      };
      finishCall(false);
      finishCall(true);
      t.is(placement.choose([kFar, kNear], kNone, kRoute), kNear);
      for (let i = 0; i < 10; i++) {
        finishCall(true);
      }
      t.is(placement.choose([kFar, kNear], kNone, kRoute), kFar);
      time.runUntil(6_000);
      t.is(placement.choose([kFar, kNear], kNone, kRoute), kNear);
    });
  });

  /** Guards against a target that is never chosen again after slow responses, as only responses update its mean latency. */
  itSerial('should retry a target that was slow, and use it like others once it is fast', (t) => {
    const time = new VirtualTime();
    try {
      const random = seededRandom(5);
      const placement = new Placement('near', 'z1', random);
      const twin = record('twin', 'z1');
      for (let i = 0; i < 10; i++) {
        recordResponse(placement, 'near', 'search', 300);
        recordResponse(placement, 'twin', 'search', 10);
      }
      let slow = 0;
      let used = 0;
      for (let now = 0; now < 20_000; now += 20) {
        time.runUntil(now);
        const chosen = placement.choose([kNear, twin], kNone, kRoute)?.host ?? '';
        recordResponse(placement, chosen, 'search', 10);
        slow += chosen === 'near' && now < 2_000 ? 1 : 0;
        used += chosen === 'near' && now >= 15_000 ? 1 : 0;
      }
      t.is(slow, 0, 'calls while its slow responses are recent');
      t.true(used >= 75, `${used} of 250 calls in the last five seconds`);
    } finally {
      time.restore();
    }
  });

  itSerial('should report the targets of its zone that are never chosen, with their statistics', (t) => {
    withPlacement((placement) => {
      const twin = record('twin', 'z1');
      for (let i = 0; i < 10; i++) {
        recordResponse(placement, 'near', 'search', 300);
        recordResponse(placement, 'twin', 'search', 10);
      }
      for (let i = 0; i < 120; i++) {
        placement.choose([kNear, kFar, twin], kNone, kRoute);
      }
      const [unchosen, ...more] = placement.unchosenTargets([kNear, kFar, twin]);
      t.deepEqual(more, []);
      t.is(unchosen?.host, 'near');
      t.is(unchosen?.comparisons, 120);
      t.deepEqual(unchosen?.meanMs, { search: 300 });
      t.true((unchosen?.usualMs.search ?? 300) < 200);
    });
  });

  itSerial('should send almost no calls to a target that stays slow', (t) => {
    const time = new VirtualTime();
    try {
      const placement = new Placement('near', 'z1', seededRandom(5));
      const twin = record('twin', 'z1');
      let slow = 0;
      for (let now = 0; now < 20_000; now += 20) {
        time.runUntil(now);
        const chosen = placement.choose([kNear, twin], kNone, kRoute)?.host ?? '';
        recordResponse(placement, chosen, 'search', chosen === 'near' ? 300 : 10);
        slow += chosen === 'near' ? 1 : 0;
      }
      t.true(slow <= 20, `${slow} of 1000 calls`);
    } finally {
      time.restore();
    }
  });

  itSerial('should spread calls over equal targets by their outstanding calls', (t) => {
    withPlacement((placement) => {
      const twin = record('twin', 'z1');
      placement.recordSent('near');
      t.is(placement.choose([kNear, twin], kNone, kRoute), twin);
      placement.recordSent('twin');
      placement.recordSent('twin');
      t.is(placement.choose([kNear, twin], kNone, kRoute), kNear);
    });
  });

  itSerial('should deprioritize an unreachable host for a limited time, unless there is no other', (t) => {
    withPlacement((placement, time) => {
      placement.markUnreachable('near');
      t.is(placement.choose([kNear, kFar], kNone, kRoute), kFar);
      t.is(placement.choose([kNear], kNone, kRoute), kNear);
      time.runUntil(5_000);
      t.is(placement.choose([kNear, kFar], kNone, kRoute), kNear);
    });
  });

  describe('charge for downstream calls', () => {
    const inZone = { name: 'capacity', latencyTargetMs: 300 };
    const chained = { name: 'report', latencyTargetMs: 1_500 };
    const reported = (placement: Placement, host: string, chargeMs: number): void => {
      placement.recordSent(host);
      const load = { inFlight: 1, queued: 0, limit: 10, meanMs: 50, chargeMs };
      placement.recordResult(host, 'report', { load, tookMs: 50, bytes: 1_000, failed: false });
    };

    itSerial('should grow with the load of the chosen targets, and decay without calls', (t) => {
      withPlacement((placement, time) => {
        t.is(placement.chargeMs('capacity'), 0);
        for (let i = 0; i < 40; i++) {
          placement.recordSent('near');
          placement.choose([kNear], kNone, inZone);
        }
        const full = placement.chargeMs('capacity');
        t.true(full > 100);
        time.runUntil(1_000);
        t.true(placement.chargeMs('capacity') < full * 0.51);
      });
    });

    itSerial('should move calls to another zone at the top of the call chain', (t) => {
      const time = new VirtualTime();
      try {
        const placement = new Placement('near', 'z1', () => 0.5);
        t.is(placement.choose([kNear, kFar], kNone, chained), kNear);
        for (let i = 0; i < 30; i++) {
          reported(placement, 'near', 400);
        }
        t.is(placement.choose([kNear, kFar], kNone, chained), kFar);
        for (let i = 0; i < 30; i++) {
          reported(placement, 'far', 400);
        }
        t.is(placement.choose([kNear, kFar], kNone, chained), kNear);
      } finally {
        time.restore();
      }
    });

    itSerial('should keep calls with large bodies in their zone at higher charges', (t) => {
      const time = new VirtualTime();
      try {
        const placement = new Placement('near', 'z1', () => 0.5);
        const sized = (name: string, bytes: number): void => {
          for (let i = 0; i < 60; i++) {
            placement.recordSent('near');
            placement.recordResult('near', name, {
              load: { inFlight: 1, queued: 0, limit: 10, meanMs: 50, chargeMs: 250 },
              bytes,
              failed: false,
            });
          }
        };
        sized('small', 300);
        sized('large', 5_000);
        t.is(placement.choose([kNear, kFar], kNone, { name: 'small', latencyTargetMs: 1_500 }), kFar);
        t.is(placement.choose([kNear, kFar], kNone, { name: 'large', latencyTargetMs: 1_500 }), kNear);
      } finally {
        time.restore();
      }
    });
  });
});
