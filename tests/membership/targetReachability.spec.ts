/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { TargetReachability } from '@gentiandrum/core';
import { describe, it } from '../support/describe.js';

/** Records heartbeats at a fixed interval, up to `until`. */
function recordHeartbeats(reach: TargetReachability, intervalMs: number, until: number): void {
  for (let now = 0; now <= until; now += intervalMs) {
    reach.record('heartbeat', now);
  }
}

describe('target reachability', () => {
  it('should be unreachable after one refused connection, regardless of heartbeats', (t) => {
    const reach = new TargetReachability();
    t.true(reach.record('refused', 1_000));
    t.false(reach.reachable);
    t.false(reach.record('heartbeat', 1_010));
    t.false(reach.reachable);
    t.true(reach.record('connected', 1_020));
    t.true(reach.reachable);
  });

  it('should be unreachable after two connection timeouts, or one while heartbeats are missing', (t) => {
    const alive = new TargetReachability();
    recordHeartbeats(alive, 1_500, 9_000);
    t.false(alive.record('timed_out', 9_100));
    t.false(alive.record('connected', 9_200));
    t.false(alive.record('timed_out', 9_300));
    t.true(alive.record('timed_out', 9_400));
    const missing = new TargetReachability();
    recordHeartbeats(missing, 1_500, 9_000);
    t.true(missing.record('timed_out', 14_000));
  });

  it('should probe an unreachable target with exponential backoff, and immediately after a heartbeat', (t) => {
    const reach = new TargetReachability();
    t.false(reach.takeProbe(0));
    reach.record('refused', 0);
    const probes: number[] = [];
    for (let now = 0; now <= 4_000; now += 50) {
      if (reach.takeProbe(now)) {
        probes.push(now);
        reach.record('refused', now);
      }
    }
    t.deepEqual(probes, [100, 200, 400, 800, 1_600, 2_600, 3_600]);
    reach.record('heartbeat', 4_010);
    t.true(reach.takeProbe(4_010));
  });

  it('should probe a target that misses heartbeats, and not one whose heartbeat is late', (t) => {
    const reach = new TargetReachability();
    recordHeartbeats(reach, 1_500, 9_000);
    t.false(reach.takeProbe(12_000));
    t.true(reach.takeProbe(13_600));
    t.false(reach.takeProbe(13_700));
    t.true(reach.takeProbe(14_600));
    t.true(reach.reachable);
  });
});
