/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against two targets that run the same suspected fingerprint at the same time. */

import { monotonicMs, type RequestIdentity, type SuspectCall, SuspectGate, Suspects, type Suspicion } from '@gentiandrum/core';
import { describe, itSerial } from '../support/describe.js';
import { VirtualTime } from '../support/virtualTime.js';

const kIdentity: RequestIdentity = { method: 'GET', host: 'app.example', path: '/a', body: new Uint8Array() };
const kRemainingMs = 2_000;

/** A daemon with a gate that considers itself the place of all probes, as after a change of the ready targets. */
class ProbeHost {
  readonly suspects: Suspects;
  readonly gate: SuspectGate<SuspectCall>;
  /** Messages to the other daemon, in order. */
  readonly sent: Suspicion[][] = [];
  /** Whether this daemon considers the targets of other hosts ready. */
  othersReady = true;

  constructor(name: string) {
    this.suspects = new Suspects({
      broadcast: (suspects) => this.sent.push(suspects),
      sendSome: () => undefined,
      onEvent: () => undefined,
    });
    this.gate = new SuspectGate<SuspectCall>(() => name, this.suspects, {
      onPass: () => undefined,
      onRefuse: () => undefined,
      isProbeTarget: () => true,
      isReady: () => this.othersReady,
      onRun: () => undefined,
    });
  }

  /** Offers a call with what this daemon knows. */
  offer(): { call: SuspectCall; kind: string } {
    const now = monotonicMs();
    const identity = (): RequestIdentity => kIdentity;
    const suspicion = this.suspects.assess(identity)?.suspicion;
    const call = { identity, route: 'r', suspicion, waitUntil: now + kRemainingMs, expiresAt: now + kRemainingMs };
    return { call, kind: this.gate.offer(call).kind };
  }

  deliverTo(other: ProbeHost): void {
    this.sent.splice(0).forEach((suspects) => {
      other.suspects.mergeFromPeer(suspects);
    });
  }
}

/** Runs a test on virtual time with two daemons that know one or two crashes of the fingerprint. */
function withHosts(body: (a: ProbeHost, b: ProbeHost, time: VirtualTime) => void, crashes = 2): void {
  const time = new VirtualTime();
  try {
    const a = new ProbeHost('a');
    const b = new ProbeHost('b');
    for (let id = 1; id <= crashes; id++) {
      a.suspects.crashed({ id, at: id }, [{ identity: kIdentity, route: 'r', tested: false }]);
    }
    a.deliverTo(b);
    body(a, b, time);
  } finally {
    time.restore();
  }
}

describe('a suspected fingerprint', () => {
  itSerial('should run on one target only when the choice of the target changes during the run', (t) => {
    withHosts((a, b) => {
      const { call, kind } = a.offer();
      t.is(kind, 'pass');
      a.deliverTo(b);
      t.is(b.offer().kind, 'refused');
      t.is(a.offer().kind, 'wait');
      a.gate.leave(call);
      a.deliverTo(b);
      t.is(b.suspects.runningAt(call.suspicion?.fingerprint ?? ''), 'a');
    });
  });

  itSerial('should run elsewhere once the run is over', (t) => {
    withHosts((a, b) => {
      const { call } = a.offer();
      a.deliverTo(b);
      a.gate.leave(call);
      a.deliverTo(b);
      t.is(b.offer().kind, 'pass');
    });
  });

  itSerial('should count as in flight for one second after its caller has disconnected', (t) => {
    withHosts((a, b, time) => {
      const { call } = a.offer();
      a.deliverTo(b);
      a.gate.leave(call, true);
      a.deliverTo(b);
      time.runUntil(999);
      t.is(b.offer().kind, 'refused');
      time.runUntil(1_001);
      t.is(b.offer().kind, 'pass');
    });
  });

  itSerial('should run elsewhere after the deadline of a run whose daemon was not heard from again', (t) => {
    withHosts((a, b, time) => {
      a.offer();
      a.deliverTo(b);
      time.runUntil(kRemainingMs + 999);
      t.is(b.offer().kind, 'refused');
      time.runUntil(kRemainingMs + 1_001);
      t.is(b.offer().kind, 'pass');
    });
  });

  itSerial('should not count as in flight again when an older message about its run arrives late', (t) => {
    withHosts((a, b) => {
      const { call } = a.offer();
      const older = a.sent.flat();
      a.deliverTo(b);
      a.gate.leave(call);
      a.deliverTo(b);
      b.suspects.mergeFromPeer(older);
      t.is(b.offer().kind, 'pass');
    });
  });

  itSerial('should be known to run by a daemon that starts during the run', (t) => {
    withHosts((a, _, time) => {
      a.offer();
      time.runUntil(500);
      const started = new ProbeHost('c');
      started.suspects.mergeFromPeer(a.suspects.snapshot);
      t.is(started.offer().kind, 'refused');
    });
  });

  itSerial('should be identified as the cause of a crash after the caller of its probe has disconnected', (t) => {
    withHosts((a, _, time) => {
      const { call } = a.offer();
      a.gate.leave(call, true);
      time.runUntil(500);
      a.gate.crashed({ id: 3, at: 3 }, [{ identity: kIdentity, route: 'r', call: undefined }]);
      const [{ marks } = { marks: [] }] = a.suspects.list();
      t.deepEqual(
        marks.map(({ tested }) => tested),
        [false, false, true],
      );
    });
  });

  // A common request waited at all hosts until the deadline of a run on a host that had left.
  itSerial('should run elsewhere after one crash when the target that runs it is no longer ready', (t) => {
    withHosts((a, b) => {
      a.offer();
      a.deliverTo(b);
      t.is(b.offer().kind, 'refused');
      b.othersReady = false;
      t.is(b.offer().kind, 'pass');
    }, 1);
  });

  itSerial('should not run elsewhere as a probe when the target that runs it is no longer ready', (t) => {
    withHosts((a, b) => {
      a.offer();
      a.deliverTo(b);
      b.othersReady = false;
      t.is(b.offer().kind, 'refused');
    });
  });
});
